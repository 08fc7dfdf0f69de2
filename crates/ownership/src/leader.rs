//! What the leader decides: whom it renews, and the next table.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::plan::{PlanContext, ReportSchedule, Server, plan};
use crate::{
    Heartbeat, HolderId, LEASE, Lessor, Member, Position, Range, Renewal, Sample, Table, Time,
    Traffic, is_internal,
};

/// Revision of the table's object in the store.
pub type Revision = u64;

/// Without other word from the store for this long, the leader asks whether it still leads.
const ASK_AGAIN: Duration = Duration::from_secs(3);
/// Without word for this long, members are asked to ask.
const WANT_WORD: Duration = Duration::from_millis(4_500);
/// A store that doesn't answer the leader for this long turns it away, or everybody: members are
/// asked to ask. For this long it then has to answer them and not the leader; beyond the longest
/// pause between two tries of a leader.
const TURNED_AWAY: Duration = Duration::from_secs(1);
/// A member not heard for this long, nearly three heartbeats, counts as silent.
const SILENT: Duration = Duration::from_millis(1_100);
/// A leader that wasn't called for this long stood still: its own heartbeat comes each 400 ms.
const STOOD_STILL: Duration = Duration::from_millis(600);
/// Time in which a leader that runs again has read what lay unread, with room for a busy machine.
const READ_ALL: Duration = Duration::from_millis(500);
/// How often silent members are looked for.
const LOOK: Duration = Duration::from_millis(50);
/// Time without newcomers after which the keys of a service are divided among its servers.
const GATHER: Duration = Duration::from_millis(1_500);
/// Time between two moves for balance, in which their effect shows in the samples.
const BALANCE: Duration = Duration::from_millis(500);
/// Time between two tables that only name members anew, as when all start at once.
const LEAST_INTERVAL: Duration = Duration::from_millis(400);
/// Members told of in one renewal; a datagram has room for them.
const MOST_SILENT: usize = 64;

/// For how long what is read now may have lain unread.
#[derive(Clone, Copy, Debug, Default)]
struct Lag {
    longest: Duration,
    until: Time,
}

impl Lag {
    /// Notes the time between two calls.
    fn note(&mut self, gap: Duration, now: Time) {
        if gap >= self.longest || now >= self.until {
            *self = Lag { longest: gap, until: now + READ_ALL };
        }
    }
}

/// What a leader that the store doesn't answer knows of the store's answers to members.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// When the first read that failed was asked for.
    since: Time,
    /// When members first and last asked what the store then answered.
    others: Option<(Time, Time)>,
}

impl Refusal {
    fn note_answer_to_member(&mut self, asked: Time) {
        if asked > self.since {
            let (first, last) = self.others.unwrap_or((asked, asked));
            self.others = Some((first, last.max(asked)));
        }
    }

    /// Whether a read asked for at `asked` failed while the store went on answering members.
    fn is_sure(&self, asked: Time) -> bool {
        let goes_on = |(first, last)| asked > first && last >= first + TURNED_AWAY;
        self.others.is_some_and(goes_on)
    }
}

/// One term of a leader.
#[derive(Clone, Debug)]
pub struct Leader {
    lessor: Lessor,
    /// Nothing while it isn't known what the object holds.
    revision: Option<Revision>,
    announced: BTreeMap<String, (HolderId, Member)>,
    is_listed: bool,
    /// When the latest life was announced.
    gathered: Time,
    samples: BTreeMap<HolderId, Sample>,
    /// When each member's server reports next.
    reports: BTreeMap<HolderId, Time>,
    report_interval: Duration,
    released: BTreeSet<(String, Position, u64)>,
    ended: BTreeSet<HolderId>,
    /// Members not heard lately, as of `looked`.
    silent: Vec<HolderId>,
    looked: Time,
    /// When it was last called.
    called: Time,
    /// Time for which it ran so far: where it stood still, what members sent may lie unread.
    ran: Duration,
    /// How long it had run when each member was last renewed.
    heard: BTreeMap<HolderId, Duration>,
    lag: Lag,
    balanced: Time,
    /// When the latest table was stored.
    written: Time,
    /// When the leader last asked what the store answered.
    answered: Time,
    /// Whether a call failed since then.
    is_suspicious: bool,
    refusal: Option<Refusal>,
}

impl Leader {
    /// A leader whose term was stored at `revision`; the store was asked at `asked` and answered
    /// at `now`. Servers report every `report_interval`.
    pub fn new(asked: Time, revision: Revision, report_interval: Duration, now: Time) -> Leader {
        Leader {
            lessor: Lessor::new(asked, now),
            revision: Some(revision),
            announced: BTreeMap::new(),
            is_listed: false,
            gathered: now,
            samples: BTreeMap::new(),
            reports: BTreeMap::new(),
            report_interval,
            released: BTreeSet::new(),
            ended: BTreeSet::new(),
            silent: Vec::new(),
            looked: Time::ZERO,
            called: now,
            ran: Duration::ZERO,
            heard: BTreeMap::new(),
            lag: Lag::default(),
            balanced: now,
            written: now,
            answered: asked,
            is_suspicious: false,
            refusal: None,
        }
    }

    /// An instance announced the life that it stands for.
    pub fn announce(&mut self, id: HolderId, member: Member, now: Time) {
        let instance = member.instance.clone();
        let before = self.announced.insert(instance, (id, member));
        if before.is_none_or(|(old, _)| old != id) {
            self.gathered = now;
        }
    }

    /// A life is known to have ended; it holds nothing.
    pub fn mark_ended(&mut self, id: HolderId) {
        self.ended.insert(id);
    }

    /// An instance was removed.
    pub fn withdraw(&mut self, instance: &str) {
        self.announced.remove(instance);
    }

    /// All that was announced is listed anew.
    pub fn reset_announcements(&mut self) {
        self.announced.clear();
        self.is_listed = true;
    }

    /// Takes a member's heartbeat; `table` is the one in force.
    pub fn handle_heartbeat(
        &mut self,
        from: HolderId,
        heartbeat: Heartbeat,
        table: &Table,
        now: Time,
    ) -> Renewal {
        self.run(now);
        if let Some(age) = heartbeat.confirmation_age {
            let asked = now.saturating_sub(age + self.lag.longest);
            self.lessor.confirm(asked);
            if let Some(refusal) = &mut self.refusal {
                refusal.note_answer_to_member(asked);
            }
        }
        if table.members.contains_key(&from) {
            for release in &heartbeat.releases {
                self.released.insert((release.service.clone(), release.first, release.fence));
            }
        }
        self.ended.extend(heartbeat.ended);
        self.samples.insert(from, heartbeat.sample);
        if let Some(left) = heartbeat.next_report_in {
            self.reports.insert(from, now + left);
        }
        let follows = heartbeat.term == table.term;
        let may = from != 0 && !self.ended.contains(&from) && self.lessor.renew(from, follows, now);
        if may {
            self.heard.insert(from, self.ran);
        }
        self.look_for_silence(table, now);
        Renewal {
            sent: heartbeat.sent,
            lease: if may { LEASE } else { Duration::ZERO },
            leads: true,
            wants_confirmation: self.wants_confirmation(now),
            silent: self.silent.clone(),
        }
    }

    fn wants_confirmation(&self, now: Time) -> bool {
        let is_refused = |refusal: &Refusal| now > refusal.since + TURNED_AWAY;
        now > self.lessor.confirmed_at() + WANT_WORD
            || self.refusal.as_ref().is_some_and(is_refused)
    }

    /// Notes that it runs. A time without a call in which it stood still counts as one look.
    fn run(&mut self, now: Time) {
        let gap = now.saturating_sub(self.called);
        self.called = self.called.max(now);
        self.lag.note(gap, now);
        self.ran += if gap < STOOD_STILL { gap } else { LOOK };
    }

    /// Works out who is silent, at most once in a while: each heartbeat is answered with it.
    fn look_for_silence(&mut self, table: &Table, now: Time) {
        if now < self.looked + LOOK || self.ran <= SILENT {
            return;
        }
        self.looked = now;
        let silent = table.members.keys().filter(|id| !self.is_heard(**id));
        self.silent = silent.copied().take(MOST_SILENT).collect();
    }

    /// Whether the object has to be read before anything else.
    pub fn must_read_table(&self, now: Time) -> bool {
        let is_unsure = self.revision.is_none() || self.is_suspicious || self.refusal.is_some();
        is_unsure || now > self.answered + ASK_AGAIN
    }

    /// A call to the store failed; whether it answers is seen by reading the object.
    pub fn note_store_error(&mut self) {
        self.is_suspicious = true;
    }

    /// The object was asked for at `asked` and couldn't be read; whether this leader has to resign.
    /// While the store answers members and not the leader, one of them can store tables; while it
    /// answers nobody, none can, and keeping the lead keeps the leases. What this leader wrote may
    /// still take effect, as after its death: the next one's write decides it.
    pub fn read_failed(&mut self, asked: Time) -> bool {
        let refusal = self.refusal.get_or_insert(Refusal { since: asked, others: None });
        refusal.is_sure(asked)
    }

    fn answered(&mut self, asked: Time) {
        self.answered = self.answered.max(asked);
        self.is_suspicious = false;
        self.refusal = None;
        self.lessor.confirm(asked);
    }

    /// The object was read, having been asked for at `asked`: it still names this leader.
    pub fn table_read(&mut self, revision: Revision, asked: Time) {
        self.answered(asked);
        // At another revision no earlier write can take effect any more; at the same one, a write
        // that wasn't answered still may.
        if self.revision != Some(revision) {
            self.lessor.resume_all();
        }
        self.revision = Some(revision);
    }

    /// The table was stored.
    pub fn table_stored(&mut self, table: &Table, revision: Revision, asked: Time) {
        self.written = asked;
        self.answered(asked);
        self.lessor.resume_all();
        self.revision = Some(revision);
        let is_open = |service: &String, first: Position, fence: u64| {
            let range = table.locate(service, first).filter(|range| range.first == first);
            range.is_some_and(|range| range.fence == fence && range.previous != 0)
        };
        self.released.retain(|(service, first, fence)| is_open(service, *first, *fence));
        self.ended.retain(|id| table.members.contains_key(id));
        self.samples.retain(|id, _| table.members.contains_key(id));
        self.reports.retain(|id, _| table.members.contains_key(id));
        self.lessor.retain(|id| table.members.contains_key(&id));
        self.heard.retain(|id, _| table.members.contains_key(id));
    }

    /// The object wasn't at the expected revision. Holders that an unanswered write took ranges
    /// from are renewed again only once the object was read.
    pub fn write_conflicted(&mut self) {
        self.revision = None;
    }

    /// The next table, if anything changes, and the revision that it replaces. Holders that lose
    /// something because they lapsed are renewed no more until the write is decided.
    pub fn next_table<'a>(
        &mut self,
        table: &Table,
        keyed: impl Iterator<Item = &'a str>,
        is_zone_in: impl Fn(&str) -> bool,
        now: Time,
    ) -> Option<(Table, Revision)> {
        self.run(now);
        let revision = self.revision.filter(|_| self.is_listed && self.lessor.is_valid(now))?;
        let mut next = table.clone();
        next.version += 1;
        let joins = self.update_members(&mut next);
        let mut changed = joins && now >= self.written + LEAST_INTERVAL;
        let gone = self.gone(&next, now);
        let may_balance = now > self.balanced + BALANCE;
        for service in keyed {
            let is_divided = next.services.contains_key(service);
            if !is_divided && now < self.gathered + GATHER {
                continue;
            }
            // Zones that are out, and load, concern servers only.
            let is_in = |zone: &str| is_internal(service) || is_zone_in(zone);
            let facts = self.facts(&next, is_in, now);
            let servers = self.servers(service, &facts);
            let samples = servers.iter().filter_map(|server| self.samples.get(&server.id));
            let traffic = Traffic::new(samples);
            let before = next.services.get(service).cloned();
            plan(&mut next, service, &servers, &traffic, &facts, may_balance);
            changed |= before.as_ref() != next.services.get(service);
        }
        if !changed {
            return None;
        }
        if may_balance {
            self.balanced = now;
        }
        let lapsed = gone.into_iter().filter(|id| self.lessor.has_lapsed(*id, now));
        let lapsed: Vec<HolderId> = lapsed.collect();
        self.lessor.suspend(lapsed);
        Some((next, revision))
    }

    /// Has the table name the members that announced themselves; whether it changed.
    fn update_members(&self, table: &mut Table) -> bool {
        let announced = self.announced.values().map(|(id, member)| {
            let serves = member.serves && !self.ended.contains(id);
            (*id, Member { serves, ..member.clone() })
        });
        let members: BTreeMap<HolderId, Member> = announced.collect();
        let changed = members != table.members;
        table.members = members;
        changed
    }

    fn facts(&self, table: &Table, is_zone_in: impl Fn(&str) -> bool, now: Time) -> PlanContext {
        let members = table.members.iter();
        let leaving = members.filter(|(_, member)| !member.serves || !is_zone_in(&member.zone));
        PlanContext {
            gone: self.gone(table, now),
            leaving: leaving.map(|(id, _)| *id).collect(),
            released: self.released.clone(),
            now,
        }
    }

    /// Incarnations whose ranges may go to others: replaced by a newer life, ended, or lapsed.
    fn gone(&self, table: &Table, now: Time) -> BTreeSet<HolderId> {
        let named = |range: &Range| [range.holder, range.previous];
        let holders = table.services.values().flatten().flat_map(named).filter(|id| *id != 0);
        let is_gone = |id: &HolderId| {
            !table.members.contains_key(id) || self.ended.contains(id) || self.has_lapsed(*id, now)
        };
        holders.filter(is_gone).collect()
    }

    fn is_heard(&self, id: HolderId) -> bool {
        self.heard.get(&id).is_some_and(|at| self.ran < *at + SILENT)
    }

    /// Whether a member's authority has surely ended and what it sent since was read.
    fn has_lapsed(&self, id: HolderId, now: Time) -> bool {
        self.lessor.has_lapsed(id, now) && !self.is_heard(id)
    }

    /// Servers of a service that may be given ranges.
    fn servers(&self, service: &str, facts: &PlanContext) -> Vec<Server> {
        let fit = self.announced.values().filter(|(id, member)| {
            (member.service == service || is_internal(service))
                && member.serves
                && !facts.gone.contains(id)
                && !facts.leaving.contains(id)
                && !self.ended.contains(id)
                && self.is_heard(*id)
        });
        let none = Sample::default();
        let servers = fit.map(|(id, _)| {
            let sample = self.samples.get(id).unwrap_or(&none);
            let reports = self
                .reports
                .get(id)
                .map(|next| ReportSchedule { next: *next, interval: self.report_interval });
            Server { id: *id, pressure: sample.pressure, rate: sample.rate, reports }
        });
        servers.collect()
    }
}
