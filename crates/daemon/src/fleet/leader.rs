//! What the leader does: renews members, revises the table as they come, go and report.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use cactushold_ownership::{
    Facts, HolderId, LEASE, Lessor, Position, Sample, Server, Table, Time, Traffic, plan,
};
use cactushold_platform::{Change, Error, Expected, Object, Pacer, Revision, Stored};
use cactushold_wire::signal::{Content, Heartbeat, Renewal};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::election::TABLE;
use crate::fleet::entry::{ENTRIES, Entry};
use crate::{clock, log};

/// How long a watch waits at the store.
const WATCH: Duration = Duration::from_secs(20);
/// Without other word from the store for this long, the leader asks whether it still leads.
const ASK_AGAIN: Duration = Duration::from_secs(3);
/// Without word for this long, members are asked to ask.
const WANT_WORD: Duration = Duration::from_millis(4_500);
/// A member not heard for this long counts as silent.
const SILENT: Duration = Duration::from_millis(1_100);
/// Time for the first servers of a service to be found before its keys are divided.
const GATHER: Duration = Duration::from_millis(1_500);
/// Time between two moves for balance.
const BALANCE: Duration = Duration::from_millis(500);
/// Members told of in one renewal.
const MOST_SILENT: usize = 64;

/// What only the leader knows.
pub(super) struct Leader {
    lessor: Lessor,
    since: Time,
    /// Revision of the table's object; nothing while a write may yet take effect.
    revision: Option<Revision>,
    entries: BTreeMap<String, (HolderId, Entry)>,
    is_listed: bool,
    /// When the latest entry appeared.
    gathered: Time,
    samples: BTreeMap<HolderId, Sample>,
    released: BTreeSet<(String, Position, u64)>,
    ended: BTreeSet<HolderId>,
    balanced: Time,
}

impl Leader {
    pub(super) fn new(lessor: Lessor, revision: Revision, now: Time) -> Leader {
        Leader {
            lessor,
            since: now,
            revision: Some(revision),
            entries: BTreeMap::new(),
            is_listed: false,
            gathered: now,
            samples: BTreeMap::new(),
            released: BTreeSet::new(),
            ended: BTreeSet::new(),
            balanced: now,
        }
    }

    /// When the store was last sure to name this leader.
    pub(super) fn assured(&self) -> Time {
        self.lessor.assured()
    }

    /// When its term began.
    pub(super) fn since(&self) -> Time {
        self.since
    }

    fn take_entry(&mut self, object: &Object, now: Time) {
        let Some((id, entry)) = Entry::read(object) else {
            log!(warn, Event::Unreadable, what = "entry", name = object.name);
            return;
        };
        if self.entries.insert(object.name.clone(), (id, entry)).is_none_or(|(old, _)| old != id) {
            self.gathered = now;
        }
    }

    fn apply(&mut self, change: Change, now: Time) {
        match change {
            Change::Stored(object) => self.take_entry(&object, now),
            Change::Removed(name) => {
                self.entries.remove(&name);
            }
        }
    }

    /// Lives whose ranges may go to others: replaced by a newer life, ended, or lapsed.
    fn gone(&self, table: &Table, now: Time) -> BTreeSet<HolderId> {
        let named = |range: &cactushold_ownership::Range| [range.holder, range.earlier];
        let holders: BTreeSet<HolderId> =
            table.services.values().flatten().flat_map(named).filter(|id| *id != 0).collect();
        let is_gone = |id: &HolderId| {
            let is_current = self.entries.values().any(|(current, _)| current == id);
            let is_replaced = self.is_listed && !is_current;
            is_replaced || self.ended.contains(id) || self.lessor.has_lapsed(*id, now)
        };
        holders.into_iter().filter(is_gone).collect()
    }

    fn is_heard(&self, id: HolderId, now: Time) -> bool {
        self.lessor.heard(id).is_some_and(|at| now < at + SILENT)
    }

    /// Servers of a service that may be given ranges.
    fn servers(&self, service: &str, facts: &Facts, now: Time) -> Vec<Server> {
        let of_service = self.entries.values().filter(|(id, entry)| {
            entry.service == service
                && entry.serves
                && !facts.gone.contains(id)
                && !facts.leaving.contains(id)
                && !self.ended.contains(id)
                && self.is_heard(*id, now)
        });
        of_service.map(|(id, _)| Server { id: *id, capacity: 1.0 }).collect()
    }
}

impl Fleet {
    /// Takes a member's heartbeat as leader: for how long it is renewed, whether the store's word
    /// is wanted, and who wasn't heard.
    pub(super) fn lead_heartbeat(
        &self,
        from: HolderId,
        heartbeat: Heartbeat,
        now: Time,
    ) -> (Duration, bool, Vec<HolderId>) {
        let mut leader = self.leader.borrow_mut();
        let Some(leader) = leader.as_mut() else { return (Duration::ZERO, false, Vec::new()) };
        if let Some(age) = heartbeat.word_age {
            leader.lessor.assure(now.saturating_sub(age));
        }
        let table = self.table.borrow();
        let service = table.members.get(&from).map(|member| member.service.clone());
        for release in &heartbeat.releases {
            if let Some(service) = &service {
                leader.released.insert((service.clone(), release.first, release.fence));
            }
        }
        leader.ended.extend(heartbeat.ended);
        leader.samples.insert(from, heartbeat.sample);
        let may = from != 0 && !leader.ended.contains(&from) && leader.lessor.renew(from, now);
        let lease = if may { LEASE } else { Duration::ZERO };
        let wants_word = now > leader.lessor.assured() + WANT_WORD;
        let silent = table.members.keys().filter(|id| !leader.is_heard(**id, now));
        let silent = silent.filter(|_| now > leader.since + SILENT).copied().take(MOST_SILENT);
        (lease, wants_word, silent.collect())
    }

    /// Tells all members what is known here, so that they fetch what is newer.
    pub(super) fn announce(&self) {
        let table = self.table.borrow();
        let own = self.shared.addresses.advertised;
        let news = Renewal { leads: true, ..Renewal::default() };
        for member in table.members.values().filter(|member| member.address != own) {
            self.send(member.address, Content::Renewal(news.clone()));
        }
    }

    /// One round of the leader.
    pub(super) async fn lead(self: &Rc<Self>) -> Result<(), Error> {
        let now = clock::now();
        let (is_unsure, is_old) = {
            let leader = self.leader.borrow();
            let Some(leader) = leader.as_ref() else { return Ok(()) };
            (leader.revision.is_none(), now > leader.lessor.assured() + ASK_AGAIN)
        };
        if is_unsure || is_old {
            self.read_back().await?;
        }
        self.revise(clock::now()).await
    }

    /// Reads the table's object: whether this daemon still leads, and what became of a write.
    async fn read_back(self: &Rc<Self>) -> Result<(), Error> {
        let asked = clock::now();
        let Some(object) = self.platform.get(TABLE).await? else { return Ok(()) };
        self.note_contact(asked);
        let table = serde_json::from_str::<Table>(&object.value)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let is_own = table.run == self.run;
        self.learn_table(table);
        if let Some(leader) = self.leader.borrow_mut().as_mut().filter(|_| is_own) {
            leader.lessor.assure(asked);
            // At another revision, no earlier write can take effect any more; at the same one, one
            // that wasn't answered still may.
            if leader.revision != Some(object.revision) {
                leader.lessor.absolve();
            }
            leader.revision = Some(object.revision);
        }
        Ok(())
    }

    async fn revise(self: &Rc<Self>, now: Time) -> Result<(), Error> {
        let Some((next, revision)) = self.next_table(now) else { return Ok(()) };
        let value = serde_json::to_string(&next).unwrap_or_default();
        let asked = clock::now();
        let outcome = self.platform.put(TABLE, &value, Expected::At(revision)).await;
        match outcome {
            Ok(Stored::Done(revision)) => {
                self.note_contact(asked);
                log!(info, Event::TableStored, version = next.version);
                if let Some(leader) = self.leader.borrow_mut().as_mut() {
                    leader.lessor.assure(asked);
                    leader.lessor.absolve();
                    leader.revision = Some(revision);
                    let version = next.version;
                    let is_open = |service: &String, first: Position, fence: u64| {
                        let range = next.locate(service, first);
                        range
                            .is_some_and(|r| r.first == first && r.fence == fence && r.earlier != 0)
                            && fence <= version
                    };
                    leader
                        .released
                        .retain(|(service, first, fence)| is_open(service, *first, *fence));
                    leader.ended.retain(|id| next.members.contains_key(id));
                    leader.lessor.retain(|id| next.members.contains_key(&id));
                }
                self.learn_table(next);
                self.announce();
                Ok(())
            }
            Ok(Stored::Conflict) => {
                if let Some(leader) = self.leader.borrow_mut().as_mut() {
                    leader.revision = None;
                }
                Ok(())
            }
            Err(error) => {
                // Whether it takes effect is known once the object was written again.
                log!(info, Event::AnswerLost, what = "table", reason = %error);
                Err(error)
            }
        }
    }

    /// The next table, if anything changes, and the revision that it replaces. Holders that lose
    /// something because they lapsed are renewed no more until the write is decided.
    fn next_table(&self, now: Time) -> Option<(Table, Revision)> {
        let mut leader = self.leader.borrow_mut();
        let leader = leader.as_mut()?;
        let revision =
            leader.revision.filter(|_| leader.is_listed && leader.lessor.is_valid(now))?;
        let config = self.config.borrow();
        let table = self.table.borrow();
        let mut next = (**table).clone();
        next.version += 1;
        let mut changed = update_members(&mut next, leader);
        let gone = leader.gone(&table, now);
        let is_out = |member: &cactushold_ownership::Member| !config.is_zone_in(&member.zone);
        let members = next.members.iter();
        let leaving = members.filter(|(_, member)| !member.serves || is_out(member));
        let leaving = leaving.map(|(id, _)| *id).collect();
        let facts = Facts { gone, leaving, released: leader.released.clone() };
        let may_balance = now > leader.balanced + BALANCE;
        for (service, _) in config.services.iter().filter(|(_, service)| service.keyed) {
            let is_divided = next.services.contains_key(service);
            if !is_divided && now < leader.gathered + GATHER {
                continue;
            }
            let servers = leader.servers(service, &facts, now);
            let samples = servers.iter().filter_map(|server| leader.samples.get(&server.id));
            let traffic = Traffic::new(samples);
            let before = next.services.get(service).cloned();
            plan(&mut next, service, &servers, &traffic, &facts, may_balance);
            changed |= before.as_ref() != next.services.get(service);
        }
        if !changed {
            return None;
        }
        if may_balance {
            leader.balanced = now;
        }
        let lapsed = facts.gone.iter().copied().filter(|id| leader.lessor.has_lapsed(*id, now));
        let lapsed: Vec<HolderId> = lapsed.collect();
        leader.lessor.condemn(lapsed);
        Some((next, revision))
    }

    /// Follows the members' entries for as long as this daemon leads.
    pub(super) async fn watch_entries(self: Rc<Self>) {
        let mut pacer = Pacer::new(fastrand::Rng::new());
        let term = self.table.borrow().term;
        let mut after: Option<Revision> = None;
        while self.leader.borrow().is_some() && self.table.borrow().term == term {
            let asked = clock::now();
            match self.read_entries(after).await {
                Ok(revision) => {
                    pacer.succeeded();
                    self.note_contact(asked);
                    after = Some(revision);
                }
                Err(Error::HistoryGone) => after = None,
                Err(error) => {
                    log!(info, Event::PlatformUnavailable, what = ENTRIES, reason = %error);
                    tokio::time::sleep(pacer.failed()).await;
                }
            }
        }
    }

    async fn read_entries(&self, after: Option<Revision>) -> Result<Revision, Error> {
        let Some(after) = after else {
            let listing = self.platform.list(ENTRIES).await?;
            let now = clock::now();
            if let Some(leader) = self.leader.borrow_mut().as_mut() {
                leader.entries.clear();
                for object in &listing.objects {
                    leader.take_entry(object, now);
                }
                leader.is_listed = true;
            }
            return Ok(listing.revision);
        };
        let changes = self.platform.watch(ENTRIES, after, WATCH).await?;
        let now = clock::now();
        if let Some(leader) = self.leader.borrow_mut().as_mut() {
            for change in changes.changes {
                leader.apply(change, now);
            }
        }
        Ok(changes.revision.max(after))
    }
}

/// Has the table name the members that announced themselves; whether it changed.
fn update_members(table: &mut Table, leader: &Leader) -> bool {
    let announced = leader.entries.iter().map(|(instance, (id, entry))| {
        let mut member = entry.member(instance);
        member.serves &= !leader.ended.contains(id);
        (*id, member)
    });
    let members: BTreeMap<HolderId, cactushold_ownership::Member> = announced.collect();
    let changed = members != table.members;
    table.members = members;
    changed
}
