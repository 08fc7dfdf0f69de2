//! Datagrams between daemons: heartbeats to the leader, renewals from it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_ownership::{Heartbeat, HolderId, LEASE, Release, Renewal, Time};
use cactushold_wire::signal::{Content, Signal};

use crate::fleet::Fleet;
use crate::{clock, metric};

/// Time between two heartbeats; several fit into a lease.
const INTERVAL: Duration = Duration::from_millis(400);
/// Least time between two heartbeats when there is news.
const LEAST_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two heartbeats while a release waits to be noticed.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest datagram read, in bytes.
const MAX_DATAGRAM: usize = 9_000;
/// Positions told in one heartbeat.
const POSITIONS: usize = 48;
/// Age beyond which the store's word on the term isn't passed on.
const OLD_WORD: Duration = Duration::from_secs(10);

impl Fleet {
    /// Sends heartbeats for as long as the daemon runs.
    pub(super) async fn keep_heartbeats(self: Rc<Self>) {
        loop {
            let releases = self.send_heartbeat();
            let interval = if releases > 0 { RELEASE_INTERVAL } else { INTERVAL };
            tokio::time::sleep(LEAST_INTERVAL).await;
            tokio::time::timeout(interval - LEAST_INTERVAL, self.news.notified()).await.ok();
        }
    }

    /// Sends one heartbeat to the leader; returns the releases in it.
    fn send_heartbeat(self: &Rc<Self>) -> usize {
        let now = clock::now();
        let releases = self.holder.borrow().as_ref().map(|h| h.releases(now)).unwrap_or_default();
        let heartbeat = Heartbeat {
            sent: now,
            term: self.table.borrow().term,
            confirmation_age: self.word_age(now),
            releases: releases.iter().map(|(release, _)| release.clone()).collect(),
            ended: self.ended.borrow().clone(),
            sample: self.shared.guard().sample(POSITIONS, now),
            next_report_in: self.report_in(now),
        };
        // The new holders need not wait until the leader has noticed.
        self.tell_new_holders(&releases, &heartbeat);
        if self.is_named_leader() {
            self.on_heartbeat(self.id(), self.shared.addresses.advertised, heartbeat, now);
        } else if let Some(leader) = self.table.borrow().leader_address {
            self.send(leader, Content::Heartbeat(heartbeat));
        }
        releases.len()
    }

    /// Time until the server's next report is due; nothing if none lives.
    fn report_in(&self, now: Time) -> Option<Duration> {
        let server = self.server.borrow();
        let live = server.incarnations.running()?;
        Some(self.next_report(live).saturating_sub(now))
    }

    fn tell_new_holders(&self, releases: &[(Release, HolderId)], heartbeat: &Heartbeat) {
        let table = self.table.borrow();
        let mut told = Vec::new();
        for (_, holder) in releases {
            let member = table.members.get(holder);
            if let Some(member) = member.filter(|_| !told.contains(holder)) {
                told.push(*holder);
                self.send(member.address, Content::Heartbeat(heartbeat.clone()));
            }
        }
    }

    /// Age of the store's word that the known term is the newest.
    fn word_age(&self, now: Time) -> Option<Duration> {
        let (term, at) = self.word.get()?;
        let age = now.saturating_sub(at);
        (term == self.table.borrow().term && age < OLD_WORD).then_some(age)
    }

    /// Sends a signal. A lost datagram is made up for by the next one.
    pub(super) fn send(&self, address: SocketAddr, content: Content) {
        let signal = Signal { from: self.id(), run: self.run, known: self.known(), content };
        let bytes = signal.encode();
        metrics::counter!(metric::DATAGRAMS_SENT).increment(1);
        metrics::counter!(metric::DATAGRAM_BYTES).increment(bytes.len() as u64);
        self.socket.try_send_to(&bytes, address).ok();
    }

    /// Receives datagrams for as long as the daemon runs.
    pub(super) async fn receive(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, source)) = self.socket.recv_from(&mut buffer).await else { continue };
            if let Ok(signal) = Signal::decode(&buffer[..len]) {
                self.on_signal(signal, source, clock::now());
            }
        }
    }

    fn on_signal(self: &Rc<Self>, signal: Signal, source: SocketAddr, now: Time) {
        self.note_known(signal.known, source);
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
        let mut is_granted = false;
        if let Some(holder) = self.holder.borrow_mut().as_mut() {
            for release in &heartbeat.releases {
                is_granted |= holder.note_release(release);
            }
        }
        if is_granted {
            self.publish(now);
        }
        let renewal = self.lead_heartbeat(from, heartbeat, now);
        if source == self.shared.addresses.advertised {
            let known = self.known();
            self.on_renewal(&renewal, self.run, known.term, known.table, now);
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
            self.leader_heard.set(Time::ZERO);
            return;
        }
        self.leader_heard.set(now);
        self.note_contact(now);
        *self.silent.borrow_mut() = renewal.silent.clone();
        if !renewal.lease.is_zero()
            && let Some(holder) = self.holder.borrow_mut().as_mut()
        {
            let lease = renewal.lease.min(LEASE);
            holder.apply_renewal(term, version, renewal.sent, lease);
        }
        if renewal.wants_confirmation {
            tokio::task::spawn_local(Rc::clone(self).ask_store());
        }
    }
}
