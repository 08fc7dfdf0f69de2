//! Datagrams: lease messages, known versions and freshness.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Envelope, Incarnation, Message, Time};
use cactushold_wire::{Body, Datagram};

use crate::clock;
use crate::control::{Control, Fresh};
use crate::metric;

/// Largest datagram read, in bytes.
const MAX_DATAGRAM: usize = 1_500;
/// How often a daemon without fresh configuration, or outside of the table, asks for it.
const PROBE: Duration = Duration::from_millis(400);
/// Freshness older than this is asked for.
const STALE: Duration = Duration::from_millis(1_000);

impl Control {
    /// Sends lease messages; those to this process itself are delivered at once.
    pub(super) fn post(&self, out: Vec<Envelope>) {
        let mut queue = out;
        while let Some(envelope) = queue.pop() {
            if envelope.to == self.id() {
                if let Some(member) = self.member.borrow_mut().as_mut() {
                    member.receive(envelope, clock::now(), &mut queue);
                }
                continue;
            }
            let Some(address) = self.address_of(envelope.to) else { continue };
            let known = match &envelope.message {
                Message::Renewed { known, .. } => *known,
                _ => self.known(),
            };
            let body = Body::Lease(envelope.message);
            self.send(envelope.to, address, known, body);
        }
    }

    pub(super) fn address_of(&self, id: Incarnation) -> Option<SocketAddr> {
        self.table.borrow().members.get(&id).map(|member| member.peer.address)
    }

    fn send(
        &self,
        to: Incarnation,
        address: SocketAddr,
        known: cactushold_lease::KnownVersions,
        body: Body,
    ) {
        let now = clock::now();
        let fresh = self.fresh.get().filter(|fresh| fresh.version <= known.config);
        let config_age = fresh.map(|fresh| now.saturating_sub(fresh.at));
        let bytes = Datagram { from: self.id(), to, known, config_age, body }.encode();
        metrics::counter!(metric::DATAGRAMS_SENT).increment(1);
        metrics::counter!(metric::DATAGRAM_BYTES).increment(bytes.len() as u64);
        // A lost datagram is repeated by whoever needs the answer.
        self.socket.try_send_to(&bytes, address).ok();
    }

    /// Receives datagrams for as long as the daemon runs.
    pub(super) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, source)) = self.socket.recv_from(&mut buffer).await else { continue };
            if let Ok(datagram) = Datagram::decode(&buffer[..len]) {
                self.on_datagram(datagram, source, clock::now());
            }
        }
    }

    fn on_datagram(self: &Rc<Self>, datagram: Datagram, source: SocketAddr, now: Time) {
        if datagram.to != self.id() && datagram.to != 0 {
            return;
        }
        // A datagram may come from another address than the one that takes calls.
        let sender = self.address_of(datagram.from).unwrap_or(source);
        self.note_known(datagram.known, sender);
        match &datagram.body {
            Body::Probe(sent) => {
                self.send(datagram.from, source, self.known(), Body::Probed(*sent));
            }
            Body::Probed(sent) => self.note_fresh(&datagram, *sent),
            Body::Lease(message) => {
                if let Message::Renewed { sent, .. } = message {
                    self.note_fresh(&datagram, *sent);
                }
                if let Some(envelope) = datagram.envelope() {
                    self.with_member(|member, out| member.receive(envelope, now, out));
                    self.publish(now);
                }
            }
        }
    }

    /// Takes freshness from an answer. Its age counts from when the question was sent, so that no
    /// delay on the way makes it look younger.
    fn note_fresh(&self, datagram: &Datagram, sent: Time) {
        let Some(age) = datagram.config_age else { return };
        let at = sent.saturating_sub(age);
        let version = datagram.known.config;
        if self.fresh.get().is_none_or(|fresh| at > fresh.at) && version > 0 {
            self.fresh.set(Some(Fresh { version, at }));
        }
    }

    /// Asks the leader, or the seeds, for freshness and versions when they are wanting.
    pub(super) async fn keep_fresh(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PROBE).await;
            let now = clock::now();
            let is_fresh = self.fresh.get().is_some_and(|fresh| now < fresh.at + STALE);
            if is_fresh && self.is_member() {
                continue;
            }
            for address in self.informants() {
                self.send(0, address, self.known(), Body::Probe(now));
            }
        }
    }

    /// Whether the table names this process.
    pub(super) fn is_member(&self) -> bool {
        self.table.borrow().members.contains_key(&self.id())
    }

    /// Daemons that know more: the possible leaders, and the seeds before there is a table.
    fn informants(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let control = table.locate(cactushold_placement::CONTROL, 0);
        let holders = control.map(|slice| slice.possible_holders()).unwrap_or_default();
        let own = self.shared.addresses.advertised;
        let known: Vec<SocketAddr> = holders
            .iter()
            .filter_map(|id| Some(table.members.get(id)?.peer.address))
            .filter(|address| *address != own)
            .collect();
        if known.is_empty() { self.shared.settings().seeds.clone() } else { known }
    }
}
