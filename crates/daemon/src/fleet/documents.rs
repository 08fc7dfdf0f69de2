//! Applies newer versions of the table, the configuration and the zones, and fetches them from
//! peers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::{Config, Router, Zone};
use cactushold_ownership::{Table, Time};
use cactushold_wire::schema::Document;
use cactushold_wire::signal::KnownVersions;

use crate::event::Event;
use crate::fleet::{Fleet, publish};
use crate::{clock, log, metric};

/// Timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Which documents are being fetched. Each is fetched by at most one task at a time.
#[derive(Default)]
pub(super) struct Fetches {
    table: Cell<bool>,
    config: Cell<bool>,
}

impl Fetches {
    fn in_progress(&self, document: Document) -> &Cell<bool> {
        match document {
            Document::Table => &self.table,
            Document::Config => &self.config,
        }
    }
}

impl Fleet {
    /// Compares a daemon's document versions with those in force here, and fetches newer ones from
    /// it.
    pub(super) fn fetch_newer_documents(self: &Rc<Self>, known: KnownVersions, source: SocketAddr) {
        let own = self.known_versions();
        if known.table > own.table {
            self.start_fetch(source, Document::Table);
        }
        if known.config > own.config || known.zones > own.zones {
            self.start_fetch(source, Document::Config);
        }
    }

    fn start_fetch(self: &Rc<Self>, source: SocketAddr, document: Document) {
        if self.fetches.in_progress(document).replace(true) {
            return;
        }
        let fleet = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let fetched = tokio::time::timeout(FETCH_TIMEOUT, fleet.fetch(source, document)).await;
            fleet.fetches.in_progress(document).set(false);
            if let Ok(Some(content)) = fetched {
                fleet.apply_document(document, &content);
            }
        });
    }

    async fn fetch(&self, source: SocketAddr, document: Document) -> Option<Vec<u8>> {
        let link = self.links.get(source).await.ok()?;
        let mut call = link.peer.fetch_request();
        call.get().set_document(document);
        let _call_guard = link.start();
        let results = call.send().promise.await.ok()?;
        let content = results.get().ok()?.get_content().ok()?.to_vec();
        metrics::counter!(metric::FETCHED_BYTES).increment(content.len() as u64);
        Some(content)
    }

    fn apply_document(self: &Rc<Self>, document: Document, content: &[u8]) {
        let outcome = match document {
            Document::Table => serde_json::from_slice(content).map(|table| self.apply_table(table)),
            Document::Config => serde_json::from_slice(content).map(|config: Config| {
                self.apply_zones(config.zones.clone(), config.zones_revision);
                self.apply_config(config);
            }),
        };
        if let Err(error) = outcome {
            log!(warn, Event::Unreadable, what = ?document, reason = %error);
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
        if self.id() == 0 {
            self.entry_changed.notify_one();
        }
        self.publish(now);
        self.heartbeat_due.notify_one();
    }

    /// Puts a configuration in force if it is newer. Its zones are replaced by those in force,
    /// which have a revision of their own.
    pub(super) fn apply_config(&self, mut config: Config) {
        let zones = {
            let old = self.config.borrow();
            if config.version <= old.version {
                return;
            }
            (old.zones.clone(), old.zones_revision)
        };
        (config.zones, config.zones_revision) = zones;
        log!(info, Event::ConfigInForce, version = config.version);
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
        if revision <= config.zones_revision {
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

    fn replace_config(&self, config: Config) {
        let service = config.services.get(&self.shared.instance.service);
        if let Some(service) = service {
            self.shared.guard().set_service(service);
        }
        *self.config.borrow_mut() = Arc::new(config);
        self.publish(clock::now());
    }
}
