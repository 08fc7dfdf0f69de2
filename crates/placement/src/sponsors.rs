//! Names two sponsors for each member, in other zones and evenly spread.

use std::collections::BTreeMap;

use cactushold_lease::{Incarnation, MemberRecord, SponsorSet, Table};

use crate::ClusterView;

/// Adds members that announced themselves and replaces sponsors that are gone.
pub(crate) fn revise(table: &mut Table, view: &ClusterView) {
    let mut duty = duty(table, view);
    join(table, view, &mut duty);
    let members: Vec<Incarnation> = table.members.keys().copied().collect();
    for member in members {
        replace(table, view, member, &mut duty);
    }
}

/// How many owners each live member sponsors.
fn duty(table: &Table, view: &ClusterView) -> BTreeMap<Incarnation, usize> {
    let live = view.registered.keys().filter(|id| view.is_live(**id));
    let mut duty: BTreeMap<Incarnation, usize> = live.map(|id| (*id, 0)).collect();
    let owners = table.members.iter().filter(|(id, _)| view.is_live(**id));
    for sponsor in owners.flat_map(|(_, replica)| replica.grant.sponsors) {
        if let Some(count) = duty.get_mut(&sponsor) {
            *count += 1;
        }
    }
    duty
}

fn join(table: &mut Table, view: &ClusterView, duty: &mut BTreeMap<Incarnation, usize>) {
    for (&id, peer) in &view.registered {
        if let Some(replica) = table.members.get_mut(&id) {
            replica.peer.leaving = peer.leaving;
            continue;
        }
        if !view.is_live(id) {
            continue;
        }
        let Some(first) = choose(view, id, &[], duty) else { continue };
        let Some(second) = choose(view, id, &[first], duty) else { continue };
        for sponsor in [first, second] {
            *duty.entry(sponsor).or_default() += 1;
        }
        let grant = SponsorSet { epoch: 1, sponsors: [first, second] };
        table.members.insert(id, MemberRecord { peer: peer.clone(), grant });
    }
}

fn replace(
    table: &mut Table,
    view: &ClusterView,
    member: Incarnation,
    duty: &mut BTreeMap<Incarnation, usize>,
) {
    let Some(replica) = table.members.get(&member) else { return };
    let grant = replica.grant;
    let is_confirmed = view.confirmed_epochs.get(&member) == Some(&grant.epoch);
    if !view.is_live(member) || !is_confirmed {
        return;
    }
    let [first, second] = grant.sponsors;
    let kept = match (is_fit(view, first), is_fit(view, second)) {
        (true, false) => first,
        (false, true) => second,
        (true, true) | (false, false) => return,
    };
    if let Some(joining) = choose(view, member, &[kept], duty)
        && table.change_sponsors(member, [kept, joining]).is_ok()
    {
        *duty.entry(joining).or_default() += 1;
    }
}

fn is_fit(view: &ClusterView, sponsor: Incarnation) -> bool {
    view.is_live(sponsor) && !view.registered.get(&sponsor).is_some_and(|peer| peer.leaving)
}

/// The fit member with the least duty, in a zone that is neither the owner's nor a taken one's.
fn choose(
    view: &ClusterView,
    owner: Incarnation,
    taken: &[Incarnation],
    duty: &BTreeMap<Incarnation, usize>,
) -> Option<Incarnation> {
    let zone = |id: Incarnation| view.registered.get(&id).map(|peer| peer.zone.as_str());
    let candidates =
        duty.iter().filter(|(id, _)| **id != owner && !taken.contains(id) && is_fit(view, **id));
    let crowding = |id: Incarnation| {
        let own = usize::from(zone(id) == zone(owner));
        own * 2 + taken.iter().filter(|other| zone(**other) == zone(id)).count()
    };
    candidates
        .min_by_key(|(id, count)| (crowding(**id), **count, id.wrapping_sub(owner)))
        .map(|(id, _)| *id)
}
