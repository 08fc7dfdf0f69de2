//! Deviations from the protocol, each breaking one rule by changing messages in transit. They show
//! that the search detects faulty implementations.

use std::collections::BTreeMap;

use cactushold_lease::{
    Envelope, Incarnation, KnownVersions, LeaseId, Member, Message, SliceId, Time,
};

/// A broken rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deviation {
    /// No rule is broken.
    None,
    /// A sponsor releases on the first request, without waiting for the lease to expire.
    ReleaseEarly,
    /// A sponsor renews a lease after it has released it.
    RenewAfterRelease,
    /// An owner counts the lease from the arrival of the answer instead of the sending of the
    /// renewal.
    CountFromArrival,
    /// A joining sponsor's answers count before the retained sponsor has answered.
    CountJoiningAtOnce,
    /// A holder gives up a slice before a sponsor knows the table.
    YieldUnacknowledged,
    /// A release doesn't carry the newest table version known to the sponsor.
    ForgetTableInRelease,
    /// A joining sponsor starts without the owner's newest table version.
    JoinWithoutTable,
    /// A member that doesn't hold a claimed slice answers that it gave it up, without recording it.
    YieldWithoutRecord,
    /// A remaining previous successor answers that it gave up a slice that it still holds.
    YieldWhileHolding,
    /// A restarted process continues under its old incarnation.
    ReuseIncarnation,
}

impl Deviation {
    /// Returns the messages to deliver instead of `envelope`, and adds the receiver's false answers
    /// to `out`.
    pub fn intercept(
        self,
        envelope: Envelope,
        receiver: &Member,
        now: Time,
        out: &mut Vec<Envelope>,
    ) -> Vec<Envelope> {
        let Envelope { from, to, message } = envelope;
        let reply = |message| Envelope { from: to, to: from, message };
        let message = match (self, message) {
            (Deviation::ReleaseEarly, Message::RequestRelease { lease }) => {
                let known = KnownVersions { config: 0, table: receiver.known().table };
                out.push(reply(Message::Released { lease, known }));
                return Vec::new();
            }
            (
                Deviation::RenewAfterRelease,
                Message::Renew { lease, sent, known, other_sponsor },
            ) => {
                out.push(reply(Message::Renewed { lease, sent, known }));
                Message::Renew { lease, sent, known, other_sponsor }
            }
            (Deviation::CountFromArrival, Message::Renewed { lease, known, .. }) => {
                Message::Renewed { lease, sent: now, known }
            }
            (Deviation::CountJoiningAtOnce, Message::Renewed { lease, sent, known }) => {
                return count_for_both(receiver, to, from, lease, sent, known);
            }
            (Deviation::YieldUnacknowledged, Message::Claim { slice, since }) => {
                if receiver.known().table >= since {
                    let known = KnownVersions { table: since, config: 0 };
                    return add_acknowledgement(
                        receiver,
                        from,
                        to,
                        known,
                        Message::Claim { slice, since },
                    );
                }
                Message::Claim { slice, since }
            }
            (Deviation::YieldWithoutRecord, Message::Claim { slice, since })
                if !receiver.holdings().contains_key(&slice) =>
            {
                out.push(reply(Message::Yielded { slice, since }));
                return Vec::new();
            }
            (Deviation::YieldWhileHolding, Message::Claim { slice, since })
                if is_sole_successor(receiver, slice) =>
            {
                out.push(reply(Message::Yielded { slice, since }));
                return Vec::new();
            }
            (Deviation::ForgetTableInRelease, Message::Released { lease, .. }) => {
                let known =
                    KnownVersions { table: oldest_assignment(receiver, lease.owner), config: 0 };
                Message::Released { lease, known }
            }
            (Deviation::JoinWithoutTable, Message::Renew { lease, other_sponsor, sent, .. })
                if lease.epoch > 1 =>
            {
                Message::Renew { lease, other_sponsor, sent, known: KnownVersions::default() }
            }
            (_, message) => message,
        };
        vec![Envelope { from, to, message }]
    }
}

fn is_sole_successor(receiver: &Member, slice: SliceId) -> bool {
    let previous = receiver.table().slice(slice).and_then(|slice| slice.previous);
    previous.is_some_and(|previous| previous.is_sole_successor(receiver.id()))
}

/// Returns the answer once from each sponsor, so that a joining one counts at once.
fn count_for_both(
    receiver: &Member,
    to: Incarnation,
    from: Incarnation,
    lease: LeaseId,
    sent: Time,
    known: KnownVersions,
) -> Vec<Envelope> {
    let sponsors = receiver.own_lease().map_or([from; 2], |own_lease| own_lease.sponsors());
    let answer = Message::Renewed { lease, sent, known };
    sponsors.map(|from| Envelope { from, to, message: answer.clone() }).to_vec()
}

/// Adds a false acknowledgement of the table by a sponsor, which doesn't extend the lease.
fn add_acknowledgement(
    receiver: &Member,
    from: Incarnation,
    to: Incarnation,
    known: KnownVersions,
    claim: Message,
) -> Vec<Envelope> {
    let mut messages = Vec::new();
    if let Some(own_lease) = receiver.own_lease() {
        let message = Message::Renewed { lease: own_lease.id(), sent: Time::ZERO, known };
        messages.push(Envelope { from: own_lease.sponsors()[0], to, message });
    }
    messages.push(Envelope { from, to, message: claim });
    messages
}

/// Returns the oldest table version under which `owner` holds an assignment.
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
