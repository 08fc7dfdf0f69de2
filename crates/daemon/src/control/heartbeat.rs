//! Datagrams between daemons: lease messages, document versions and configuration freshness.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Envelope, Incarnation, Message, Time};
use cactushold_wire::{Body, Datagram};

use crate::clock;
use crate::control::{Control, Freshness};
use crate::metric;

/// Size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 1_500;
/// Interval at which a daemon sends probes while its configuration isn't fresh or the slice table
/// doesn't list it.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Age of the last freshness confirmation from which on the daemon sends probes.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);

impl Control {
    /// Sends lease messages; messages to this process itself are delivered directly.
    pub(super) fn send_messages(&self, messages: Vec<Envelope>) {
        let mut queue = messages;
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
                _ => self.known_versions(),
            };
            let body = Body::Lease(envelope.message);
            self.send_datagram(envelope.to, address, known, body);
        }
    }

    pub(super) fn address_of(&self, id: Incarnation) -> Option<SocketAddr> {
        self.table.borrow().members.get(&id).map(|member| member.peer.address)
    }

    fn send_datagram(
        &self,
        to: Incarnation,
        address: SocketAddr,
        known: cactushold_lease::KnownVersions,
        body: Body,
    ) {
        let now = clock::now();
        let fresh = self.freshness.get().filter(|fresh| fresh.version <= known.config);
        let config_age = fresh.map(|fresh| now.saturating_sub(fresh.current_at));
        let bytes = Datagram { from: self.id(), to, known, config_age, body }.encode();
        metrics::counter!(metric::DATAGRAMS_SENT).increment(1);
        metrics::counter!(metric::DATAGRAM_BYTES).increment(bytes.len() as u64);
        // Send errors are ignored, like lost datagrams: whoever needs a reply repeats its request.
        self.socket.try_send_to(&bytes, address).ok();
    }

    /// Receives datagrams for as long as the daemon runs.
    pub(super) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
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
        // The source address of a datagram may differ from the address that accepts RPC calls.
        let sender = self.address_of(datagram.from).unwrap_or(source);
        self.record_known_versions(datagram.known, sender);
        match &datagram.body {
            Body::Probe(sent) => {
                self.send_datagram(
                    datagram.from,
                    source,
                    self.known_versions(),
                    Body::Probed(*sent),
                );
            }
            Body::Probed(sent) => self.update_freshness(&datagram, *sent),
            Body::Lease(message) => {
                if let Message::Renewed { sent, .. } = message {
                    self.update_freshness(&datagram, *sent);
                }
                if let Some(envelope) = datagram.envelope() {
                    self.with_member(|member, out| member.receive(envelope, now, out));
                    self.publish(now);
                }
            }
        }
    }

    /// Updates the freshness of the configuration from a reply. The reported age is counted from
    /// the time the request was sent, so that network delay can't make it appear younger.
    fn update_freshness(&self, datagram: &Datagram, sent: Time) {
        let Some(age) = datagram.config_age else { return };
        let current_at = sent.saturating_sub(age);
        let version = datagram.known.config;
        if self.freshness.get().is_none_or(|fresh| current_at > fresh.current_at) && version > 0 {
            self.freshness.set(Some(Freshness { version, current_at }));
        }
    }

    /// Probes the possible leaders, or the seeds, whenever the configuration may be stale or the
    /// slice table doesn't list this process.
    pub(super) async fn maintain_freshness(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let now = clock::now();
            let is_fresh =
                self.freshness.get().is_some_and(|fresh| now < fresh.current_at + PROBE_AFTER);
            if is_fresh && self.is_member() {
                continue;
            }
            for address in self.probe_targets() {
                self.send_datagram(0, address, self.known_versions(), Body::Probe(now));
            }
        }
    }

    /// Whether the slice table lists this incarnation.
    pub(super) fn is_member(&self) -> bool {
        self.table.borrow().members.contains_key(&self.id())
    }

    /// Addresses to probe: the possible leaders, or the seeds if no other possible leader is known.
    fn probe_targets(&self) -> Vec<SocketAddr> {
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
