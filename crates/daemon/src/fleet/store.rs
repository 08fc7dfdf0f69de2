//! Watches what operators write to the store: the configuration and the evacuated zones.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cactushold_platform::config::{self, CONFIG, EVACUATION_KIND};
use cactushold_platform::{Backoff, Change, Error, Object, Revision};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::{clock, log};

/// How long the store holds a watch request open. A watch whose connection has stalled is noticed
/// only after this time, unless the leader announces a newer version first.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// How long the store holds a leader's watch request open. It is short because the leader's
/// heartbeats tell the others what their own watches miss, and they have to do so well before a
/// change must be in force.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A watch on one kind of objects, and the revision up to which it has read them.
struct KindWatch {
    kind: &'static str,
    after: Option<Revision>,
    backoff: Backoff,
}

/// The result of a read: all objects, or the changes since the last read.
enum Update {
    Snapshot(Vec<Object>),
    Changes(Vec<Change>),
}

impl KindWatch {
    fn new(kind: &'static str) -> KindWatch {
        KindWatch { kind, after: None, backoff: Backoff::new(fastrand::Rng::new()) }
    }
}

impl Fleet {
    /// Waits until the store returns objects or changes of a kind. Errors are retried.
    async fn next_update(&self, watch: &mut KindWatch) -> Update {
        loop {
            let requested_at = clock::now();
            match self.read_update(watch).await {
                Ok(update) => {
                    watch.backoff.reset();
                    self.record_contact(requested_at);
                    return update;
                }
                Err(Error::HistoryGone) => watch.after = None,
                Err(error) => {
                    log!(info, Event::PlatformUnavailable, what = watch.kind, reason = %error);
                    self.record_store_error();
                    tokio::time::sleep(watch.backoff.next_delay()).await;
                }
            }
        }
    }

    async fn read_update(&self, watch: &mut KindWatch) -> Result<Update, Error> {
        match watch.after {
            None => {
                let listing = self.platform.list(watch.kind).await?;
                watch.after = Some(listing.revision);
                Ok(Update::Snapshot(listing.objects))
            }
            Some(after) => {
                let wait = if self.is_leading() { LEADER_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
                let changes = tokio::select! {
                    changes = self.platform.watch(watch.kind, after, wait) => changes?,
                    // A leader uses shorter watches, since the others depend on them.
                    () = self.leadership_started.notified() => return Ok(Update::Changes(Vec::new())),
                };
                watch.after = Some(changes.revision.max(after));
                Ok(Update::Changes(changes.changes))
            }
        }
    }

    /// Keeps the configuration up to date.
    pub(super) async fn watch_config(self: Rc<Self>) {
        let mut watch = KindWatch::new(CONFIG.kind);
        loop {
            let objects = match self.next_update(&mut watch).await {
                Update::Snapshot(objects) => objects,
                Update::Changes(changes) => stored_objects(changes),
            };
            for object in objects.iter().filter(|object| object.name == CONFIG.name) {
                match config::parse(&object.value) {
                    Ok(config) => self.apply_config(config),
                    Err(error) => {
                        log!(warn, Event::Unreadable, what = "configuration", reason = %error);
                    }
                }
            }
        }
    }

    /// Keeps the evacuated zones up to date.
    pub(super) async fn watch_zones(self: Rc<Self>) {
        let mut watch = KindWatch::new(EVACUATION_KIND);
        let mut evacuated: BTreeSet<String> = BTreeSet::new();
        loop {
            match self.next_update(&mut watch).await {
                Update::Snapshot(objects) => {
                    evacuated = objects
                        .into_iter()
                        .filter(|object| !object.is_deleting)
                        .map(|object| object.name)
                        .collect();
                }
                Update::Changes(changes) => apply_changes(&mut evacuated, changes),
            }
            let revision = watch.after.unwrap_or_default();
            self.apply_zones(
                config::evacuated_zones(evacuated.iter().map(String::as_str)),
                revision,
            );
        }
    }
}

fn stored_objects(changes: Vec<Change>) -> Vec<Object> {
    let objects = changes.into_iter().filter_map(|change| match change {
        Change::Stored(object) => Some(object),
        Change::Removed(_) => None,
    });
    objects.collect()
}

fn apply_changes(evacuated: &mut BTreeSet<String>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Stored(object) if !object.is_deleting => {
                evacuated.insert(object.name);
            }
            Change::Stored(object) => {
                evacuated.remove(&object.name);
            }
            Change::Removed(name) => {
                evacuated.remove(&name);
            }
        }
    }
}
