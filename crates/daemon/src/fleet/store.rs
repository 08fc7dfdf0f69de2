//! Reads what operators wrote to the store: the configuration and the zones that are evacuated.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cactushold_platform::config::{self, CONFIG, EVACUATION_KIND};
use cactushold_platform::{Backoff, Change, Error, Object, Revision};

use crate::event::Event;
use crate::fleet::Fleet;
use crate::{clock, log};

/// How long a watch waits at the store. A watch that fell silent is noticed after it, unless the
/// leader tells of a newer version first.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// How long the leader's watches wait: through its heartbeats the others learn of what their own
/// watches miss, well before a change has to be in force.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A kind that is watch, and how far it was read.
struct KindWatch {
    kind: &'static str,
    after: Option<Revision>,
    backoff: Backoff,
}

/// What was read: everything, or what changed.
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
    /// Follows a kind; returns when there is something new.
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
                    // From now on the others rely on this daemon's watches.
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

    /// Keeps the zones that are evacuated up to date.
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
    let stored_objects = changes.into_iter().filter_map(|change| match change {
        Change::Stored(object) => Some(object),
        Change::Removed(_) => None,
    });
    stored_objects.collect()
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
