//! Slice table and configuration: fetches newer versions from peers and puts them in force.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::{Config, Router};
use cactushold_lease::{KnownVersions, Table};
use cactushold_wire::schema::Document;

use crate::clock;
use crate::control::Control;
use crate::event::Event;
use crate::{log, metric};

/// Deadline for fetching a document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Control {
    /// Records the versions that another daemon knows and starts to fetch those newer than the
    /// local ones.
    pub(super) fn record_known_versions(self: &Rc<Self>, known: KnownVersions, source: SocketAddr) {
        let local = self.known_versions();
        self.newest_known.set(self.newest_known.get().merge(known));
        if known.table > local.table {
            self.start_fetch(source, Document::Table);
        }
        if known.config > local.config {
            self.start_fetch(source, Document::Config);
        }
    }

    fn start_fetch(self: &Rc<Self>, source: SocketAddr, document: Document) {
        let control = Rc::clone(self);
        if !self.fetches.begin(document) {
            return;
        }
        tokio::task::spawn_local(async move {
            let fetched =
                tokio::time::timeout(FETCH_TIMEOUT, control.fetch(source, document)).await;
            control.fetches.end(document);
            if let Ok(Some(content)) = fetched {
                control.apply_document(document, &content);
            }
        });
    }

    async fn fetch(&self, source: SocketAddr, document: Document) -> Option<Vec<u8>> {
        let link = self.links.get(source).await.ok()?;
        let mut call = link.peer.fetch_request();
        call.get().set_document(document);
        let _active_call = link.start();
        let results = call.send().promise.await.ok()?;
        let content = results.get().ok()?.get_content().ok()?.to_vec();
        metrics::counter!(metric::FETCHED_BYTES).increment(content.len() as u64);
        Some(content)
    }

    /// Puts a serialized document in force if it is newer; ignores one that can't be parsed.
    pub(super) fn apply_document(self: &Rc<Self>, document: Document, content: &[u8]) {
        match document {
            Document::Table => {
                if let Ok(table) = serde_json::from_slice(content) {
                    self.apply_table(table);
                }
            }
            Document::Config => {
                if let Ok(config) = serde_json::from_slice(content) {
                    self.apply_config(config);
                }
            }
        }
    }

    /// Puts a slice table in force if it is newer than the current one.
    pub(super) fn apply_table(&self, table: Table) {
        if table.version <= self.known_versions().table {
            return;
        }
        log!(debug, Event::TableInForce, version = table.version);
        let known = KnownVersions { table: table.version, config: 0 };
        self.newest_known.set(self.newest_known.get().merge(known));
        let table = Arc::new(table);
        *self.table.borrow_mut() = Arc::clone(&table);
        self.with_member(|member, _| member.update_table(Arc::clone(&table)));
        let addresses: Vec<SocketAddr> =
            table.members.values().map(|member| member.peer.address).collect();
        self.links.retain(|address| addresses.contains(address));
        self.shared.scores().retain(|id, _| table.members.contains_key(id));
        let now = clock::now();
        self.with_member(|member, out| member.tick(now, out));
        self.publish(now);
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub(super) fn apply_config(&self, config: Config) {
        if config.version <= self.config.borrow().version {
            return;
        }
        log!(info, Event::ConfigInForce, version = config.version);
        let version = config.version;
        self.newest_known
            .set(self.newest_known.get().merge(KnownVersions { table: 0, config: version }));
        let service = &self.shared.instance.service;
        if let Some(service) = config.services.get(service) {
            self.shared.guard().set_slots(service.slots);
        }
        *self.router.borrow_mut() = Arc::new(Router::new(&config));
        *self.config.borrow_mut() = Arc::new(config);
        let now = clock::now();
        self.with_member(|member, out| {
            member.update_config_version(version);
            member.tick(now, out);
        });
        self.publish(now);
    }
}

/// Fetches in progress; at most one of each kind of document.
#[derive(Default)]
pub(super) struct ActiveFetches {
    table: std::cell::Cell<bool>,
    config: std::cell::Cell<bool>,
}

impl ActiveFetches {
    fn flag(&self, document: Document) -> &std::cell::Cell<bool> {
        match document {
            Document::Table => &self.table,
            Document::Config => &self.config,
        }
    }

    fn begin(&self, document: Document) -> bool {
        !self.flag(document).replace(true)
    }

    fn end(&self, document: Document) {
        self.flag(document).set(false);
    }
}
