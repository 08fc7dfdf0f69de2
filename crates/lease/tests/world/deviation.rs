//! Fakes that break one rule of the protocol each, by changing what passes between machines.

use std::collections::BTreeMap;

use cactushold_lease::{
    Envelope, Incarnation, KnownVersions, LeaseId, Member, Message, SliceId, Time,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deviation {
    /// Everything by the rules.
    None,
    /// A sponsor releases on the first request, without waiting the lease out.
    ReleaseEarly,
    /// A sponsor that released goes on renewing.
    RenewAfterRelease,
    /// An owner counts a renewal from its arrival in place of its sending.
    CountFromArrival,
    /// A joining sponsor's answers count before the kept one has answered.
    CountJoiningAtOnce,
    /// A holder gives a slice up before a sponsor knows the table.
    YieldUnacknowledged,
    /// Releases don't name the newest table known.
    ForgetTableInRelease,
    /// A joining sponsor starts without the owner's newest table.
    JoinWithoutTable,
    /// Whoever doesn't hold a claimed slice says that it gave it up, without promising so.
    YieldWithoutPromise,
    /// An earlier successor that is left says that it gave a slice up while it holds it.
    YieldWhileHolding,
    /// A restarted process goes on under its old incarnation.
    RememberIdentity,
}

impl Deviation {
    /// Replaces a message that is about to arrive.
    pub fn incoming(
        self,
        envelope: Envelope,
        receiver: &Member,
        now: Time,
        out: &mut Vec<Envelope>,
    ) -> Vec<Envelope> {
        let Envelope { from, to, message } = envelope;
        let reply = |message| Envelope { from: to, to: from, message };
        let message = match (self, message) {
            (Deviation::ReleaseEarly, Message::RequestRelease { lease: number }) => {
                let known = KnownVersions { config: 0, table: receiver.known().table };
                out.push(reply(Message::Released { lease: number, known }));
                return Vec::new();
            }
            (
                Deviation::RenewAfterRelease,
                Message::Renew { lease: number, sent, known, other_sponsor: other },
            ) => {
                out.push(reply(Message::Renewed { lease: number, sent, known }));
                Message::Renew { lease: number, sent, known, other_sponsor: other }
            }
            (Deviation::CountFromArrival, Message::Renewed { lease: number, known, .. }) => {
                Message::Renewed { lease: number, sent: now, known }
            }
            (Deviation::CountJoiningAtOnce, Message::Renewed { lease: number, sent, known }) => {
                return count_for_both(receiver, to, from, number, sent, known);
            }
            (Deviation::YieldUnacknowledged, Message::Claim { slice, since }) => {
                if receiver.known().table >= since {
                    let known = KnownVersions { table: since, config: 0 };
                    return acknowledge(receiver, from, to, known, Message::Claim { slice, since });
                }
                Message::Claim { slice, since }
            }
            (Deviation::YieldWithoutPromise, Message::Claim { slice, since })
                if !receiver.holdings().contains_key(&slice) =>
            {
                out.push(reply(Message::Yielded { slice, since }));
                return Vec::new();
            }
            (Deviation::YieldWhileHolding, Message::Claim { slice, since })
                if is_left_to(receiver, slice) =>
            {
                out.push(reply(Message::Yielded { slice, since }));
                return Vec::new();
            }
            (Deviation::ForgetTableInRelease, Message::Released { lease: number, .. }) => {
                let known =
                    KnownVersions { table: oldest_assignment(receiver, number.owner), config: 0 };
                Message::Released { lease: number, known }
            }
            (
                Deviation::JoinWithoutTable,
                Message::Renew { lease: number, other_sponsor: other, sent, .. },
            ) if number.epoch > 1 => Message::Renew {
                lease: number,
                other_sponsor: other,
                sent,
                known: KnownVersions::default(),
            },
            (_, message) => message,
        };
        vec![Envelope { from, to, message }]
    }
}

fn is_left_to(receiver: &Member, slice: SliceId) -> bool {
    let previous = receiver.table().slice(slice).and_then(|slice| slice.previous);
    previous.is_some_and(|previous| previous.is_left_to(receiver.id()))
}

fn count_for_both(
    receiver: &Member,
    to: Incarnation,
    from: Incarnation,
    number: LeaseId,
    sent: Time,
    known: KnownVersions,
) -> Vec<Envelope> {
    let sponsors = receiver.own_lease().map_or([from; 2], |owner| owner.sponsors());
    let answer = Message::Renewed { lease: number, sent, known };
    sponsors.map(|from| Envelope { from, to, message: answer.clone() }).to_vec()
}

/// Makes the holder believe that a sponsor knows the table, without any lease time.
fn acknowledge(
    receiver: &Member,
    from: Incarnation,
    to: Incarnation,
    known: KnownVersions,
    claim: Message,
) -> Vec<Envelope> {
    let mut messages = Vec::new();
    if let Some(owner) = receiver.own_lease() {
        let message = Message::Renewed { lease: owner.lease_id(), sent: Time::ZERO, known };
        messages.push(Envelope { from: owner.sponsors()[0], to, message });
    }
    messages.push(Envelope { from, to, message: claim });
    messages
}

fn oldest_assignment(receiver: &Member, owner: Incarnation) -> u64 {
    let mut oldest: BTreeMap<Incarnation, u64> = BTreeMap::new();
    for slice in receiver.table().slices() {
        let earlier = slice.previous.map(|previous| previous.assignment);
        for assignment in std::iter::once(slice.current).chain(earlier) {
            let since = oldest.entry(assignment.owner).or_insert(u64::MAX);
            *since = (*since).min(assignment.since);
        }
    }
    oldest.get(&owner).copied().unwrap_or(0)
}
