//! Applies newer versions of the table, the configuration and the zones, and fetches them from
//! peers.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::{Config, Router, Zone};
use cactushold_ownership::{HolderId, Table, Time};
use cactushold_wire::schema::Document;
use cactushold_wire::signal::KnownVersions;

use crate::event::Event;
use crate::fleet::{Fleet, publish};
use crate::{clock, log, metric, peer};

/// Timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a fetch from a member of the own zone, after which the leader is asked. Together they
/// leave time until a configuration has to be in force.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(400);
/// Members of each zone that watch the store for all.
const WATCHERS_PER_ZONE: usize = 2;
/// Members of each zone that fetch from the leader, in zones with more than [`FANOUT`]. The others fetch from members of their own zone,
/// so that a version crosses zones a few times, however many members there are.
const DIRECT_PER_ZONE: usize = 2;
/// Maximum number of members that fetch from the same member of their zone.
const FANOUT: usize = 6;

/// What another daemon sent of a document.
enum Fetched {
    Json(Vec<u8>),
    /// Encoded differences of the table.
    Differences(Vec<u8>),
}

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The platform's store.
    Store,
    /// The leader.
    Leader,
    /// A member of the own zone, on the leader's word.
    Neighbour,
    /// A daemon that told of it.
    Peer,
}

impl Origin {
    fn name(self) -> &'static str {
        match self {
            Origin::Store => "store",
            Origin::Leader => "leader",
            Origin::Neighbour => "neighbour",
            Origin::Peer => "peer",
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A version of the configuration that another daemon has and this one hasn't.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    /// When this daemon heard of it.
    at: Time,
    /// Fetches of the configuration since then.
    fetches: u32,
}

/// Which documents are being fetched. Each is fetched by at most one task at a time.
#[derive(Default)]
pub(super) struct Fetches {
    table: Cell<bool>,
    config: Cell<bool>,
    announced: Cell<Option<Announced>>,
}

impl Fetches {
    fn in_progress(&self, document: Document) -> &Cell<bool> {
        match document {
            Document::Table => &self.table,
            Document::Config => &self.config,
        }
    }

    /// Records that another daemon has a newer configuration.
    fn note_announced(&self, version: u64, own: u64, now: Time) {
        if self.announced.get().is_none_or(|announced| announced.version <= own) {
            self.announced.set(Some(Announced { version, at: now, fetches: 0 }));
        }
    }

    fn note_fetch(&self, document: Document) {
        if document == Document::Config
            && let Some(announced) = self.announced.get()
        {
            let fetches = announced.fetches + 1;
            self.announced.set(Some(Announced { fetches, ..announced }));
        }
    }

    /// Ends the wait for a version, or an older one. Returns how long it took since this daemon
    /// heard of it, and the fetches.
    fn end_wait(&self, version: u64, now: Time) -> (Duration, u32) {
        match self.announced.take() {
            Some(announced) if announced.version <= version => {
                (now.saturating_sub(announced.at), announced.fetches)
            }
            later => {
                self.announced.set(later);
                (Duration::ZERO, 0)
            }
        }
    }
}

impl Fleet {
    /// Compares a daemon's document versions with those in force here, and fetches newer ones from
    /// it.
    pub(super) fn fetch_newer_documents(self: &Rc<Self>, known: KnownVersions, source: SocketAddr) {
        let own = self.known_versions();
        if known.config > own.config {
            self.fetches.note_announced(known.config, own.config, clock::now());
        }
        for document in [Document::Table, Document::Config] {
            if known.has_newer(document, own) {
                self.start_fetch(source, document);
            }
        }
    }

    fn start_fetch(self: &Rc<Self>, source: SocketAddr, document: Document) {
        if self.fetches.in_progress(document).replace(true) {
            return;
        }
        let fleet = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let before = fleet.known_versions();
            let neighbour = fleet.neighbour(source).filter(|neighbour| *neighbour != source);
            let neighbour = neighbour.map(|neighbour| (neighbour, NEIGHBOUR_TIMEOUT));
            for (provider, timeout) in neighbour.into_iter().chain([(source, FETCH_TIMEOUT)]) {
                let origin = fleet.origin(provider, source);
                fleet.fetches.note_fetch(document);
                let fetch = fleet.fetch(provider, document);
                let fetched = tokio::time::timeout(timeout, fetch).await;
                let outcome = match &fetched {
                    Ok(Some(_)) => metric::Fetch::Content,
                    Ok(None) => metric::Fetch::Nothing,
                    Err(_) => metric::Fetch::TimedOut,
                };
                metric::count_fetch(document, origin.name(), outcome);
                if let Ok(Some(fetched)) = fetched {
                    fleet.apply_document(document, fetched, origin);
                }
                if fleet.known_versions().has_newer(document, before) {
                    break;
                }
            }
            fleet.fetches.in_progress(document).set(false);
        });
    }

    fn origin(&self, provider: SocketAddr, source: SocketAddr) -> Origin {
        if provider != source {
            Origin::Neighbour
        } else if Some(source) == self.table.borrow().leader_address {
            Origin::Leader
        } else {
            Origin::Peer
        }
    }

    /// The member of the own zone from which this daemon fetches what the leader at `source` has;
    /// `None` if it fetches from the leader itself.
    fn neighbour(&self, source: SocketAddr) -> Option<SocketAddr> {
        let table = self.table.borrow();
        if Some(source) != table.leader_address {
            return None;
        }
        let zone = &self.shared.instance.zone;
        let others = table.members.iter().filter(|(_, member)| {
            member.zone == *zone && Some(member.address) != table.leader_address
        });
        let others: Vec<(HolderId, SocketAddr)> =
            others.map(|(id, member)| (*id, member.address)).collect();
        if others.len() <= FANOUT {
            return None;
        }
        let index = others.iter().position(|(id, _)| *id == self.id());
        let provider = match index {
            Some(index) => index.checked_sub(DIRECT_PER_ZONE)? / FANOUT,
            // Not in the table yet: any member that was there before.
            None => fastrand::usize(..others.len()),
        };
        let (id, address) = others[provider];
        (!self.silent_members.borrow().contains(&id)).then_some(address)
    }

    /// The place of this daemon among the few of its zone that watch the store for all; `None` if it
    /// isn't one of them. The leader watches anyway, and members that it doesn't hear can't tell it
    /// of changes.
    pub(super) fn zone_watcher_rank(&self) -> Option<usize> {
        let table = self.table.borrow();
        let silent = self.silent_members.borrow();
        let zone = &self.shared.instance.zone;
        let members = table.members.iter().filter(|(id, member)| {
            let is_leader = Some(member.address) == table.leader_address;
            member.zone == *zone && !is_leader && !silent.contains(id)
        });
        members.take(WATCHERS_PER_ZONE).position(|(id, _)| *id == self.id())
    }

    async fn fetch(&self, source: SocketAddr, document: Document) -> Option<Fetched> {
        let link = self.links.get(source).await.ok()?;
        let mut call = link.peer.fetch_request();
        call.get().set_document(document);
        call.get().set_have(match document {
            Document::Table => self.table.borrow().version,
            Document::Config => self.config.borrow().version,
        });
        call.get().set_have_zones(self.config.borrow().zones_revision);
        call.get().set_compact(true);
        let _call_guard = link.start();
        let results = call.send().promise.await.ok()?;
        let results = results.get().ok()?;
        let content = results.get_content().ok()?;
        metrics::counter!(metric::FETCHED_BYTES).increment(content.len() as u64);
        if content.is_empty() {
            return None;
        }
        if !results.get_compact() {
            return Some(Fetched::Json(content.to_vec()));
        }
        let content = peer::decompress(content)?;
        Some(match document {
            Document::Table => Fetched::Differences(content),
            Document::Config => Fetched::Json(content),
        })
    }

    fn apply_document(self: &Rc<Self>, document: Document, content: Fetched, origin: Origin) {
        let outcome = match (document, content) {
            (Document::Table, Fetched::Differences(bytes)) => {
                // Differences that don't fit any more are asked for again at the next datagram.
                let next = cactushold_ownership::apply_encoded(&bytes, &self.table.borrow());
                if let Some(table) = next {
                    self.apply_table(table);
                }
                Ok(())
            }
            (Document::Table, Fetched::Json(text)) => serde_json::from_slice(&text)
                .map(|table| self.apply_table(table))
                .map_err(|error| error.to_string()),
            (Document::Config, Fetched::Json(bytes) | Fetched::Differences(bytes)) => {
                let config = serde_json::from_slice(&bytes).map_err(|error| error.to_string());
                config.map(|config: Config| {
                    self.apply_zones(config.zones.clone(), config.zones_revision);
                    self.adopt_zones_revision(config.zones_revision);
                    self.apply_config(config, origin);
                })
            }
        };
        if let Err(reason) = outcome {
            log!(warn, Event::Unreadable, what = ?document, reason);
        }
    }

    /// Puts a table in force if it is newer.
    pub(super) fn apply_table(self: &Rc<Self>, table: Table) {
        if table.version <= self.table.borrow().version {
            return;
        }
        log!(info, Event::TableInForce, version = table.version, term = table.term);
        let now = clock::now();
        if table.term > self.table.borrow().term {
            // Gives the new leader time to be heard before an election starts.
            self.leader_heard_at.set(now);
        }
        Arc::make_mut(&mut self.history.borrow_mut()).record(&self.table.borrow(), &table);
        let table = Arc::new(table);
        *self.routing_table.borrow_mut() = Arc::new(publish::routing_table(&table));
        *self.table.borrow_mut() = Arc::clone(&table);
        if let Some(holder) = self.holder.borrow_mut().as_mut() {
            holder.update_table(Arc::clone(&table));
        }
        self.ended_incarnations.borrow_mut().retain(|id| table.members.contains_key(id));
        let addresses: Vec<SocketAddr> =
            table.members.values().map(|member| member.address).collect();
        self.links.retain(|address| addresses.contains(address));
        self.shared.scores().retain(|id, _| table.members.contains_key(id));
        self.shared.forecasts().retain(|id, _| table.members.contains_key(id));
        self.step_down_if_replaced();
        self.first_table.notify_one();
        self.publish(now);
        self.heartbeat_due.notify_one();
    }

    /// Puts a configuration in force if it is newer. Its zones are replaced by those in force,
    /// which have a revision of their own.
    pub(super) fn apply_config(&self, mut config: Config, origin: Origin) {
        let zones = {
            let old = self.config.borrow();
            if config.version <= old.version {
                return;
            }
            (old.zones.clone(), old.zones_revision)
        };
        (config.zones, config.zones_revision) = zones;
        let (waited, fetches) = self.fetches.end_wait(config.version, clock::now());
        metric::count_config(origin.name(), waited);
        log!(
            info,
            Event::ConfigInForce,
            version = config.version,
            from = %origin,
            waited_ms = waited.as_millis() as u64,
            fetches
        );
        *self.router.borrow_mut() = Arc::new(Router::new(&config));
        self.replace_config(config);
    }

    /// Puts zones in force if they are newer.
    pub(super) fn apply_zones(
        &self,
        zones: std::collections::BTreeMap<String, Zone>,
        revision: u64,
    ) {
        let mut config = (**self.config.borrow()).clone();
        // Without a change the revision stays: a newer one would make all others fetch it.
        let is_unchanged = config.zones == zones && config.zones_revision > 0;
        if revision <= config.zones_revision || is_unchanged {
            return;
        }
        if config.zones != zones {
            let evacuated: Vec<&String> = zones.keys().collect();
            log!(info, Event::ZonesInForce, revision, out = ?evacuated);
        }
        let is_first = config.zones_revision == 0;
        config.zones = zones;
        config.zones_revision = revision;
        let since = match (config.is_zone_active(&self.shared.instance.zone), is_first) {
            (true, _) => None,
            (false, true) => Some(Time::ZERO),
            (false, false) => self.zone_out_at.get().or(Some(clock::now())),
        };
        self.zone_out_at.set(since);
        self.replace_config(config);
    }

    /// Takes over the revision of the same zones from another daemon, which would be asked for them
    /// again otherwise.
    fn adopt_zones_revision(&self, revision: u64) {
        let mut config = self.config.borrow_mut();
        if revision > config.zones_revision {
            Arc::make_mut(&mut config).zones_revision = revision;
            self.encoded_config.take();
        }
    }

    fn replace_config(&self, config: Config) {
        let service = config.services.get(&self.shared.instance.service);
        if let Some(service) = service {
            self.shared.guard().set_service(service);
        }
        *self.config.borrow_mut() = Arc::new(config);
        self.encoded_config.take();
        self.publish(clock::now());
        if self.is_leading() {
            self.announce_versions();
        }
    }
}
