//! What the leader does: revises the slice table as members come, go and report.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Incarnation, KnownVersions, Peer, Report, Table};
use cactushold_placement::{ClusterView, revise};
use cactushold_platform::{
    Backoff, Change, Error, Key, Object, Precondition, PutOutcome, Revision,
};

use crate::clock;
use crate::control::Control;
use crate::control::registration::Registration;
use crate::event::Event;
use crate::log;

/// How often the leader looks for something to revise.
const ROUND: Duration = Duration::from_millis(50);
/// How long a watch waits at the platform.
const WATCH: Duration = Duration::from_secs(20);
/// Least number of slices that may be on the move at a time.
const LEAST_MOVES: usize = 16;
/// Part of all slices that may be on the move at a time, as a divisor.
const MOVES_DIVISOR: usize = 8;
/// Name of the slice table's object.
pub(super) const TABLE: &str = "table";
/// Name of the configuration's object.
pub(super) const CONFIG: &str = "config";
/// Kind of the instances' objects.
pub(super) const INSTANCES: &str = "cactushold-instances";

/// The object of a document that daemons share.
pub(super) fn own(name: &str) -> Key<'_> {
    Key { kind: cactushold_platform::INTERNAL_KIND, name }
}

/// What a revision depends on; without a change in it there is nothing to revise.
#[derive(Clone, PartialEq, Eq)]
struct Inputs {
    known: KnownVersions,
    changes: u64,
    stopped: usize,
}

/// What only the leader knows.
#[derive(Default)]
pub(super) struct Leader {
    is_leading: bool,
    term: u64,
    reports: BTreeMap<Incarnation, Report>,
    registered: BTreeMap<String, (Incarnation, Peer)>,
    is_listed: bool,
    changes: u64,
    revised: Option<Inputs>,
    /// Version of the table's object, once it was read.
    pub(super) table: Option<Precondition>,
    /// Version of the configuration's object, once it was read.
    pub(super) config: Option<Precondition>,
}

impl Leader {
    /// Takes a member's report.
    pub(super) fn note(&mut self, report: Report) {
        self.changes += 1;
        self.reports.insert(report.member, report);
    }

    /// Takes up announcements.
    pub(super) fn list(&mut self, objects: &[Object]) {
        for object in objects {
            let Some((id, registration)) = Registration::read(object) else { continue };
            self.registered.insert(registration.instance.clone(), (id, registration.peer()));
        }
        self.changes += u64::from(!objects.is_empty());
        self.is_listed = true;
    }

    /// Whether table, configuration and instances were read since this daemon began to lead.
    pub(super) fn is_synced(&self) -> bool {
        self.table.is_some() && self.config.is_some() && self.is_listed
    }

    /// Has everything read anew.
    pub(super) fn desync(&mut self) {
        self.table = None;
        self.config = None;
        self.revised = None;
    }

    /// Incarnations of the table that are proven gone by a newer one of the same instance.
    pub(super) fn replaced(&self, table: &Table) -> BTreeSet<Incarnation> {
        let members = table.members.iter();
        let replaced = members.filter(|(id, member)| {
            let latest = self.registered.get(&member.peer.instance);
            latest.is_some_and(|(latest, _)| latest > id)
        });
        replaced.map(|(id, _)| *id).collect()
    }

    /// The latest incarnation of each instance.
    pub(super) fn registered(&self) -> BTreeMap<Incarnation, Peer> {
        self.registered.values().map(|(id, peer)| (*id, peer.clone())).collect()
    }

    fn epochs(&self) -> BTreeMap<Incarnation, u32> {
        self.reports.iter().map(|(id, report)| (*id, report.epoch)).collect()
    }

    /// Settles slices whose new holders reported.
    fn settle(&self, table: &mut Table) -> bool {
        let unsettled = table.slices().filter(|slice| slice.previous.is_some());
        let confirmed: Vec<_> = unsettled
            .map(|slice| (slice.id, slice.current))
            .filter(|(id, current)| {
                let report = self.reports.get(&current.owner);
                report.is_some_and(|report| report.holds.contains(&(*id, current.since)))
            })
            .collect();
        let mut changed = false;
        for (id, current) in confirmed {
            changed |= table.confirm_assignment(id, current.since);
        }
        changed
    }
}

impl Control {
    /// Leads whenever this daemon holds the control slice; looks for a lost leader otherwise.
    pub(super) async fn keep_leading(self: Rc<Self>) {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        loop {
            tokio::time::sleep(ROUND).await;
            let leads = self.leads(clock::now());
            self.turn_leader(leads);
            let outcome = if leads { self.lead().await } else { self.recover().await };
            match outcome {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log!(warn, Event::PlatformUnavailable, reason = %error);
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    fn turn_leader(self: &Rc<Self>, leads: bool) {
        let mut leader = self.leader.borrow_mut();
        if leader.is_leading == leads {
            return;
        }
        let term = leader.term + 1;
        // What members reported stays true, and they report it once to a leader: one whose lease
        // lapsed for a moment wouldn't hear it again.
        let reports = std::mem::take(&mut leader.reports);
        *leader = Leader { is_leading: leads, term, reports, ..Leader::default() };
        if leads {
            log!(info, Event::Leading, incarnation = self.id());
            self.tasks.spawn_finite("instances", Rc::clone(self).watch_instances(term));
        } else {
            log!(info, Event::NotLeading, incarnation = self.id());
        }
    }

    async fn lead(self: &Rc<Self>) -> Result<(), Error> {
        if !self.leader.borrow().is_synced() {
            return self.sync().await;
        }
        self.revise().await
    }

    /// Reads table and configuration; the leader's own may be older.
    pub(super) async fn sync(self: &Rc<Self>) -> Result<(), Error> {
        let at =
            |revision: Option<Revision>| revision.map_or(Precondition::Absent, Precondition::At);
        let table = self.platform.get(own(TABLE)).await?;
        let config = self.platform.get(own(CONFIG)).await?;
        let revisions = [&table, &config].map(|object| object.as_ref().map(|found| found.revision));
        if let Some(table) = table.and_then(|object| serde_json::from_str(&object.value).ok()) {
            self.learn_table(table);
        }
        if let Some(config) = config.and_then(|object| serde_json::from_str(&object.value).ok()) {
            self.learn_config(config);
        }
        let mut leader = self.leader.borrow_mut();
        leader.table = Some(at(revisions[0]));
        leader.config = Some(at(revisions[1]));
        Ok(())
    }

    async fn watch_instances(self: Rc<Self>, term: u64) {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        let mut after = None;
        while self.leader.borrow().term == term {
            match self.instances_since(after).await {
                Ok((revision, objects)) => {
                    backoff.reset();
                    after = Some(revision);
                    let mut leader = self.leader.borrow_mut();
                    if leader.term == term {
                        leader.list(&objects);
                    }
                }
                Err(Error::HistoryGone) => after = None,
                Err(_) => tokio::time::sleep(backoff.next_delay()).await,
            }
        }
    }

    /// Announcements that are newer than a revision, or all of them.
    async fn instances_since(
        &self,
        after: Option<Revision>,
    ) -> Result<(Revision, Vec<Object>), Error> {
        let Some(after) = after else {
            let listing = self.platform.list(INSTANCES).await?;
            return Ok((listing.revision, listing.objects));
        };
        let changes = self.platform.watch(INSTANCES, after, WATCH).await?;
        let stored = changes.changes.into_iter().filter_map(|change| match change {
            Change::Stored(object) => Some(object),
            Change::Removed(_) => None,
        });
        Ok((changes.revision, stored.collect()))
    }

    fn placement_view(&self, table: &Table) -> ClusterView {
        let leader = self.leader.borrow();
        let config = self.config.borrow();
        let member = self.member.borrow();
        let stopped = |id: &Incarnation| member.as_ref().is_some_and(|m| m.is_stopped(*id));
        let mut gone = leader.replaced(table);
        gone.extend(config.retired.iter().copied());
        gone.extend(table.members.keys().copied().filter(stopped));
        let zones = config.zones.iter().filter(|(_, zone)| zone.out);
        ClusterView {
            registered: leader.registered(),
            gone,
            zones_out: zones.map(|(name, _)| name.clone()).collect(),
            confirmed_epochs: leader.epochs(),
            hot_keys: Vec::new(),
            max_moving_slices: LEAST_MOVES.max(table.slices().count() / MOVES_DIVISOR),
        }
    }

    async fn revise(self: &Rc<Self>) -> Result<(), Error> {
        let table = {
            let member = self.member.borrow();
            let Some(member) = member.as_ref() else { return Ok(()) };
            let changes = self.leader.borrow().changes;
            let inputs = Inputs { known: member.known(), changes, stopped: member.stopped_count() };
            if self.leader.borrow().revised.as_ref() == Some(&inputs) {
                return Ok(());
            }
            self.leader.borrow_mut().revised = Some(inputs);
            std::sync::Arc::clone(&self.table.borrow())
        };
        let mut base = (*table).clone();
        let is_settled = self.leader.borrow().settle(&mut base);
        let next = match revise(&base, &self.placement_view(&base)) {
            Some(next) => next,
            None if is_settled => {
                base.begin_edit();
                base
            }
            None => return Ok(()),
        };
        let Some(expected) = self.leader.borrow().table else { return Ok(()) };
        self.store_table(next, expected).await
    }

    /// Stores a table. Whatever isn't surely stored is read back before the next step.
    pub(super) async fn store_table(
        self: &Rc<Self>,
        next: Table,
        expected: Precondition,
    ) -> Result<(), Error> {
        let value = serde_json::to_string(&next).unwrap_or_default();
        match self.platform.put(own(TABLE), &value, expected).await {
            Ok(PutOutcome::Stored(revision)) => {
                log!(info, Event::TableStored, version = next.version);
                self.leader.borrow_mut().table = Some(Precondition::At(revision));
                self.learn_table(next);
                Ok(())
            }
            Ok(PutOutcome::Conflict) => {
                self.leader.borrow_mut().desync();
                Ok(())
            }
            Err(error) => {
                if matches!(error, Error::ResponseLost(_)) {
                    log!(warn, Event::AnswerLost, object = TABLE);
                }
                self.leader.borrow_mut().desync();
                Err(error)
            }
        }
    }
}
