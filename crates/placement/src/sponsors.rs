//! Chooses two sponsors for each member, in other zones and evenly spread.

use std::collections::BTreeMap;

use cactushold_lease::{Incarnation, MemberRecord, SponsorSet, Table};

use crate::ClusterView;

/// Adds newly registered members and replaces sponsors that are gone or leaving.
pub(crate) fn revise(table: &mut Table, view: &ClusterView) {
    let mut counts = sponsored_counts(table, view);
    add_members(table, view, &mut counts);
    let members: Vec<Incarnation> = table.members.keys().copied().collect();
    for member in members {
        replace_sponsor(table, view, member, &mut counts);
    }
}

/// Number of live members that each live member sponsors.
fn sponsored_counts(table: &Table, view: &ClusterView) -> BTreeMap<Incarnation, usize> {
    let live = view.registered.keys().filter(|id| view.is_live(**id));
    let mut counts: BTreeMap<Incarnation, usize> = live.map(|id| (*id, 0)).collect();
    let owners = table.members.iter().filter(|(id, _)| view.is_live(**id));
    for sponsor in owners.flat_map(|(_, replica)| replica.grant.sponsors) {
        if let Some(count) = counts.get_mut(&sponsor) {
            *count += 1;
        }
    }
    counts
}

/// Adds registered members to the table, with their sponsors.
fn add_members(table: &mut Table, view: &ClusterView, counts: &mut BTreeMap<Incarnation, usize>) {
    for (&id, peer) in &view.registered {
        if let Some(replica) = table.members.get_mut(&id) {
            replica.peer.leaving = peer.leaving;
            continue;
        }
        if !view.is_live(id) {
            continue;
        }
        let Some(first) = choose(view, id, &[], counts) else { continue };
        let Some(second) = choose(view, id, &[first], counts) else { continue };
        for sponsor in [first, second] {
            *counts.entry(sponsor).or_default() += 1;
        }
        let grant = SponsorSet { epoch: 1, sponsors: [first, second] };
        table.members.insert(id, MemberRecord { peer: peer.clone(), grant });
    }
}

/// Replaces a sponsor of a member that is gone or leaving, unless both are. The member must have
/// confirmed its current sponsors.
fn replace_sponsor(
    table: &mut Table,
    view: &ClusterView,
    member: Incarnation,
    counts: &mut BTreeMap<Incarnation, usize>,
) {
    let Some(replica) = table.members.get(&member) else { return };
    let grant = replica.grant;
    let is_confirmed = view.confirmed_epochs.get(&member) == Some(&grant.epoch);
    if !view.is_live(member) || !is_confirmed {
        return;
    }
    let [first, second] = grant.sponsors;
    let kept = match (can_sponsor(view, first), can_sponsor(view, second)) {
        (true, false) => first,
        (false, true) => second,
        (true, true) | (false, false) => return,
    };
    if let Some(added) = choose(view, member, &[kept], counts)
        && table.change_sponsors(member, [kept, added]).is_ok()
    {
        *counts.entry(added).or_default() += 1;
    }
}

fn can_sponsor(view: &ClusterView, sponsor: Incarnation) -> bool {
    view.is_live(sponsor) && !view.registered.get(&sponsor).is_some_and(|peer| peer.leaving)
}

/// The member that sponsors the fewest others, preferably in a zone other than those of the owner and
/// of the sponsors already `taken`.
fn choose(
    view: &ClusterView,
    owner: Incarnation,
    taken: &[Incarnation],
    counts: &BTreeMap<Incarnation, usize>,
) -> Option<Incarnation> {
    let zone = |id: Incarnation| view.registered.get(&id).map(|peer| peer.zone.as_str());
    let candidates = counts
        .iter()
        .filter(|(id, _)| **id != owner && !taken.contains(id) && can_sponsor(view, **id));
    let zone_conflicts = |id: Incarnation| {
        let same_as_owner = usize::from(zone(id) == zone(owner));
        same_as_owner * 2 + taken.iter().filter(|other| zone(**other) == zone(id)).count()
    };
    candidates
        .min_by_key(|(id, count)| (zone_conflicts(**id), **count, id.wrapping_sub(owner)))
        .map(|(id, _)| *id)
}
