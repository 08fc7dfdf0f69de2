//! Watches what operators write to the store: the configuration and the evacuated zones.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use cactushold_platform::config::{self, CONFIG, EVACUATION_KIND};
use cactushold_platform::{Backoff, Change, Changes, Error, Listing, Object, Revision};
use cactushold_wire::signal::KnownVersions;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::documents::Origin;
use crate::{clock, log, metric};

/// Maximum length of a reason that is kept, in characters: odd content can be long.
const MAX_REASON: usize = 200;
/// Maximum number of reasons that are kept for one object.
const MAX_REASONS: usize = 20;
/// How long the store holds a watch request open. A watch whose connection has stalled is noticed
/// only after this time, unless another daemon announces a newer version first.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// The same for the leader and the first watcher of each zone, which tell the others what their own
/// watches miss. It is short, since a change has to be in force everywhere soon after the connections
/// stalled, also if the store then turns the leader away.
pub(super) const SHORT_WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time between two attempts of a daemon that watches the store for others.
const MAX_WATCHER_BACKOFF: Duration = Duration::from_millis(600);

/// Time without an answer of the leader after which a daemon watches the store itself.
const LEADER_SILENCE: Duration = Duration::from_secs(1);
/// Time between two checks whether this daemon has to watch the store.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A watch on one kind of objects, and the revision up to which it has read them.
struct KindWatch {
    kind: &'static str,
    after: Option<Revision>,
    backoff: Backoff,
}

/// The result of a read: all objects, or the changes since the last read.
enum Update {
    Snapshot(Listing),
    Changes(Changes),
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
            if watch.after.is_some() {
                self.until_watcher().await;
            }
            let requested_at = clock::now();
            match self.read_update(watch).await {
                Ok(update) => {
                    watch.backoff.reset();
                    self.record_contact(requested_at);
                    return update;
                }
                Err(Error::HistoryGone) => watch.after = None,
                Err(error) => {
                    // A watch whose answer can't be read would get the same answer again.
                    if matches!(error, Error::Malformed(_)) {
                        watch.after = None;
                    }
                    let longest =
                        if self.watches_for_others() { MAX_WATCHER_BACKOFF } else { Duration::MAX };
                    let delay = watch.backoff.next_delay().min(longest);
                    log!(
                        info,
                        Event::PlatformUnavailable,
                        what = watch.kind,
                        reason = %error,
                        took_ms = clock::now().saturating_sub(requested_at).as_millis() as u64,
                        retry_ms = delay.as_millis() as u64
                    );
                    self.record_store_error();
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    /// Waits until this daemon has to watch the store itself. The leader and a few members of each
    /// zone watch it, and the others hear of changes from them; a daemon that hears no leader
    /// watches too.
    async fn until_watcher(&self) {
        loop {
            let silence = clock::now().saturating_sub(self.leader_heard_at.get());
            if self.watches_for_others() || silence > LEADER_SILENCE {
                return;
            }
            tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
        }
    }

    fn watches_for_others(&self) -> bool {
        self.is_leading() || self.zone_watcher_rank().is_some()
    }

    fn watch_timeout(&self) -> Duration {
        if self.is_leading() || self.zone_watcher_rank() == Some(0) {
            SHORT_WATCH_TIMEOUT
        } else {
            WATCH_TIMEOUT
        }
    }

    /// Waits until this daemon's watches have to be shorter than `timeout`.
    async fn until_watch_is_shorter(&self, timeout: Duration) {
        while self.watch_timeout() >= timeout {
            tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
        }
    }

    async fn read_update(&self, watch: &mut KindWatch) -> Result<Update, Error> {
        match watch.after {
            None => {
                let listing = self.platform.list(watch.kind).await?;
                watch.after = Some(listing.revision);
                Ok(Update::Snapshot(listing))
            }
            Some(after) => {
                let wait = self.watch_timeout();
                let changes = tokio::select! {
                    changes = self.platform.watch(watch.kind, after, wait) => changes?,
                    () = self.until_watch_is_shorter(wait) => {
                        return Ok(Update::Changes(Changes::default()));
                    }
                };
                watch.after = Some(changes.revision.max(after));
                Ok(Update::Changes(changes))
            }
        }
    }

    /// Records what can't be read of an object, instead of what was recorded before. Logs it if it
    /// has changed.
    pub(super) fn note_unreadable(&self, object: &'static str, reasons: Vec<String>) {
        metrics::gauge!(metric::UNREADABLE, "object" => object).set(reasons.len() as f64);
        let lines = reasons.iter().take(MAX_REASONS).map(|reason| {
            let reason: String = reason.chars().take(MAX_REASON).collect();
            format!("{object}: {reason}")
        });
        let lines: Vec<String> = lines.collect();
        let before = self.unreadable.borrow().get(object).cloned().unwrap_or_default();
        if lines == before {
            return;
        }
        if let Some(first) = lines.first() {
            log!(
                warn,
                Event::Unreadable,
                what = object,
                parts = reasons.len(),
                reason = %first
            );
        }
        self.unreadable.borrow_mut().insert(object, lines);
    }

    /// Keeps the configuration up to date.
    pub(super) async fn watch_config(self: Rc<Self>) {
        let mut watch = KindWatch::new(CONFIG.kind);
        loop {
            let objects = match self.next_update(&mut watch).await {
                Update::Snapshot(listing) => listing.objects,
                Update::Changes(changes) => stored_objects(changes.changes),
            };
            for object in objects.iter().filter(|object| object.name == CONFIG.name) {
                match config::parse(&object.value) {
                    Ok(parsed) => {
                        self.note_unreadable("configuration", parsed.rejected);
                        let before = self.known_versions();
                        self.apply_config(parsed.config, Origin::Store);
                        self.tell_leader_if_newer(before);
                    }
                    Err(error) => self.note_unreadable("configuration", vec![error.to_string()]),
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
                Update::Snapshot(listing) => {
                    self.note_unreadable("evacuations", listing.skipped);
                    let objects = listing.objects.into_iter();
                    evacuated = objects
                        .filter(|object| !object.is_deleting)
                        .map(|object| object.name)
                        .collect();
                }
                Update::Changes(changes) => {
                    if !changes.skipped.is_empty() {
                        self.note_unreadable("evacuations", changes.skipped);
                    }
                    apply_changes(&mut evacuated, changes.changes);
                }
            }
            let revision = watch.after.unwrap_or_default();
            let before = self.known_versions();
            self.apply_zones(
                config::evacuated_zones(evacuated.iter().map(String::as_str)),
                revision,
            );
            self.tell_leader_if_newer(before);
        }
    }

    /// Sends the next heartbeat at once if the store had something newer: the leader may not learn
    /// of it from the store.
    fn tell_leader_if_newer(&self, before: KnownVersions) {
        if self.known_versions() != before {
            self.heartbeat_due.notify_one();
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
