//! The leader's decisions: which leases it renews, and the next table.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::plan::{PlanContext, ReportSchedule, Server, plan};
use crate::{
    Heartbeat, HolderId, LEASE, Lessor, Member, Position, Range, Renewal, Sample, Table, Time,
    Traffic, Version, is_internal,
};

/// Revision of the table's object in the store.
pub type Revision = u64;

/// Time without an answer from the store after which the leader reads the table to see whether it
/// is still the leader.
const READ_AFTER: Duration = Duration::from_secs(3);
/// Time without a confirmation by the store after which members are asked to get one.
const ASK_MEMBERS_AFTER: Duration = Duration::from_millis(4_500);
/// How long the leader's reads fail before members are asked to read the table too, which shows
/// whether the store refuses only the leader. The leader resigns once the store has answered
/// members, but not the leader, for as long again. Longer than the longest pause between two
/// attempts of the leader.
const READ_FAILURE_LIMIT: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a member is silent: nearly three heartbeat intervals.
const SILENCE: Duration = Duration::from_millis(1_100);
/// Time without a call that shows that the leader's process was paused: its own heartbeat calls it
/// every 400 ms.
const PAUSE: Duration = Duration::from_millis(600);
/// Time in which a leader that was paused has read all queued messages, with a margin for a busy
/// machine.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Minimum time between two searches for silent members.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The keys of a service are divided among its servers after a time without a new announcement, as a
/// multiple of the mean time between announcements.
const SETTLE_GAPS: u32 = 6;
/// Bounds of that time.
const SETTLE_TIMES: RangeInclusive<Duration> =
    Duration::from_millis(700)..=Duration::from_millis(1_500);
/// Minimum time between two rounds of balancing. Within it the samples show the effect of the moves.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time before a table that changes only the members, for instances that all start at once.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(400);
/// Fraction of the members that know the latest table from which the next one may be stored: under
/// a flood of joins, tables get larger instead of more frequent.
const INFORMED_FRACTION: f64 = 0.8;
/// Time after which the next table may be stored however many members know the latest one.
const MAX_INFORMING: Duration = Duration::from_millis(700);
/// Number of members up to which tables are stored without waiting for members to know them.
const SMALL_FLEET: usize = 20;
/// Time from the first announcement after which keys are divided also while others arrive.
const MAX_SETTLING: Duration = Duration::from_secs(4);
/// Maximum number of silent members in one renewal, which has to fit into a datagram.
const MAX_SILENT: usize = 64;

/// How long messages that are read now may have been queued.
#[derive(Clone, Copy, Debug, Default)]
struct QueueDelay {
    longest: Duration,
    /// When all messages queued for that long have been read.
    until: Time,
}

impl QueueDelay {
    /// Records the time between two calls.
    fn record(&mut self, gap: Duration, now: Time) {
        if gap >= self.longest || now >= self.until {
            *self = QueueDelay { longest: gap, until: now + CATCH_UP };
        }
    }
}

/// The leader's failed reads since the store last answered it, and what members read meanwhile.
#[derive(Clone, Copy, Debug)]
struct ReadFailures {
    /// When the first read that failed was sent.
    since: Time,
    /// When members sent the first and the last read that the store answered since then.
    member_reads: Option<(Time, Time)>,
}

impl ReadFailures {
    fn record_member_read(&mut self, asked: Time) {
        if asked > self.since {
            let (first, last) = self.member_reads.unwrap_or((asked, asked));
            self.member_reads = Some((first, last.max(asked)));
        }
    }

    /// Whether the read sent at `asked` failed while the store kept answering members.
    fn affects_only_leader(&self, asked: Time) -> bool {
        let is_long_enough = |(first, last)| asked > first && last >= first + READ_FAILURE_LIMIT;
        self.member_reads.is_some_and(is_long_enough)
    }
}

/// A leader during one term.
#[derive(Clone, Debug)]
pub struct Leader {
    lessor: Lessor,
    /// Revision of the table's object; `None` while its content is unknown.
    revision: Option<Revision>,
    /// Latest announcement of each instance.
    announced: BTreeMap<String, (HolderId, Member)>,
    /// Whether `announced` stems from a complete listing.
    is_listed: bool,
    /// When an incarnation was first announced to this leader.
    first_announcement: Option<Time>,
    /// When an incarnation was last announced for the first time.
    last_new_announcement: Time,
    /// Newest table that each member knows.
    known_tables: BTreeMap<HolderId, Version>,
    samples: BTreeMap<HolderId, Sample>,
    /// When the next report of each member's server is due.
    next_reports: BTreeMap<HolderId, Time>,
    report_interval: Duration,
    /// Ranges that their previous holders released, as service, first position and fence.
    released: BTreeSet<(String, Position, u64)>,
    ended: BTreeSet<HolderId>,
    /// Members not heard from recently, as of `silence_checked`.
    silent: Vec<HolderId>,
    silence_checked: Time,
    last_call: Time,
    /// Time for which the process ran, without its pauses. Silence is measured by this clock:
    /// after a pause, messages that members sent in time may still be queued.
    running_time: Duration,
    /// The running time when each member's lease was last renewed.
    heard: BTreeMap<HolderId, Duration>,
    queue_delay: QueueDelay,
    last_balance: Time,
    /// When the write of the latest table was sent.
    last_write: Time,
    /// When the leader sent the latest request that the store answered.
    last_answered: Time,
    /// Whether a request has failed since then.
    has_store_error: bool,
    read_failures: Option<ReadFailures>,
}

impl Leader {
    /// Creates a leader whose term was stored at `revision`. The request was sent to the store at
    /// `asked` and answered at `now`. Servers report every `report_interval`.
    pub fn new(asked: Time, revision: Revision, report_interval: Duration, now: Time) -> Leader {
        Leader {
            lessor: Lessor::new(asked, now),
            revision: Some(revision),
            announced: BTreeMap::new(),
            is_listed: false,
            first_announcement: None,
            last_new_announcement: now,
            known_tables: BTreeMap::new(),
            samples: BTreeMap::new(),
            next_reports: BTreeMap::new(),
            report_interval,
            released: BTreeSet::new(),
            ended: BTreeSet::new(),
            silent: Vec::new(),
            silence_checked: Time::ZERO,
            last_call: now,
            running_time: Duration::ZERO,
            heard: BTreeMap::new(),
            queue_delay: QueueDelay::default(),
            last_balance: now,
            last_write: now,
            last_answered: asked,
            has_store_error: false,
            read_failures: None,
        }
    }

    /// Records the current incarnation that an instance announced.
    pub fn announce(&mut self, id: HolderId, member: Member, now: Time) {
        let instance = member.instance.clone();
        self.first_announcement.get_or_insert(now);
        let before = self.announced.insert(instance, (id, member));
        if before.is_none_or(|(old, _)| old != id) {
            self.last_new_announcement = now;
        }
    }

    /// Records that an incarnation has ended and holds nothing.
    pub fn mark_ended(&mut self, id: HolderId) {
        self.ended.insert(id);
    }

    /// Removes the announcement of an instance.
    pub fn withdraw(&mut self, instance: &str) {
        self.announced.remove(instance);
    }

    /// Discards all announcements. The caller then repeats all that are in force.
    pub fn reset_announcements(&mut self) {
        self.announced.clear();
        self.is_listed = true;
    }

    /// Handles a member's heartbeat; `table` is the table in force.
    pub fn handle_heartbeat(
        &mut self,
        from: HolderId,
        heartbeat: Heartbeat,
        table: &Table,
        now: Time,
    ) -> Renewal {
        self.note_call(now);
        if let Some(age) = heartbeat.confirmation_age {
            let asked = now.saturating_sub(age + self.queue_delay.longest);
            self.lessor.confirm(asked);
            if let Some(failures) = &mut self.read_failures {
                failures.record_member_read(asked);
            }
        }
        if table.members.contains_key(&from) {
            for release in &heartbeat.releases {
                self.released.insert((release.service.clone(), release.first, release.fence));
            }
        }
        self.ended.extend(heartbeat.ended);
        self.samples.insert(from, heartbeat.sample);
        self.known_tables.insert(from, heartbeat.table);
        if let Some(left) = heartbeat.next_report_in {
            self.next_reports.insert(from, now + left);
        }
        let knows_term = heartbeat.term == table.term;
        let is_renewed =
            from != 0 && !self.ended.contains(&from) && self.lessor.renew(from, knows_term, now);
        if is_renewed {
            self.heard.insert(from, self.running_time);
        }
        self.check_silence(table, now);
        Renewal {
            sent: heartbeat.sent,
            lease: if is_renewed { LEASE } else { Duration::ZERO },
            leads: true,
            wants_confirmation: self.wants_confirmation(now),
            silent: self.silent.clone(),
        }
    }

    fn wants_confirmation(&self, now: Time) -> bool {
        let is_failing = |failures: &ReadFailures| now > failures.since + READ_FAILURE_LIMIT;
        now > self.lessor.confirmed_at() + ASK_MEMBERS_AFTER
            || self.read_failures.as_ref().is_some_and(is_failing)
    }

    /// Advances the running time. A pause counts no more than one silence check interval.
    fn note_call(&mut self, now: Time) {
        let gap = now.saturating_sub(self.last_call);
        self.last_call = self.last_call.max(now);
        self.queue_delay.record(gap, now);
        self.running_time += if gap < PAUSE { gap } else { SILENCE_CHECK_INTERVAL };
    }

    /// Updates the list of silent members. It goes into every answer to a heartbeat, so the update
    /// is limited to once per interval.
    fn check_silence(&mut self, table: &Table, now: Time) {
        if now < self.silence_checked + SILENCE_CHECK_INTERVAL || self.running_time <= SILENCE {
            return;
        }
        self.silence_checked = now;
        let silent = table.members.keys().filter(|id| !self.is_heard(**id));
        self.silent = silent.copied().take(MAX_SILENT).collect();
    }

    /// Whether the table's object has to be read before anything else.
    pub fn must_read_table(&self, now: Time) -> bool {
        let is_unsure =
            self.revision.is_none() || self.has_store_error || self.read_failures.is_some();
        is_unsure || now > self.last_answered + READ_AFTER
    }

    /// Records that a request to the store failed. The table has to be read to see whether the
    /// store still answers the leader.
    pub fn note_store_error(&mut self) {
        self.has_store_error = true;
    }

    /// Records that the read of the table's object sent at `asked` failed. Returns whether this
    /// leader has to resign.
    ///
    /// It resigns if the store answers members but not the leader, since one of the members can
    /// then store tables. If the store answers nobody, no other leader could, and staying the
    /// leader keeps the leases alive. A write of this leader may still take effect after it
    /// resigned, as after a crash: the next leader's write settles that.
    pub fn read_failed(&mut self, asked: Time) -> bool {
        let failures =
            self.read_failures.get_or_insert(ReadFailures { since: asked, member_reads: None });
        failures.affects_only_leader(asked)
    }

    /// Records that the store answered a request sent at `asked` and still names this leader.
    fn note_answer(&mut self, asked: Time) {
        self.last_answered = self.last_answered.max(asked);
        self.has_store_error = false;
        self.read_failures = None;
        self.lessor.confirm(asked);
    }

    /// Records that the table's object was read by a request sent at `asked` and still names this
    /// leader.
    pub fn table_read(&mut self, revision: Revision, asked: Time) {
        self.note_answer(asked);
        // At another revision no earlier write can take effect any more. At the same revision, a
        // write that wasn't answered still can.
        if self.revision != Some(revision) {
            self.lessor.resume_all();
        }
        self.revision = Some(revision);
    }

    /// Records that the table was stored by a request sent at `asked`.
    pub fn table_stored(&mut self, table: &Table, revision: Revision, asked: Time) {
        self.last_write = asked;
        self.note_answer(asked);
        self.lessor.resume_all();
        self.revision = Some(revision);
        let has_previous = |service: &String, first: Position, fence: u64| {
            let range = table.locate(service, first).filter(|range| range.first == first);
            range.is_some_and(|range| range.fence == fence && range.previous != 0)
        };
        self.released.retain(|(service, first, fence)| has_previous(service, *first, *fence));
        self.ended.retain(|id| table.members.contains_key(id));
        self.samples.retain(|id, _| table.members.contains_key(id));
        self.known_tables.retain(|id, _| table.members.contains_key(id));
        self.next_reports.retain(|id, _| table.members.contains_key(id));
        self.lessor.retain(|id| table.members.contains_key(&id));
        self.heard.retain(|id, _| table.members.contains_key(id));
    }

    /// Records that a write failed because the object has another revision. The object has to be
    /// read before the leases of holders that lose ranges in an unanswered write are renewed again.
    pub fn write_conflicted(&mut self) {
        self.revision = None;
    }

    /// The next table and the revision that it replaces; `None` if nothing changes or this leader
    /// may not write now. Holders that lose ranges because their lease has expired get no renewals
    /// until the outcome of the write is known.
    pub fn next_table<'a>(
        &mut self,
        table: &Table,
        keyed: impl Iterator<Item = &'a str>,
        is_zone_in: impl Fn(&str) -> bool,
        now: Time,
    ) -> Option<(Table, Revision)> {
        self.note_call(now);
        let revision = self.revision.filter(|_| self.is_listed && self.lessor.is_valid(now))?;
        if !self.is_table_known(table, now) {
            return None;
        }
        let mut next = table.clone();
        next.version += 1;
        let members_changed = self.update_members(&mut next, now);
        let mut changed = members_changed && now >= self.last_write + MEMBERS_INTERVAL;
        if next.has_unknown_holders && now >= self.lessor.earlier_leases_end() {
            next.has_unknown_holders = false;
            changed = true;
        }
        let gone = self.gone(&next, now);
        let may_balance = now > self.last_balance + BALANCE_INTERVAL;
        for service in keyed {
            let is_divided = next.services.contains_key(service);
            let is_settled = self.is_settled(now);
            if !is_divided && (next.has_unknown_holders || !is_settled) {
                continue;
            }
            // A zone that is out affects servers only: its daemons still hold ranges of internal services.
            let is_in = |zone: &str| is_internal(service) || is_zone_in(zone);
            let context = self.plan_context(&next, is_in, now);
            let servers = self.servers(&next, service, &context);
            let samples = servers.iter().filter_map(|server| self.samples.get(&server.id));
            let traffic = Traffic::new(samples);
            let before = next.services.get(service).cloned();
            plan(&mut next, service, &servers, &traffic, &context, may_balance);
            changed |= before.as_ref() != next.services.get(service);
        }
        if !changed {
            return None;
        }
        if may_balance {
            self.last_balance = now;
        }
        let lapsed = gone.into_iter().filter(|id| self.lessor.has_lapsed(*id, now));
        let lapsed: Vec<HolderId> = lapsed.collect();
        self.lessor.suspend(lapsed);
        Some((next, revision))
    }

    /// Whether instances have stopped arriving.
    fn is_settled(&self, now: Time) -> bool {
        let Some(first) = self.first_announcement else { return false };
        let gaps = self.announced.len().saturating_sub(1).max(1) as u32;
        let mean_gap = self.last_new_announcement.saturating_sub(first) / gaps;
        let settle_time =
            (mean_gap * SETTLE_GAPS).clamp(*SETTLE_TIMES.start(), *SETTLE_TIMES.end());
        now >= self.last_new_announcement + settle_time || now >= first + MAX_SETTLING
    }

    /// Whether most members that are heard know the latest table, or have had the time to.
    fn is_table_known(&self, table: &Table, now: Time) -> bool {
        if now >= self.last_write + MAX_INFORMING || table.members.len() <= SMALL_FLEET {
            return true;
        }
        let heard = table.members.keys().filter(|id| self.is_heard(**id));
        let (mut count, mut informed) = (0, 0);
        for id in heard {
            count += 1;
            informed += usize::from(self.known_tables.get(id) >= Some(&table.version));
        }
        informed as f64 >= f64::from(count) * INFORMED_FRACTION
    }

    /// Replaces the table's members by those that are announced. Returns whether they changed.
    ///
    /// A member whose entry another writer removed or made unreadable stays until its lease has
    /// expired and no range names it: unlike one that its own daemon replaced, it may still hold
    /// keys.
    fn update_members(&self, table: &mut Table, now: Time) -> bool {
        let announced = self.announced.values().map(|(id, member)| (*id, member));
        let ranges = table.services.values().flatten();
        let named: BTreeSet<HolderId> = ranges.flat_map(|r| [r.holder, r.previous]).collect();
        let unlisted = table.members.iter().filter(|(id, member)| {
            !self.announced.contains_key(&member.instance)
                && (named.contains(id) || !self.has_lapsed(**id, now))
        });
        let mut members: BTreeMap<HolderId, Member> = BTreeMap::new();
        for (id, member) in announced.chain(unlisted.map(|(id, member)| (*id, member))) {
            // Of two entries with the same identity, the one that the table knows is valid.
            let is_known = table.members.get(&id).is_some_and(|m| m.instance == member.instance);
            if members.contains_key(&id) && !is_known {
                continue;
            }
            let serves = member.serves && !self.ended.contains(&id);
            members.insert(id, Member { serves, ..member.clone() });
        }
        let changed = members != table.members;
        table.members = members;
        changed
    }

    fn plan_context(
        &self,
        table: &Table,
        is_zone_in: impl Fn(&str) -> bool,
        now: Time,
    ) -> PlanContext {
        let members = table.members.iter();
        let leaving = members.filter(|(_, member)| !member.serves || !is_zone_in(&member.zone));
        PlanContext {
            gone: self.gone(table, now),
            leaving: leaving.map(|(id, _)| *id).collect(),
            released: self.released.clone(),
            now,
        }
    }

    /// Incarnations whose ranges may go to others: those that were replaced by a newer incarnation,
    /// have ended, or whose lease has expired.
    fn gone(&self, table: &Table, now: Time) -> BTreeSet<HolderId> {
        let holders = |range: &Range| [range.holder, range.previous];
        let holders = table.services.values().flatten().flat_map(holders).filter(|id| *id != 0);
        let is_gone = |id: &HolderId| {
            !table.members.contains_key(id) || self.ended.contains(id) || self.has_lapsed(*id, now)
        };
        holders.filter(is_gone).collect()
    }

    fn is_heard(&self, id: HolderId) -> bool {
        self.heard.get(&id).is_some_and(|at| self.running_time < *at + SILENCE)
    }

    /// Whether a member's lease has certainly expired and no message from it is waiting to be read.
    fn has_lapsed(&self, id: HolderId, now: Time) -> bool {
        self.lessor.has_lapsed(id, now) && !self.is_heard(id)
    }

    /// Servers that may be given ranges of a service.
    fn servers(&self, table: &Table, service: &str, context: &PlanContext) -> Vec<Server> {
        let eligible = table.members.iter().filter(|(id, member)| {
            (member.service == service || is_internal(service))
                && member.serves
                && !context.gone.contains(id)
                && !context.leaving.contains(id)
                && !self.ended.contains(id)
                && self.is_heard(**id)
        });
        let none = Sample::default();
        let servers = eligible.map(|(id, _)| {
            let sample = self.samples.get(id).unwrap_or(&none);
            let reports = self
                .next_reports
                .get(id)
                .map(|next| ReportSchedule { next: *next, interval: self.report_interval });
            Server { id: *id, pressure: sample.pressure, rate: sample.rate, reports }
        });
        servers.collect()
    }
}
