//! Datagrams between daemons: heartbeats to the leader, renewals from it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_ownership::{Heartbeat, HolderId, LEASE, Release, Renewal, Time};
use cactushold_wire::signal::{Content, Signal};

use crate::fleet::Fleet;
use crate::{clock, metric};

/// Time between two heartbeats; several fit into a lease.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Least time between two heartbeats when there is news.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two heartbeats while a release waits to be noticed.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest datagram read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 9_000;
/// Positions notified_holders in one heartbeat.
const MAX_SAMPLE_POSITIONS: usize = 48;
/// Age beyond which the store's word on the term isn't passed on.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(10);

impl Fleet {
    /// Sends heartbeats for as long as the daemon runs.
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

    /// Sends one heartbeat to the leader; returns the releases in it.
    fn send_heartbeat(self: &Rc<Self>) -> usize {
        let now = clock::now();
        let releases = self.holder.borrow().as_ref().map(|h| h.releases(now)).unwrap_or_default();
        let heartbeat = Heartbeat {
            sent: now,
            term: self.table.borrow().term,
            confirmation_age: self.confirmation_age(now),
            releases: releases.iter().map(|(release, _)| release.clone()).collect(),
            ended: self.ended_incarnations.borrow().clone(),
            sample: self.shared.guard().sample(MAX_SAMPLE_POSITIONS, now),
            next_report_in: self.next_report_delay(now),
        };
        // The new holders need not wait until the leader has noticed.
        self.notify_new_holders(&releases, &heartbeat);
        if self.is_named_leader() {
            self.on_heartbeat(self.id(), self.shared.addresses.advertised, heartbeat, now);
        } else if let Some(leader) = self.table.borrow().leader_address {
            self.send(leader, Content::Heartbeat(heartbeat));
        }
        releases.len()
    }

    /// Time until the server's next report is due; nothing if none lives.
    fn next_report_delay(&self, now: Time) -> Option<Duration> {
        let server = self.server.borrow();
        let live = server.incarnations.running()?;
        Some(self.next_report(live).saturating_sub(now))
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

    /// Age of the store's word that the known term is the newest.
    fn confirmation_age(&self, now: Time) -> Option<Duration> {
        let (term, at) = self.term_confirmation.get()?;
        let age = now.saturating_sub(at);
        (term == self.table.borrow().term && age < MAX_CONFIRMATION_AGE).then_some(age)
    }

    /// Sends a signal. A lost datagram is made up for by the next one.
    pub(super) fn send(&self, address: SocketAddr, content: Content) {
        let signal =
            Signal { from: self.id(), run: self.run_id, known: self.known_versions(), content };
        let bytes = signal.encode();
        metrics::counter!(metric::DATAGRAMS_SENT).increment(1);
        metrics::counter!(metric::DATAGRAM_BYTES).increment(bytes.len() as u64);
        self.socket.try_send_to(&bytes, address).ok();
    }

    /// Receives datagrams for as long as the daemon runs.
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
            Content::Polled(echo, heard) => self.polls.borrow_mut().note(echo, heard),
        }
    }

    /// Takes a member's state: for itself, and as leader.
    fn on_heartbeat(
        self: &Rc<Self>,
        from: HolderId,
        source: SocketAddr,
        heartbeat: Heartbeat,
        now: Time,
    ) {
        let mut is_handed_over = false;
        if let Some(holder) = self.holder.borrow_mut().as_mut() {
            for release in &heartbeat.releases {
                is_handed_over |= holder.note_release(release);
            }
        }
        if is_handed_over {
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
