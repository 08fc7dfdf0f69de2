//! Reads what operators wrote to the store: the configuration and the zones that are out.

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
const WATCH: Duration = Duration::from_secs(25);
/// How long the leader's watches wait: through its heartbeats the others learn of what their own
/// watches miss, well before a change has to be in force.
const LEADERS_WATCH: Duration = Duration::from_millis(1_500);

/// A kind that is followed, and how far it was read.
struct Followed {
    kind: &'static str,
    after: Option<Revision>,
    backoff: Backoff,
}

/// What was read: everything, or what changed.
enum Read {
    All(Vec<Object>),
    Changed(Vec<Change>),
}

impl Followed {
    fn new(kind: &'static str) -> Followed {
        Followed { kind, after: None, backoff: Backoff::new(fastrand::Rng::new()) }
    }
}

impl Fleet {
    /// Follows a kind; returns when there is something new.
    async fn follow(&self, followed: &mut Followed) -> Read {
        loop {
            let asked = clock::now();
            match self.read_on(followed).await {
                Ok(read) => {
                    followed.backoff.reset();
                    self.note_contact(asked);
                    return read;
                }
                Err(Error::HistoryGone) => followed.after = None,
                Err(error) => {
                    log!(info, Event::PlatformUnavailable, what = followed.kind, reason = %error);
                    self.note_failed_call();
                    tokio::time::sleep(followed.backoff.next_delay()).await;
                }
            }
        }
    }

    async fn read_on(&self, followed: &mut Followed) -> Result<Read, Error> {
        match followed.after {
            None => {
                let listing = self.platform.list(followed.kind).await?;
                followed.after = Some(listing.revision);
                Ok(Read::All(listing.objects))
            }
            Some(after) => {
                let wait = if self.is_leading() { LEADERS_WATCH } else { WATCH };
                let changes = tokio::select! {
                    changes = self.platform.watch(followed.kind, after, wait) => changes?,
                    // From now on the others rely on this daemon's watches.
                    () = self.lead_began.notified() => return Ok(Read::Changed(Vec::new())),
                };
                followed.after = Some(changes.revision.max(after));
                Ok(Read::Changed(changes.changes))
            }
        }
    }

    /// Keeps the configuration up to date.
    pub(super) async fn keep_config(self: Rc<Self>) {
        let mut followed = Followed::new(CONFIG.kind);
        loop {
            let objects = match self.follow(&mut followed).await {
                Read::All(objects) => objects,
                Read::Changed(changes) => stored(changes),
            };
            for object in objects.iter().filter(|object| object.name == CONFIG.name) {
                match config::parse(&object.value) {
                    Ok(config) => self.learn_config(config),
                    Err(error) => {
                        log!(warn, Event::Unreadable, what = "configuration", reason = %error);
                    }
                }
            }
        }
    }

    /// Keeps the zones that are out up to date.
    pub(super) async fn keep_zones(self: Rc<Self>) {
        let mut followed = Followed::new(EVACUATION_KIND);
        let mut out: BTreeSet<String> = BTreeSet::new();
        loop {
            match self.follow(&mut followed).await {
                Read::All(objects) => {
                    out = objects
                        .into_iter()
                        .filter(|object| !object.is_deleting)
                        .map(|object| object.name)
                        .collect();
                }
                Read::Changed(changes) => apply(&mut out, changes),
            }
            let revision = followed.after.unwrap_or_default();
            self.learn_zones(config::evacuated_zones(out.iter().map(String::as_str)), revision);
        }
    }
}

fn stored(changes: Vec<Change>) -> Vec<Object> {
    let stored = changes.into_iter().filter_map(|change| match change {
        Change::Stored(object) => Some(object),
        Change::Removed(_) => None,
    });
    stored.collect()
}

fn apply(out: &mut BTreeSet<String>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Stored(object) if !object.is_deleting => {
                out.insert(object.name);
            }
            Change::Stored(object) => {
                out.remove(&object.name);
            }
            Change::Removed(name) => {
                out.remove(&name);
            }
        }
    }
}
