//! One process in its three roles: owner, sponsor of others, successor of others.

mod holding;
mod renewal;
mod succession;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{
    Envelope, Epoch, Evidence, Fence, Incarnation, KnownVersions, LeaseId, Message, OwnerLease,
    RenewalOutcome, SliceId, SponsoredLease, Table, TableVersion, Time, Timing,
};

/// Name of the service whose only slice belongs to the leader.
const CONTROL: &str = "_control";
/// How a member holds a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// Work is admitted under this fence.
    Serving(Fence),
    /// No work is admitted; the host ends what runs and has the upstream confirm.
    Draining(Fence),
    /// Nothing runs and the upstream confirmed; the claimant may have the slice.
    Drained(Fence),
}

/// What a member tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The reporting member.
    pub member: Incarnation,
    /// Sponsor set in force and confirmed by the kept sponsor.
    pub epoch: Epoch,
    /// Slices held under the assignment of that table version, known to a present sponsor.
    pub holds: Vec<(SliceId, TableVersion)>,
}

/// The lease protocol of one process.
///
/// ```
/// use cactushold_lease::{Member, Timing};
/// use std::time::Duration;
///
/// let mut member = Member::new(1, Timing::default());
/// let mut out = Vec::new();
/// member.tick(Duration::from_secs(1), &mut out);
/// assert!(out.is_empty(), "nothing is owned or sponsored before the table names the member");
/// ```
#[derive(Clone, Debug)]
pub struct Member {
    id: Incarnation,
    timing: Timing,
    known: KnownVersions,
    table: Arc<Table>,
    owner: Option<OwnerLease>,
    renewed_at: Option<Time>,
    unanswered: u32,
    quiet_until: Time,
    /// Since when the lease has been wanting, if it is.
    lapsed_at: Option<Time>,
    /// Whether the own lease was given up for good.
    is_abandoned: bool,
    sponsored: BTreeMap<Incarnation, SponsoredLease>,
    told_at: BTreeMap<Incarnation, Time>,
    suspicions: BTreeMap<LeaseId, BTreeMap<Incarnation, Time>>,
    evidence: Evidence,
    held: BTreeMap<SliceId, Holding>,
    claimed: BTreeMap<SliceId, (Time, Time)>,
}

impl Member {
    /// A new process: it neither owns nor sponsors until a table names it.
    pub fn new(id: Incarnation, timing: Timing) -> Member {
        Member {
            id,
            timing,
            known: KnownVersions::default(),
            table: Arc::new(Table::default()),
            owner: None,
            renewed_at: None,
            unanswered: 0,
            quiet_until: Time::ZERO,
            lapsed_at: None,
            is_abandoned: false,
            sponsored: BTreeMap::new(),
            told_at: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            evidence: Evidence::default(),
            held: BTreeMap::new(),
            claimed: BTreeMap::new(),
        }
    }

    /// This process's incarnation.
    pub fn id(&self) -> Incarnation {
        self.id
    }

    /// The newest versions known here.
    pub fn known(&self) -> KnownVersions {
        self.known
    }

    /// The newest table known here.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The member's own lease, once a table named its sponsors.
    pub fn own_lease(&self) -> Option<&OwnerLease> {
        self.owner.as_ref()
    }

    /// The first moment at which nothing held may be served.
    pub fn valid_until(&self) -> Time {
        self.owner.as_ref().map_or(Time::ZERO, OwnerLease::valid_until)
    }

    /// Whether the lease has been wanting for so long that it is taken to have been released, or
    /// its sponsors to be lost: only a new incarnation can hold anything then.
    pub fn is_stranded(&self, now: Time) -> bool {
        self.lapsed_at.is_some_and(|at| now >= at + self.timing.stranded_timeout)
    }

    /// Gives up the own lease for good, and all that is held under it; what is sponsored stays.
    pub fn abandon_lease(&mut self) {
        self.owner = None;
        self.held.clear();
        self.lapsed_at = None;
        self.is_abandoned = true;
    }

    /// Everything held, in whatever state.
    pub fn holdings(&self) -> &BTreeMap<SliceId, Holding> {
        &self.held
    }

    /// Whether this member gave a slice up to the assignment of table version `since`.
    pub fn has_given_up(&self, slice: SliceId, since: TableVersion) -> bool {
        self.evidence.has_yielded_to(slice, since)
    }

    /// The fence under which work for a slice may be admitted at `now`.
    pub fn fence(&self, slice: SliceId, now: Time) -> Option<Fence> {
        match self.held.get(&slice) {
            Some(Holding::Serving(fence)) if now < self.valid_until() => Some(*fence),
            _ => None,
        }
    }

    /// Whether this member leads at `now`.
    pub fn is_leader(&self, now: Time) -> bool {
        let control = self.table.locate(CONTROL, 0);
        control.is_some_and(|slice| self.fence(slice.id, now).is_some())
    }

    /// Whether an incarnation is proven stopped by the releases collected here.
    pub fn is_stopped(&self, other: Incarnation) -> bool {
        self.evidence.is_stopped(other)
    }

    /// How many incarnations are proven stopped by the releases collected here.
    pub fn stopped_count(&self) -> usize {
        self.evidence.stopped_count()
    }

    /// The newest versions that the sponsors of a stopped incarnation knew.
    pub fn last_known_versions(&self, other: Incarnation) -> Option<KnownVersions> {
        self.evidence.released(other)
    }

    /// Takes up a newer configuration version.
    pub fn update_config_version(&mut self, version: u64) {
        if version > self.known.config {
            self.known.config = version;
            self.renewed_at = None;
        }
    }

    /// Takes up a newer table; an older one is ignored.
    pub fn update_table(&mut self, table: Arc<Table>) {
        if table.version <= self.known.table {
            return;
        }
        self.known.table = table.version;
        self.renewed_at = None;
        let first_new = self.table.next_slice;
        self.table = table;
        self.take_up_grant();
        self.inherit_splits(first_new);
        self.undo_drains();
        self.acquire();
    }

    /// The host has ended all work of a draining slice and the upstream confirmed.
    pub fn mark_drained(&mut self, slice: SliceId) {
        if let Some(holding) = self.held.get_mut(&slice)
            && let Holding::Draining(fence) = *holding
        {
            *holding = Holding::Drained(fence);
        }
    }

    /// What the leader should know.
    pub fn report(&self) -> Report {
        let acknowledged =
            self.owner.as_ref().map(OwnerLease::acknowledged_versions).unwrap_or_default();
        let settled = self.owner.as_ref().filter(|owner| owner.is_confirmed());
        let holds = self.table.slices().filter(|slice| {
            slice.current.owner == self.id
                && slice.current.since <= acknowledged.table
                && matches!(self.held.get(&slice.id), Some(Holding::Serving(_)))
        });
        Report {
            member: self.id,
            epoch: settled.map_or(0, |owner| owner.lease_id().epoch),
            holds: holds.map(|slice| (slice.id, slice.current.since)).collect(),
        }
    }

    /// Makes the next renewal due at once.
    pub fn expedite_renewal(&mut self) {
        self.renewed_at = None;
    }

    /// Sends what is due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Envelope>) {
        self.note_lapse(now);
        self.renew(now, out);
        self.tell_lapses(now, out);
        self.ask_releases(now, out);
        self.send_claims(now, out);
    }

    /// Handles one message received at `now`.
    pub fn receive(&mut self, envelope: Envelope, now: Time, out: &mut Vec<Envelope>) {
        if envelope.to != self.id {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::Renew { lease: number, other_sponsor: other, sent, known } => {
                let decision = self.on_renew(from, number, other, known, now);
                if let RenewalOutcome::Renewed(known) = decision {
                    // A configuration counts as known only once its content is here.
                    let known = KnownVersions { config: self.known.config, ..known };
                    self.send(from, Message::Renewed { lease: number, sent, known }, out);
                }
            }
            Message::Renewed { lease: number, sent, known } => {
                if let Some(owner) = &mut self.owner {
                    owner.record_renewal(from, number, sent, known, &self.timing);
                    if owner.is_valid(now) {
                        self.unanswered = 0;
                    }
                }
            }
            Message::Lapsed { lease: number, other_sponsor: other } => {
                self.on_lapsed(from, number, other, now)
            }
            Message::RequestRelease { lease: number } => self.on_ask(from, number, now, out),
            Message::Released { lease: number, known } => {
                self.evidence.note_release(number, from, known);
                self.acquire();
            }
            Message::Claim { slice, since } => self.on_claim(from, slice, since, out),
            Message::Yielded { slice, since } => {
                self.evidence.note_yield(slice, since);
                self.acquire();
            }
        }
    }

    pub(crate) fn send(&self, to: Incarnation, message: Message, out: &mut Vec<Envelope>) {
        out.push(Envelope { from: self.id, to, message });
    }
}
