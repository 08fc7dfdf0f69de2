//! The leader's work: revises the slice table as members join, leave and report.

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

/// Interval at which the leader checks whether the slice table needs a revision.
const REVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum duration of one watch call to the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Lower bound of the limit on slices that move at the same time.
const MIN_MOVING_SLICES: usize = 16;
/// The number of all slices divided by this is the limit on slices that move at the same time.
const MOVING_SLICES_DIVISOR: usize = 8;
/// Name of the platform object that holds the slice table.
pub(super) const TABLE_OBJECT: &str = "table";
/// Name of the platform object that holds the configuration.
pub(super) const CONFIG_OBJECT: &str = "config";
/// Kind of the platform objects that hold the registrations of instances.
pub(super) const INSTANCE_KIND: &str = "cactushold-instances";

/// Key of a document that the daemons share.
pub(super) fn internal_key(name: &str) -> Key<'_> {
    Key { kind: cactushold_platform::INTERNAL_KIND, name }
}

/// Inputs of a table revision. As long as they are unchanged, a revision would change nothing.
#[derive(Clone, PartialEq, Eq)]
struct RevisionInputs {
    known: KnownVersions,
    changes: u64,
    stopped: usize,
}

/// What the leader collects: registrations and reports of members, and the preconditions for
/// writing the stored documents.
#[derive(Default)]
pub(super) struct LeaderState {
    is_leading: bool,
    /// Changes whenever this daemon becomes the leader or ceases to be; ends the watch of an
    /// earlier term.
    term: u64,
    reports: BTreeMap<Incarnation, Report>,
    /// Latest incarnation of each instance, by the instance's name.
    registered: BTreeMap<String, (Incarnation, Peer)>,
    has_registrations: bool,
    /// Number of updates to reports and registrations.
    changes: u64,
    /// Inputs of the last revision, which isn't repeated for the same inputs.
    last_revision: Option<RevisionInputs>,
    /// Precondition for writing the slice table; `None` until the object was read.
    pub(super) table: Option<Precondition>,
    /// Precondition for writing the configuration; `None` until the object was read.
    pub(super) config: Option<Precondition>,
}

impl LeaderState {
    /// Stores a member's report.
    pub(super) fn add_report(&mut self, report: Report) {
        self.changes += 1;
        self.reports.insert(report.member, report);
    }

    /// Adds the registrations that a list or watch call returned.
    pub(super) fn add_registrations(&mut self, objects: &[Object]) {
        for object in objects {
            let Some((id, registration)) = Registration::from_object(object) else { continue };
            self.registered.insert(registration.instance.clone(), (id, registration.peer()));
        }
        self.changes += u64::from(!objects.is_empty());
        self.has_registrations = true;
    }

    /// Whether slice table, configuration and registrations were read since this daemon became the
    /// leader.
    pub(super) fn is_synced(&self) -> bool {
        self.table.is_some() && self.config.is_some() && self.has_registrations
    }

    /// Discards the write preconditions, so that slice table and configuration are read again.
    pub(super) fn invalidate_documents(&mut self) {
        self.table = None;
        self.config = None;
        self.last_revision = None;
    }

    /// Incarnations in the table that a newer incarnation of the same instance has replaced.
    pub(super) fn replaced_incarnations(&self, table: &Table) -> BTreeSet<Incarnation> {
        let members = table.members.iter();
        let replaced = members.filter(|(id, member)| {
            let latest = self.registered.get(&member.peer.instance);
            latest.is_some_and(|(latest, _)| latest > id)
        });
        replaced.map(|(id, _)| *id).collect()
    }

    /// The latest registered incarnation of each instance.
    pub(super) fn latest_incarnations(&self) -> BTreeMap<Incarnation, Peer> {
        self.registered.values().map(|(id, peer)| (*id, peer.clone())).collect()
    }

    fn reported_epochs(&self) -> BTreeMap<Incarnation, u32> {
        self.reports.iter().map(|(id, report)| (*id, report.epoch)).collect()
    }

    /// Confirms assignments whose new owners report that they hold the slice. Returns whether the
    /// table changed.
    fn confirm_reported(&self, table: &mut Table) -> bool {
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
    /// Runs the leader's work while this daemon holds the control slice; otherwise checks whether a
    /// lost leader must be replaced.
    pub(super) async fn run_leadership(self: Rc<Self>) {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        loop {
            tokio::time::sleep(REVISION_INTERVAL).await;
            let is_leader = self.is_leader(clock::now());
            self.set_leading(is_leader);
            let outcome =
                if is_leader { self.run_leader_step().await } else { self.recover_leader().await };
            match outcome {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    log!(warn, Event::PlatformUnavailable, reason = %error);
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    fn set_leading(self: &Rc<Self>, is_leader: bool) {
        let mut leader = self.leader.borrow_mut();
        if leader.is_leading == is_leader {
            return;
        }
        let term = leader.term + 1;
        // Reports are kept: they remain true, and a member sends each report only once to the same
        // leader, so a leader whose lease lapsed briefly wouldn't receive them again.
        let reports = std::mem::take(&mut leader.reports);
        *leader = LeaderState { is_leading: is_leader, term, reports, ..LeaderState::default() };
        if is_leader {
            log!(info, Event::Leading, incarnation = self.id());
            self.tasks.spawn_finite("instances", Rc::clone(self).watch_registrations(term));
        } else {
            log!(info, Event::NotLeading, incarnation = self.id());
        }
    }

    async fn run_leader_step(self: &Rc<Self>) -> Result<(), Error> {
        if !self.leader.borrow().is_synced() {
            return self.read_documents().await;
        }
        self.revise_table().await
    }

    /// Reads slice table and configuration from the platform, as the local copies may be older.
    pub(super) async fn read_documents(self: &Rc<Self>) -> Result<(), Error> {
        let precondition =
            |revision: Option<Revision>| revision.map_or(Precondition::Absent, Precondition::At);
        let table = self.platform.get(internal_key(TABLE_OBJECT)).await?;
        let config = self.platform.get(internal_key(CONFIG_OBJECT)).await?;
        let revisions = [&table, &config].map(|object| object.as_ref().map(|found| found.revision));
        if let Some(table) = table.and_then(|object| serde_json::from_str(&object.value).ok()) {
            self.apply_table(table);
        }
        if let Some(config) = config.and_then(|object| serde_json::from_str(&object.value).ok()) {
            self.apply_config(config);
        }
        let mut leader = self.leader.borrow_mut();
        leader.table = Some(precondition(revisions[0]));
        leader.config = Some(precondition(revisions[1]));
        Ok(())
    }

    async fn watch_registrations(self: Rc<Self>, term: u64) {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        let mut after = None;
        while self.leader.borrow().term == term {
            match self.registrations_since(after).await {
                Ok((revision, objects)) => {
                    backoff.reset();
                    after = Some(revision);
                    let mut leader = self.leader.borrow_mut();
                    if leader.term == term {
                        leader.add_registrations(&objects);
                    }
                }
                Err(Error::HistoryGone) => after = None,
                Err(_) => tokio::time::sleep(backoff.next_delay()).await,
            }
        }
    }

    /// Registrations that changed after a revision, or all of them without one. Returns the
    /// revision to continue from.
    async fn registrations_since(
        &self,
        after: Option<Revision>,
    ) -> Result<(Revision, Vec<Object>), Error> {
        let Some(after) = after else {
            let listing = self.platform.list(INSTANCE_KIND).await?;
            return Ok((listing.revision, listing.objects));
        };
        let changes = self.platform.watch(INSTANCE_KIND, after, WATCH_TIMEOUT).await?;
        let stored = changes.changes.into_iter().filter_map(|change| match change {
            Change::Stored(object) => Some(object),
            Change::Removed(_) => None,
        });
        Ok((changes.revision, stored.collect()))
    }

    fn cluster_view(&self, table: &Table) -> ClusterView {
        let leader = self.leader.borrow();
        let config = self.config.borrow();
        let member = self.member.borrow();
        let stopped = |id: &Incarnation| member.as_ref().is_some_and(|m| m.is_stopped(*id));
        let mut gone = leader.replaced_incarnations(table);
        gone.extend(config.retired.iter().copied());
        gone.extend(table.members.keys().copied().filter(stopped));
        let zones = config.zones.iter().filter(|(_, zone)| zone.out);
        ClusterView {
            registered: leader.latest_incarnations(),
            gone,
            zones_out: zones.map(|(name, _)| name.clone()).collect(),
            confirmed_epochs: leader.reported_epochs(),
            hot_keys: Vec::new(),
            max_moving_slices: MIN_MOVING_SLICES
                .max(table.slices().count() / MOVING_SLICES_DIVISOR),
        }
    }

    async fn revise_table(self: &Rc<Self>) -> Result<(), Error> {
        let table = {
            let member = self.member.borrow();
            let Some(member) = member.as_ref() else { return Ok(()) };
            let changes = self.leader.borrow().changes;
            let inputs =
                RevisionInputs { known: member.known(), changes, stopped: member.stopped_count() };
            if self.leader.borrow().last_revision.as_ref() == Some(&inputs) {
                return Ok(());
            }
            self.leader.borrow_mut().last_revision = Some(inputs);
            std::sync::Arc::clone(&self.table.borrow())
        };
        let mut base = (*table).clone();
        let has_confirmed = self.leader.borrow().confirm_reported(&mut base);
        let next = match revise(&base, &self.cluster_view(&base)) {
            Some(next) => next,
            None if has_confirmed => {
                base.begin_edit();
                base
            }
            None => return Ok(()),
        };
        let Some(expected) = self.leader.borrow().table else { return Ok(()) };
        self.store_table(next, expected).await
    }

    /// Stores a slice table. Unless the platform confirms the write, the documents are read again
    /// before the next write.
    pub(super) async fn store_table(
        self: &Rc<Self>,
        next: Table,
        expected: Precondition,
    ) -> Result<(), Error> {
        let value = serde_json::to_string(&next).unwrap_or_default();
        match self.platform.put(internal_key(TABLE_OBJECT), &value, expected).await {
            Ok(PutOutcome::Stored(revision)) => {
                log!(info, Event::TableStored, version = next.version);
                self.leader.borrow_mut().table = Some(Precondition::At(revision));
                self.apply_table(next);
                Ok(())
            }
            Ok(PutOutcome::Conflict) => {
                self.leader.borrow_mut().invalidate_documents();
                Ok(())
            }
            Err(error) => {
                if matches!(error, Error::ResponseLost(_)) {
                    log!(warn, Event::AnswerLost, object = TABLE_OBJECT);
                }
                self.leader.borrow_mut().invalidate_documents();
                Err(error)
            }
        }
    }
}
