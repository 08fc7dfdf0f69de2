//! Datagrams between daemons: heartbeats to the leader, and its renewals in answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_ownership::{Heartbeat, HolderId, LEASE, Release, Renewal, Time};
use cactushold_wire::signal::{Content, Signal};

use crate::fleet::Fleet;
use crate::{clock, metric};

/// Time between two heartbeats. A lease spans several of them.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two heartbeats, also if the state changes more often.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two heartbeats while the table doesn't reflect a release yet.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 9_000;
/// Maximum number of key positions in the load sample of a heartbeat.
const MAX_SAMPLE_POSITIONS: usize = 48;
/// Age from which a confirmation of the term is no longer sent to the leader.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(10);

impl Fleet {
    /// Sends heartbeats until the daemon stops.
    pub(super) async fn run_heartbeats(self: Rc<Self>) {
        loop {
            let releases = self.send_heartbeat();
            let interval = if releases > 0 { RELEASE_INTERVAL } else { HEARTBEAT_INTERVAL };
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            tokio::time::timeout(interval - MIN_HEARTBEAT_INTERVAL, self.heartbeat_due.notified())
                .await
                .ok();
        }
    }

    /// Sends one heartbeat to the leader. Returns the number of releases in it.
    fn send_heartbeat(self: &Rc<Self>) -> usize {
        let now = clock::now();
        let releases = self.holder.borrow().as_ref().map(|h| h.releases(now)).unwrap_or_default();
        let heartbeat = Heartbeat {
            sent: now,
            term: self.table.borrow().term,
            table: self.table.borrow().version,
            confirmation_age: self.confirmation_age(now),
            releases: releases.iter().map(|(release, _)| release.clone()).collect(),
            ended: self.ended_incarnations.borrow().clone(),
            sample: self.shared.guard().sample(MAX_SAMPLE_POSITIONS, now),
            next_report_in: self.next_report_delay(now),
        };
        // New holders learn of a release directly, without waiting for the leader to process it.
        self.notify_new_holders(&releases, &heartbeat);
        if self.is_named_leader() {
            self.on_heartbeat(self.id(), self.shared.addresses.advertised, heartbeat, now);
        } else if let Some(leader) = self.table.borrow().leader_address {
            self.send(leader, Content::Heartbeat(heartbeat));
        }
        releases.len()
    }

    /// Time until the server's next report is due; `None` if no server is running.
    fn next_report_delay(&self, now: Time) -> Option<Duration> {
        let server = self.server.borrow();
        let running = server.incarnations.running()?;
        Some(self.next_report(running).saturating_sub(now))
    }

    fn notify_new_holders(&self, releases: &[(Release, HolderId)], heartbeat: &Heartbeat) {
        let table = self.table.borrow();
        let mut notified_holders = Vec::new();
        for (_, holder) in releases {
            let member = table.members.get(holder);
            if let Some(member) = member.filter(|_| !notified_holders.contains(holder)) {
                notified_holders.push(*holder);
                self.send(member.address, Content::Heartbeat(heartbeat.clone()));
            }
        }
    }

    /// Age of the store's confirmation that the known term is current; `None` if there is none or
    /// it is too old.
    fn confirmation_age(&self, now: Time) -> Option<Duration> {
        let (term, at) = self.term_confirmation.get()?;
        let age = now.saturating_sub(at);
        (term == self.table.borrow().term && age < MAX_CONFIRMATION_AGE).then_some(age)
    }

    /// Sends a datagram. A lost one isn't repeated, since the next one replaces it.
    pub(super) fn send(&self, address: SocketAddr, content: Content) {
        let signal =
            Signal { from: self.id(), run: self.run_id, known: self.known_versions(), content };
        let bytes = signal.encode();
        metrics::counter!(metric::DATAGRAMS_SENT).increment(1);
        metrics::counter!(metric::DATAGRAM_BYTES).increment(bytes.len() as u64);
        self.socket.try_send_to(&bytes, address).ok();
    }

    /// Receives datagrams until the daemon stops.
    pub(super) async fn receive_signals(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, source)) = self.socket.recv_from(&mut buffer).await else { continue };
            if let Ok(signal) = Signal::decode(&buffer[..len]) {
                self.on_signal(signal, source, clock::now());
            }
        }
    }

    fn on_signal(self: &Rc<Self>, signal: Signal, source: SocketAddr, now: Time) {
        self.fetch_newer_documents(signal.known, source);
        match signal.content {
            Content::Heartbeat(heartbeat) => {
                self.on_heartbeat(signal.from, source, heartbeat, now);
            }
            Content::Renewal(renewal) => {
                self.on_renewal(&renewal, signal.run, signal.known.term, signal.known.table, now);
            }
            Content::Poll(echo) => self.on_poll(echo, signal.known.term, source, now),
            Content::Polled(echo, heard) => self.polls.borrow_mut().record_answer(echo, heard),
        }
    }

    /// Handles a heartbeat: applies releases to ranges that this daemon is to hold, and answers
    /// with a renewal, which is empty unless this daemon leads.
    fn on_heartbeat(
        self: &Rc<Self>,
        from: HolderId,
        source: SocketAddr,
        heartbeat: Heartbeat,
        now: Time,
    ) {
        let mut has_new_release = false;
        if let Some(holder) = self.holder.borrow_mut().as_mut() {
            for release in &heartbeat.releases {
                has_new_release |= holder.note_release(release);
            }
        }
        if has_new_release {
            self.publish(now);
        }
        let renewal = self.renew_member(from, heartbeat, now);
        if source == self.shared.addresses.advertised {
            let known = self.known_versions();
            self.on_renewal(&renewal, self.run_id, known.term, known.table, now);
            return;
        }
        self.send(source, Content::Renewal(renewal));
    }

    fn on_renewal(
        self: &Rc<Self>,
        renewal: &Renewal,
        run: u64,
        term: u64,
        version: u64,
        now: Time,
    ) {
        let is_leader = {
            let table = self.table.borrow();
            table.run == run && table.term == term
        };
        if !is_leader {
            return;
        }
        if !renewal.leads {
            self.leader_heard_at.set(Time::ZERO);
            return;
        }
        self.leader_heard_at.set(now);
        self.record_contact(now);
        *self.silent_members.borrow_mut() = renewal.silent.clone();
        if !renewal.lease.is_zero()
            && let Some(holder) = self.holder.borrow_mut().as_mut()
        {
            let lease = renewal.lease.min(LEASE);
            holder.apply_renewal(term, version, renewal.sent, lease);
        }
        if renewal.wants_confirmation {
            tokio::task::spawn_local(Rc::clone(self).confirm_term());
        }
    }
}
