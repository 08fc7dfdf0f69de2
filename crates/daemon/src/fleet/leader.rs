//! The leader's work: it renews the members' leases, and stores a new table when members join,
//! leave or report.

use std::collections::BTreeMap;
use std::rc::Rc;

use cactushold_ownership::{Heartbeat, HolderId, Renewal, Table, Time};
use cactushold_placement::QUOTA;
use cactushold_platform::{Backoff, Change, Error, Object, Precondition, PutOutcome, Revision};
use cactushold_wire::signal::Content;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::election::TABLE;
use crate::fleet::entry::{ENTRY_KIND, Entry};
use crate::fleet::store::SHORT_WATCH_TIMEOUT;
use crate::{clock, log};

/// Entries that can't be read: instance and reason.
type UnreadableEntries = BTreeMap<String, String>;

impl Fleet {
    /// Renews a member's lease. The renewal is empty unless this daemon leads.
    pub(super) fn renew_member(&self, from: HolderId, heartbeat: Heartbeat, now: Time) -> Renewal {
        match self.leader.borrow_mut().as_mut() {
            Some(leader) => leader.handle_heartbeat(from, heartbeat, &self.table.borrow(), now),
            None => Renewal { sent: heartbeat.sent, ..Renewal::default() },
        }
    }

    /// Tells all members the versions in force here, so that they fetch newer ones.
    pub(super) fn announce_versions(&self) {
        let table = self.table.borrow();
        let own = self.shared.addresses.advertised;
        let renewal = Renewal { leads: true, ..Renewal::default() };
        for member in table.members.values().filter(|member| member.address != own) {
            self.send(member.address, Content::Renewal(renewal.clone()));
        }
    }

    /// Runs one round of the leader: reads the table if necessary, and stores the next one if
    /// anything has changed.
    pub(super) async fn run_leader_round(self: &Rc<Self>) -> Result<(), Error> {
        let now = clock::now();
        let must_read = self.leader.borrow().as_ref().is_some_and(|l| l.must_read_table(now));
        if must_read && let Err(error) = self.read_table().await {
            self.resign_if_read_failed(now);
            return Err(error);
        }
        self.store_next_table(clock::now()).await
    }

    /// Resigns if the read of the table that was requested at `requested_at` failed while the store
    /// answers members.
    fn resign_if_read_failed(&self, requested_at: Time) {
        let must_resign =
            self.leader.borrow_mut().as_mut().is_some_and(|l| l.read_failed(requested_at));
        if must_resign {
            self.resign();
        }
    }

    /// Records that a request to the store failed. A leader then checks whether the store still
    /// answers it.
    pub(super) fn record_store_error(&self) {
        if let Some(leader) = self.leader.borrow_mut().as_mut() {
            leader.note_store_error();
        }
    }

    /// Reads the stored table, to learn whether this daemon still leads and whether an unanswered
    /// write took effect.
    async fn read_table(self: &Rc<Self>) -> Result<(), Error> {
        let requested_at = clock::now();
        let found = self.platform.get(TABLE).await?;
        self.record_contact(requested_at);
        let Some((object, table)) = self.read_table_object(found) else {
            return self.rebuild_table().await;
        };
        let is_own = table.run == self.run_id;
        self.apply_table(table);
        if let Some(leader) = self.leader.borrow_mut().as_mut().filter(|_| is_own) {
            leader.table_read(object.revision, requested_at);
        }
        Ok(())
    }

    async fn store_next_table(self: &Rc<Self>, now: Time) -> Result<(), Error> {
        let Some((next, revision)) = self.next_table(now) else { return Ok(()) };
        let value = serde_json::to_string(&next).unwrap_or_default();
        let requested_at = clock::now();
        match self.platform.put(TABLE, &value, Precondition::At(revision)).await {
            Ok(PutOutcome::Stored(revision)) => {
                self.record_contact(requested_at);
                log!(info, Event::TableStored, version = next.version);
                if let Some(leader) = self.leader.borrow_mut().as_mut() {
                    leader.table_stored(&next, revision, requested_at);
                }
                self.apply_table(next);
                self.announce_versions();
                Ok(())
            }
            Ok(PutOutcome::Conflict) => {
                if let Some(leader) = self.leader.borrow_mut().as_mut() {
                    leader.write_conflicted();
                }
                Ok(())
            }
            Err(error) => {
                // Whether this write takes effect is certain only once the object has been written
                // again.
                log!(info, Event::AnswerLost, what = "table", reason = %error);
                self.record_store_error();
                Err(error)
            }
        }
    }

    fn next_table(&self, now: Time) -> Option<(Table, Revision)> {
        let config = self.config.borrow();
        let services = config.services.iter().filter(|(_, service)| service.keyed);
        let keyed = services.map(|(name, _)| name.as_str()).chain([QUOTA]);
        let mut leader = self.leader.borrow_mut();
        let is_zone_active = |zone: &str| config.is_zone_active(zone);
        leader.as_mut()?.next_table(&self.table.borrow(), keyed, is_zone_active, now)
    }

    /// Watches the members' entries for as long as this daemon leads.
    pub(super) async fn watch_entries(self: Rc<Self>) {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        let term = self.table.borrow().term;
        let mut after: Option<Revision> = None;
        let mut unreadable = UnreadableEntries::new();
        while self.leader.borrow().is_some() && self.table.borrow().term == term {
            let requested_at = clock::now();
            match self.read_entries(after, &mut unreadable).await {
                Ok(revision) => {
                    backoff.reset();
                    self.record_contact(requested_at);
                    after = Some(revision);
                }
                Err(Error::HistoryGone) => after = None,
                Err(error) => {
                    // A watch whose answer can't be read would get the same answer again.
                    if matches!(error, Error::Malformed(_)) {
                        after = None;
                    }
                    log!(info, Event::PlatformUnavailable, what = ENTRY_KIND, reason = %error);
                    self.record_store_error();
                    tokio::time::sleep(backoff.next_delay()).await;
                }
            }
        }
    }

    async fn read_entries(
        &self,
        after: Option<Revision>,
        unreadable: &mut UnreadableEntries,
    ) -> Result<Revision, Error> {
        let Some(after) = after else {
            let listing = self.platform.list(ENTRY_KIND).await?;
            if let Some(leader) = self.leader.borrow_mut().as_mut() {
                leader.reset_announcements();
            }
            *unreadable =
                listing.skipped.into_iter().map(|reason| (String::new(), reason)).collect();
            for object in &listing.objects {
                self.record_entry(object, unreadable);
            }
            self.note_unreadable_entries(unreadable);
            return Ok(listing.revision);
        };
        let changes = self.platform.watch(ENTRY_KIND, after, SHORT_WATCH_TIMEOUT).await?;
        unreadable.extend(changes.skipped.into_iter().map(|reason| (String::new(), reason)));
        for change in changes.changes {
            match change {
                Change::Stored(object) => self.record_entry(&object, unreadable),
                Change::Removed(name) => {
                    unreadable.remove(&name);
                    if let Some(leader) = self.leader.borrow_mut().as_mut() {
                        leader.withdraw(&name);
                    }
                }
            }
        }
        self.note_unreadable_entries(unreadable);
        Ok(changes.revision.max(after))
    }

    fn note_unreadable_entries(&self, unreadable: &UnreadableEntries) {
        let reasons = unreadable.iter().map(|(name, reason)| format!("{name:?}: {reason}"));
        self.note_unreadable("entries", reasons.collect());
    }

    /// Records an entry. One that can't be read names no member; what its instance announced before
    /// holds.
    fn record_entry(&self, object: &Object, unreadable: &mut UnreadableEntries) {
        let (id, entry) = match Entry::parse(object) {
            Ok(parsed) => parsed,
            Err(reason) => {
                unreadable.insert(object.name.clone(), reason);
                return;
            }
        };
        unreadable.remove(&object.name);
        if let Some(leader) = self.leader.borrow_mut().as_mut() {
            leader.announce(id, entry.to_member(&object.name), clock::now());
            if entry.has_ended {
                leader.mark_ended(id);
            }
        }
    }
}
