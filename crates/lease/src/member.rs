//! One process in its three roles: owner, sponsor of others, successor of others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::{
    Decision, Envelope, Epoch, Evidence, Fence, Incarnation, Known, Message, Number, Owner, Slice,
    SliceId, Sponsor, Table, TableVersion, Time, Timing,
};

/// Name of the service whose only slice belongs to the leader.
const CONTROL: &str = "_control";
/// Unanswered renewals after which an owner whose lease ran out stops renewing for a while.
const UNANSWERED: u32 = 2;
/// For how many leases it stops, so that its sponsors can release it.
const QUIET_LEASES: u32 = 2;
/// How long unanswered requests are repeated quickly before they are repeated at renewal pace.
const EAGER: Time = Time::from_secs(2);

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
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
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
    known: Known,
    table: Arc<Table>,
    owner: Option<Owner>,
    renewed_at: Option<Time>,
    unanswered: u32,
    quiet_until: Time,
    sponsored: BTreeMap<Incarnation, Sponsor>,
    told_at: BTreeMap<Incarnation, Time>,
    suspicions: BTreeMap<Number, BTreeMap<Incarnation, Time>>,
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
            known: Known::default(),
            table: Arc::new(Table::default()),
            owner: None,
            renewed_at: None,
            unanswered: 0,
            quiet_until: Time::ZERO,
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
    pub fn known(&self) -> Known {
        self.known
    }

    /// The newest table known here.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The member's own lease, once a table named its sponsors.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// The first moment at which nothing held may be served.
    pub fn valid_until(&self) -> Time {
        self.owner.as_ref().map_or(Time::ZERO, Owner::valid_until)
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
    pub fn stopped(&self) -> usize {
        self.evidence.stopped()
    }

    /// The newest versions that the sponsors of a stopped incarnation knew.
    pub fn last_known_of(&self, other: Incarnation) -> Option<Known> {
        self.evidence.released(other)
    }

    /// Takes up a newer configuration version.
    pub fn learn_config(&mut self, version: u64) {
        if version > self.known.config {
            self.known.config = version;
            self.renewed_at = None;
        }
    }

    /// Takes up a newer table; an older one is ignored.
    pub fn learn(&mut self, table: Arc<Table>) {
        if table.version <= self.known.table {
            return;
        }
        self.known.table = table.version;
        self.renewed_at = None;
        let first_new = self.table.next_slice;
        self.table = table;
        self.take_up_grant();
        self.inherit_splits(first_new);
        self.start_drains();
        self.acquire();
    }

    /// The host has ended all work of a draining slice and the upstream confirmed.
    pub fn drained(&mut self, slice: SliceId) {
        if let Some(holding) = self.held.get_mut(&slice)
            && let Holding::Draining(fence) = *holding
        {
            *holding = Holding::Drained(fence);
        }
    }

    /// What the leader should know.
    pub fn report(&self) -> Report {
        let acknowledged = self.owner.as_ref().map(Owner::acknowledged).unwrap_or_default();
        let settled = self.owner.as_ref().filter(|owner| owner.is_settled());
        let holds = self.table.slices().filter(|slice| {
            slice.current.owner == self.id
                && slice.current.since <= acknowledged.table
                && matches!(self.held.get(&slice.id), Some(Holding::Serving(_)))
        });
        Report {
            member: self.id,
            epoch: settled.map_or(0, |owner| owner.number().epoch),
            holds: holds.map(|slice| (slice.id, slice.current.since)).collect(),
        }
    }

    /// Makes the next renewal due at once.
    pub fn hasten(&mut self) {
        self.renewed_at = None;
    }

    /// Sends what is due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Envelope>) {
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
            Message::Renew { number, other, sent, known } => {
                let decision = self.on_renew(from, number, other, known, now);
                if let Decision::Renewed(known) = decision {
                    // A configuration counts as known only once its content is here.
                    let known = Known { config: self.known.config, ..known };
                    self.send(from, Message::Renewed { number, sent, known }, out);
                }
            }
            Message::Renewed { number, sent, known } => {
                if let Some(owner) = &mut self.owner {
                    owner.renewed(from, number, sent, known, &self.timing);
                    if owner.is_valid(now) {
                        self.unanswered = 0;
                    }
                }
            }
            Message::Lapsed { number, other } => self.on_lapsed(from, number, other, now),
            Message::Ask { number } => self.on_ask(from, number, now, out),
            Message::Released { number, known } => {
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

    fn send(&self, to: Incarnation, message: Message, out: &mut Vec<Envelope>) {
        out.push(Envelope { from: self.id, to, message });
    }

    fn take_up_grant(&mut self) {
        let Some(replica) = self.table.members.get(&self.id) else { return };
        let grant = replica.grant;
        match &mut self.owner {
            None => self.owner = Some(Owner::new(self.id, grant)),
            Some(owner) => {
                owner.change(grant);
            }
        }
    }

    /// Holds the parts of slices that were held when the table with the split arrived.
    fn inherit_splits(&mut self, first_new: SliceId) {
        let mut parts: Vec<&Slice> =
            self.table.slices().filter(|slice| slice.id >= first_new).collect();
        parts.sort_by_key(|slice| slice.id);
        for part in parts {
            if let Some(parent) = part.parent
                && let Some(holding) = self.held.get(&parent).copied()
            {
                self.held.insert(part.id, holding);
            }
        }
    }

    /// Stops admitting for slices that the table now assigns to another member.
    fn start_drains(&mut self) {
        for slice in self.table.slices() {
            let Some(holding) = self.held.get_mut(&slice.id) else { continue };
            match *holding {
                Holding::Serving(_) => {}
                Holding::Draining(fence) | Holding::Drained(fence) => {
                    if slice.current.owner == self.id {
                        *holding = Holding::Serving(fence);
                    }
                }
            }
        }
    }

    /// Takes up every slice that no one else can hold any more.
    fn acquire(&mut self) {
        for slice in self.table.slices() {
            if self.held.contains_key(&slice.id) {
                continue;
            }
            let fence = self.evidence.fence(self.id, slice, self.table.version);
            if let Some(fence) = fence {
                self.held.insert(slice.id, Holding::Serving(fence));
                self.claimed.remove(&slice.id);
            }
        }
    }

    fn renew(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let Some(owner) = &self.owner else { return };
        let is_due = self.renewed_at.is_none_or(|at| now >= at + self.timing.renewal);
        if !is_due || now < self.quiet_until {
            return;
        }
        // Answers don't get through, but renewals may: without a pause nobody could succeed.
        if !owner.is_valid(now) && self.unanswered > UNANSWERED {
            self.quiet_until = now + self.timing.lease * QUIET_LEASES;
            self.unanswered = 0;
            return;
        }
        self.renewed_at = Some(now);
        self.unanswered += 1;
        let number = owner.number();
        let [first, second] = owner.sponsors();
        for (sponsor, other) in [(first, second), (second, first)] {
            let renewal = Message::Renew { number, other, sent: now, known: self.known };
            self.send(sponsor, renewal, out);
        }
    }

    fn on_renew(
        &mut self,
        from: Incarnation,
        number: Number,
        other: Incarnation,
        known: Known,
        now: Time,
    ) -> Decision {
        if number.owner != from {
            return Decision::Ignored;
        }
        self.told_at.remove(&from);
        let known = known.merge(self.known);
        match self.sponsored.get_mut(&from) {
            Some(sponsor) => sponsor.renew(number, other, known, now),
            None => {
                self.sponsored.insert(from, Sponsor::join(number, other, known, now));
                Decision::Renewed(known)
            }
        }
    }

    fn tell_lapses(&mut self, now: Time, out: &mut Vec<Envelope>) {
        for (&owner, sponsor) in &self.sponsored {
            if !(sponsor.is_released() || sponsor.has_lapsed(now, &self.timing)) {
                continue;
            }
            let due = self.told_at.get(&owner).is_none_or(|at| now >= *at + self.timing.repeat);
            if !due || !self.table.members.contains_key(&owner) {
                continue;
            }
            self.told_at.insert(owner, now);
            let (number, other) = (sponsor.number(), sponsor.other());
            for heir in self.heirs(owner) {
                self.send(heir, Message::Lapsed { number, other }, out);
            }
        }
    }

    /// Everyone who needs the releases of `owner`: its successors, claimants, and the leader.
    fn heirs(&self, owner: Incarnation) -> BTreeSet<Incarnation> {
        let touched = self.table.slices().filter(|slice| slice.possible_holders().contains(&owner));
        let control = self.table.locate(CONTROL, 0);
        let mut heirs: BTreeSet<Incarnation> =
            touched.chain(control).flat_map(Slice::possible_holders).collect();
        heirs.remove(&owner);
        heirs
    }

    fn on_lapsed(&mut self, from: Incarnation, number: Number, other: Incarnation, now: Time) {
        self.evidence.note_sponsors(number, [from, other]);
        self.suspicions.entry(number).or_default().insert(from, now);
    }

    fn ask_releases(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let recent = self.timing.renewal;
        let asked: Vec<Number> = self
            .suspicions
            .iter()
            .filter(|(_, heard)| heard.values().filter(|at| now < **at + recent).count() == 2)
            .map(|(number, _)| *number)
            .filter(|number| !self.evidence.is_stopped(number.owner))
            .collect();
        for number in asked {
            for sponsor in self.evidence.sponsors(number) {
                self.send(sponsor, Message::Ask { number }, out);
            }
        }
    }

    fn on_ask(&mut self, from: Incarnation, number: Number, now: Time, out: &mut Vec<Envelope>) {
        let Some(sponsor) = self.sponsored.get_mut(&number.owner) else { return };
        if let Some(known) = sponsor.release(number, self.known, now, &self.timing) {
            self.send(from, Message::Released { number, known }, out);
        }
    }

    fn send_claims(&mut self, now: Time, out: &mut Vec<Envelope>) {
        let table = Arc::clone(&self.table);
        for slice in table.slices() {
            let Some(previous) = slice.previous else { continue };
            if self.held.contains_key(&slice.id) || !self.wants(slice) || !self.is_due(slice, now) {
                continue;
            }
            let claim = Message::Claim { slice: slice.id, since: slice.current.since };
            for holder in [previous.assignment.owner, previous.assignment.successor] {
                if holder != self.id {
                    self.send(holder, claim.clone(), out);
                }
            }
        }
    }

    fn wants(&self, slice: &Slice) -> bool {
        let inherits =
            slice.current.successor == self.id && self.evidence.is_stopped(slice.current.owner);
        slice.current.owner == self.id || inherits
    }

    fn is_due(&mut self, slice: &Slice, now: Time) -> bool {
        let (first, last) = self.claimed.get(&slice.id).copied().unwrap_or((now, Time::ZERO));
        let eager = now < first + EAGER;
        let pause = if eager { self.timing.repeat } else { self.timing.renewal };
        let due = now >= last + pause;
        if due {
            self.claimed.insert(slice.id, (first, now));
        }
        due
    }

    fn on_claim(
        &mut self,
        from: Incarnation,
        id: SliceId,
        since: TableVersion,
        out: &mut Vec<Envelope>,
    ) {
        if self.known.table < since {
            return;
        }
        let table = Arc::clone(&self.table);
        let Some(slice) = table.slice(id) else { return };
        let entitled = [slice.current.owner, slice.current.successor].contains(&from);
        if entitled && slice.current.since == since && slice.current.owner != self.id {
            self.give_up(slice);
        }
        if self.evidence.has_yielded_to(id, since) && !self.held.contains_key(&id) {
            self.send(from, Message::Yielded { slice: id, since }, out);
        }
    }

    /// Moves a claimed slice one step towards being given up.
    fn give_up(&mut self, slice: &Slice) {
        let since = slice.current.since;
        let acknowledged = self.owner.as_ref().map(Owner::acknowledged).unwrap_or_default();
        match self.held.get_mut(&slice.id) {
            Some(holding @ Holding::Serving(_)) => {
                if let Holding::Serving(fence) = *holding {
                    *holding = Holding::Draining(fence);
                }
            }
            Some(Holding::Drained(_)) if acknowledged.table >= since => {
                self.held.remove(&slice.id);
                self.evidence.note_own_yield(slice.id, since);
            }
            _ => {}
        }
    }
}
