//! The lease protocol of one process in its three roles: owner, sponsor and successor.

mod holding;
mod renewal;
mod succession;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{
    Envelope, Epoch, Evidence, Fence, Incarnation, KnownVersions, LeaseId, Message, OwnerLease,
    RenewalOutcome, SliceId, SponsoredLease, Table, TableVersion, Time, Timing,
};

/// Service whose only slice is owned by the leader.
const CONTROL_SERVICE: &str = "_control";

/// State of a slice held by a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holding {
    /// Requests are admitted under this fence.
    Serving(Fence),
    /// No requests are admitted; the host ends running ones and has the upstream confirm.
    Draining(Fence),
    /// No requests are running and the upstream has confirmed; the slice may go to the claimant.
    Drained(Fence),
}

/// A member's report to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The reporting member.
    pub member: Incarnation,
    /// Epoch of the sponsor set if the retained sponsor has confirmed it, otherwise 0.
    pub epoch: Epoch,
    /// Slices served as owner, with the table version of the assignment, which a sponsor has
    /// acknowledged.
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
/// assert!(out.is_empty(), "a member that no table lists owns and sponsors nothing");
/// ```
#[derive(Clone, Debug)]
pub struct Member {
    id: Incarnation,
    timing: Timing,
    known: KnownVersions,
    table: Arc<Table>,
    own_lease: Option<OwnerLease>,
    /// When the last renewal was sent; `None` makes the next one due immediately.
    last_renewal_at: Option<Time>,
    /// Renewals sent since the last answer that made the lease valid.
    unanswered_renewals: u32,
    renewals_paused_until: Time,
    /// Since when the member's own lease has been invalid, if it is.
    invalid_since: Option<Time>,
    /// Whether the member's own lease was given up permanently.
    is_abandoned: bool,
    /// Leases that this member sponsors, by owner.
    sponsored_leases: BTreeMap<Incarnation, SponsoredLease>,
    /// When the lapse of a sponsored lease was last reported, by owner.
    lapse_reported_at: BTreeMap<Incarnation, Time>,
    /// When each sponsor of another member's lease last reported a lapse.
    lapse_reports: BTreeMap<LeaseId, BTreeMap<Incarnation, Time>>,
    evidence: Evidence,
    held: BTreeMap<SliceId, Holding>,
    /// Times of the first and the last claim of a slice.
    claim_times: BTreeMap<SliceId, (Time, Time)>,
}

impl Member {
    /// Creates a member that neither owns nor sponsors anything until a table lists it.
    pub fn new(id: Incarnation, timing: Timing) -> Member {
        Member {
            id,
            timing,
            known: KnownVersions::default(),
            table: Arc::new(Table::default()),
            own_lease: None,
            last_renewal_at: None,
            unanswered_renewals: 0,
            renewals_paused_until: Time::ZERO,
            invalid_since: None,
            is_abandoned: false,
            sponsored_leases: BTreeMap::new(),
            lapse_reported_at: BTreeMap::new(),
            lapse_reports: BTreeMap::new(),
            evidence: Evidence::default(),
            held: BTreeMap::new(),
            claim_times: BTreeMap::new(),
        }
    }

    /// Returns the incarnation of this process.
    pub fn id(&self) -> Incarnation {
        self.id
    }

    /// Returns the newest versions known to this member.
    pub fn known(&self) -> KnownVersions {
        self.known
    }

    /// Returns the newest table known to this member.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the member's own lease, once a table has named its sponsors.
    pub fn own_lease(&self) -> Option<&OwnerLease> {
        self.own_lease.as_ref()
    }

    /// Returns the time from which no held slice may be served.
    pub fn valid_until(&self) -> Time {
        self.own_lease.as_ref().map_or(Time::ZERO, OwnerLease::valid_until)
    }

    /// Returns whether the lease has been invalid for so long that it is assumed to be released, or
    /// its sponsors to be lost. Only a new incarnation can hold slices then.
    pub fn is_stranded(&self, now: Time) -> bool {
        self.invalid_since.is_some_and(|at| now >= at + self.timing.stranded_timeout)
    }

    /// Permanently gives up the member's own lease and all slices held under it. The member goes on
    /// as a sponsor of others.
    pub fn abandon_lease(&mut self) {
        self.own_lease = None;
        self.held.clear();
        self.invalid_since = None;
        self.is_abandoned = true;
    }

    /// Returns all held slices and their states.
    pub fn holdings(&self) -> &BTreeMap<SliceId, Holding> {
        &self.held
    }

    /// Returns whether this member gave up a slice to the assignment of table version `since`.
    pub fn has_given_up(&self, slice: SliceId, since: TableVersion) -> bool {
        self.evidence.has_yielded_to(slice, since)
    }

    /// Returns the fence under which requests for a slice may be admitted at `now`.
    pub fn fence(&self, slice: SliceId, now: Time) -> Option<Fence> {
        match self.held.get(&slice) {
            Some(Holding::Serving(fence)) if now < self.valid_until() => Some(*fence),
            _ => None,
        }
    }

    /// Returns whether this member is the leader at `now`.
    pub fn is_leader(&self, now: Time) -> bool {
        let control = self.table.locate(CONTROL_SERVICE, 0);
        control.is_some_and(|slice| self.fence(slice.id, now).is_some())
    }

    /// Returns whether the releases received here prove that an incarnation can't serve any more.
    pub fn is_stopped(&self, other: Incarnation) -> bool {
        self.evidence.is_stopped(other)
    }

    /// Returns the number of incarnations that the releases received here prove to have stopped.
    pub fn stopped_count(&self) -> usize {
        self.evidence.stopped_count()
    }

    /// Returns the newest versions that the sponsors of a stopped incarnation knew.
    pub fn last_known_versions(&self, other: Incarnation) -> Option<KnownVersions> {
        self.evidence.versions_at_release(other)
    }

    /// Applies a newer configuration version and makes a renewal due; an older one is ignored.
    pub fn update_config_version(&mut self, version: u64) {
        if version > self.known.config {
            self.known.config = version;
            self.last_renewal_at = None;
        }
    }

    /// Applies a newer table and makes a renewal due; an older table is ignored.
    pub fn update_table(&mut self, table: Arc<Table>) {
        if table.version <= self.known.table {
            return;
        }
        self.known.table = table.version;
        self.last_renewal_at = None;
        let first_new_slice = self.table.next_slice;
        self.table = table;
        self.apply_sponsor_set();
        self.inherit_splits(first_new_slice);
        self.cancel_drains();
        self.acquire_slices();
    }

    /// Marks a draining slice as drained: no requests are running and the upstream has confirmed.
    pub fn mark_drained(&mut self, slice: SliceId) {
        if let Some(holding) = self.held.get_mut(&slice)
            && let Holding::Draining(fence) = *holding
        {
            *holding = Holding::Drained(fence);
        }
    }

    /// Returns the report for the leader.
    pub fn report(&self) -> Report {
        let acknowledged =
            self.own_lease.as_ref().map(OwnerLease::acknowledged_versions).unwrap_or_default();
        let confirmed = self.own_lease.as_ref().filter(|lease| lease.is_confirmed());
        let holds = self.table.slices().filter(|slice| {
            slice.current.owner == self.id
                && slice.current.since <= acknowledged.table
                && matches!(self.held.get(&slice.id), Some(Holding::Serving(_)))
        });
        Report {
            member: self.id,
            epoch: confirmed.map_or(0, |lease| lease.id().epoch),
            holds: holds.map(|slice| (slice.id, slice.current.since)).collect(),
        }
    }

    /// Makes the next renewal due immediately.
    pub fn expedite_renewal(&mut self) {
        self.last_renewal_at = None;
    }

    /// Sends all messages that are due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Envelope>) {
        self.track_lapse(now);
        self.renew(now, out);
        self.report_lapses(now, out);
        self.request_releases(now, out);
        self.send_claims(now, out);
    }

    /// Handles one message received at `now`.
    pub fn receive(&mut self, envelope: Envelope, now: Time, out: &mut Vec<Envelope>) {
        if envelope.to != self.id {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::Renew { lease, other_sponsor, sent, known } => {
                let outcome = self.on_renew(from, lease, other_sponsor, known, now);
                if let RenewalOutcome::Renewed(known) = outcome {
                    // A configuration counts as known only once its content has arrived.
                    let known = KnownVersions { config: self.known.config, ..known };
                    self.send(from, Message::Renewed { lease, sent, known }, out);
                }
            }
            Message::Renewed { lease, sent, known } => {
                if let Some(own_lease) = &mut self.own_lease {
                    own_lease.record_renewal(from, lease, sent, known, &self.timing);
                    if own_lease.is_valid(now) {
                        self.unanswered_renewals = 0;
                    }
                }
            }
            Message::Lapsed { lease, other_sponsor } => {
                self.on_lapsed(from, lease, other_sponsor, now)
            }
            Message::RequestRelease { lease } => self.on_release_request(from, lease, now, out),
            Message::Released { lease, known } => {
                self.evidence.record_release(lease, from, known);
                self.acquire_slices();
            }
            Message::Claim { slice, since } => self.on_claim(from, slice, since, out),
            Message::Yielded { slice, since } => {
                self.evidence.record_yield(slice, since);
                self.acquire_slices();
            }
        }
    }

    /// Queues a message from this member.
    pub(crate) fn send(&self, to: Incarnation, message: Message, out: &mut Vec<Envelope>) {
        out.push(Envelope { from: self.id, to, message });
    }
}
