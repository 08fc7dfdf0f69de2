//! Who leads: the store decides by a conditional write; daemons only decide when to try.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_ownership::{Leader, Renewal, Table, Time};
use cactushold_platform::{Backoff, Error, INTERNAL_KIND, Key, Object, Precondition, PutOutcome};
use cactushold_wire::signal::Content;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::{clock, log};

/// The object that holds the table.
pub(super) const TABLE: Key<'static> = Key { kind: INTERNAL_KIND, name: "table" };
/// A leader not heard for this long is requested_at about.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A peer that heard the leader within this long speaks for it.
const RECENT_CONTACT: Duration = Duration::from_millis(1_200);
/// Time in which peers answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(150);
/// How often a daemon looks whether it has to lead.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause of a leader between two tries: keys wait for its table once the store is back.
const MAX_LEADER_BACKOFF: Duration = Duration::from_millis(600);
/// Upper bound of the pause by which daemons that notice a silence at once are told apart.
const MAX_JITTER_MS: u64 = 250;
/// Pause of a daemon with one core; those with less wait longer, so that leading, which costs more
/// than anything else that a daemon does, falls to those that can afford it.
const SINGLE_CORE_DELAY: Duration = Duration::from_millis(30);
/// Longest such pause.
const MAX_CORE_DELAY: Duration = Duration::from_millis(400);
/// After this long, a daemon that reaches no peer tries as well: the others may all be down.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Peers that are requested_at.
const MAX_POLLED_PEERS: usize = 8;

/// Answers to the latest poll.
#[derive(Default)]
pub(super) struct Polls {
    echo: u64,
    answers: Vec<Option<Duration>>,
}

impl Polls {
    fn begin(&mut self) -> u64 {
        self.echo = fastrand::u64(1..);
        self.answers.clear();
        self.echo
    }

    /// Takes an answer.
    pub(super) fn note(&mut self, echo: u64, heard: Option<Duration>) {
        if echo == self.echo {
            self.answers.push(heard);
        }
    }
}

impl Fleet {
    /// Leads whenever no other daemon does, for as long as the daemon runs.
    pub(super) async fn run_election(self: Rc<Self>) {
        let mut backoff = Backoff::new(fastrand::Rng::new());
        loop {
            let step = match self.is_leading() {
                true => self.run_leader_round().await,
                false => self.check_leadership().await,
            };
            match step {
                Ok(()) => {
                    backoff.reset();
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
                Err(error) => {
                    log!(info, Event::PlatformUnavailable, what = "table", reason = %error);
                    let longest =
                        if self.is_leading() { MAX_LEADER_BACKOFF } else { Duration::MAX };
                    tokio::time::sleep(backoff.next_delay().clamp(CHECK_INTERVAL, longest)).await;
                }
            }
        }
    }

    pub(super) fn is_leading(&self) -> bool {
        self.leader.borrow().is_some()
    }

    /// One look whether this daemon has to lead.
    async fn check_leadership(self: &Rc<Self>) -> Result<(), Error> {
        if self.shared.is_leaving() {
            return Ok(());
        }
        if self.table.borrow().version == 0 {
            return self.bootstrap().await;
        }
        // A process of this instance led and is gone, or a late write of this one took effect.
        let is_own = self.table.borrow().leader == self.shared.instance.name;
        if !is_own && !self.is_leader_lost().await {
            return Ok(());
        }
        let requested_at = clock::now();
        let Some(object) = self.platform.get(TABLE).await? else { return Ok(()) };
        self.record_contact(requested_at);
        if self.apply_table_object(&object) && !is_own {
            return Ok(());
        }
        self.claim_leadership(&object).await
    }

    /// The first look: there may be no table yet.
    async fn bootstrap(self: &Rc<Self>) -> Result<(), Error> {
        let requested_at = clock::now();
        match self.platform.get(TABLE).await? {
            Some(object) => {
                self.apply_table_object(&object);
                self.term_confirmation.set(Some((self.table.borrow().term, requested_at)));
                Ok(())
            }
            None => {
                tokio::time::sleep(self.election_delay()).await;
                self.store_claim(Table::default(), Precondition::Absent).await
            }
        }
    }

    /// Takes up a table that was read; whether its term is news.
    fn apply_table_object(self: &Rc<Self>, object: &Object) -> bool {
        let term = self.table.borrow().term;
        match serde_json::from_str::<Table>(&object.value) {
            Ok(table) => {
                let is_newer_term = table.term > term;
                self.apply_table(table);
                is_newer_term
            }
            Err(error) => {
                log!(warn, Event::Unreadable, what = "table", reason = %error);
                false
            }
        }
    }

    /// Whether neither this daemon nor enough of its peers have heard the leader lately.
    async fn is_leader_lost(self: &Rc<Self>) -> bool {
        let silent_for = || clock::now().saturating_sub(self.leader_heard_at.get());
        if silent_for() < LEADER_TIMEOUT {
            return false;
        }
        let peers = self.poll_peers();
        let echo = self.polls.borrow_mut().begin();
        for address in &peers {
            self.send(*address, Content::Poll(echo));
        }
        tokio::time::sleep(POLL_TIMEOUT + self.election_delay()).await;
        if silent_for() < LEADER_TIMEOUT {
            return false;
        }
        let polls = self.polls.borrow();
        let heard = |age: &Option<Duration>| age.is_some_and(|age| age < RECENT_CONTACT);
        if polls.answers.iter().any(heard) {
            return false;
        }
        let has_quorum = polls.answers.len() * 2 >= peers.len();
        has_quorum || silent_for() > ISOLATION_TIMEOUT
    }

    /// Pause before this daemon stands for the lead.
    fn election_delay(&self) -> Duration {
        let core_delay = SINGLE_CORE_DELAY.div_f64(self.shared.instance.cores);
        core_delay.min(MAX_CORE_DELAY) + Duration::from_millis(fastrand::u64(..MAX_JITTER_MS))
    }

    fn poll_peers(&self) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let own = self.shared.addresses.advertised;
        let others = table.members.values().map(|member| member.address);
        let others =
            others.filter(|address| *address != own && Some(*address) != table.leader_address);
        let mut peers: Vec<SocketAddr> = others.collect();
        peers.sort();
        peers.dedup();
        fastrand::shuffle(&mut peers);
        peers.truncate(MAX_POLLED_PEERS);
        peers
    }

    /// Tells a peer when the leader was last heard here.
    pub(super) fn on_poll(&self, echo: u64, term: u64, source: SocketAddr, now: Time) {
        let newer = self.table.borrow().term > term;
        let age = now.saturating_sub(self.leader_heard_at.get());
        let heard = if newer || self.is_leading() { Duration::ZERO } else { age };
        self.send(source, Content::Polled(echo, Some(heard)));
    }

    async fn claim_leadership(self: &Rc<Self>, object: &Object) -> Result<(), Error> {
        let table = (**self.table.borrow()).clone();
        self.store_claim(table, Precondition::At(object.revision)).await
    }

    /// Stores the table under the next term, naming this process.
    async fn store_claim(
        self: &Rc<Self>,
        base: Table,
        expected: Precondition,
    ) -> Result<(), Error> {
        let next = Table {
            version: base.version + 1,
            term: base.term + 1,
            leader: self.shared.instance.name.clone(),
            run: self.run_id,
            leader_address: Some(self.shared.addresses.advertised),
            ..base
        };
        let value = serde_json::to_string(&next).unwrap_or_default();
        let requested_at = clock::now();
        match self.platform.put(TABLE, &value, expected).await? {
            PutOutcome::Stored(revision) => {
                self.record_contact(requested_at);
                let now = clock::now();
                log!(info, Event::Leading, term = next.term);
                let interval = self.shared.bounds().report_interval;
                *self.leader.borrow_mut() =
                    Some(Leader::new(requested_at, revision, interval, now));
                self.apply_table(next);
                self.tasks.spawn_finite("entries", Rc::clone(self).watch_entries());
                self.announce_versions();
                self.leadership_started.notify_waiters();
                Ok(())
            }
            PutOutcome::Conflict => {
                if let Some(object) = self.platform.get(TABLE).await? {
                    self.apply_table_object(&object);
                }
                Ok(())
            }
        }
    }

    /// Stops leading when the table names another process.
    pub(super) fn step_down_if_replaced(&self) {
        let is_replaced = !self.is_named_leader() && self.is_leading();
        if is_replaced {
            *self.leader.borrow_mut() = None;
            log!(info, Event::NotLeading, term = self.table.borrow().term);
        }
    }

    /// Tells the members that this process leads no more, so that they need not wait for silence.
    pub(super) fn resign(&self) {
        if self.leader.borrow_mut().take().is_none() {
            return;
        }
        log!(info, Event::NotLeading, term = self.table.borrow().term);
        let table = self.table.borrow();
        let own = self.shared.addresses.advertised;
        for member in table.members.values().filter(|member| member.address != own) {
            self.send(member.address, Content::Renewal(Renewal::default()));
        }
    }

    /// Asks the store for its word on the term, on behalf of a leader that can't reach it.
    pub(super) async fn confirm_term(self: Rc<Self>) {
        // A leader reads the table for itself; what it is told counts as the store's answer to others.
        if self.is_leading() {
            return;
        }
        let now = clock::now();
        let is_recent = |(_, at): (u64, Time)| now < at + RECENT_CONTACT;
        if self.term_confirmation.get().is_some_and(is_recent) {
            return;
        }
        // The answer counts from the question; until it is there, nobody else here asks.
        let before = self.term_confirmation.replace(Some((0, now)));
        match self.platform.get(TABLE).await {
            Ok(Some(object)) => {
                self.apply_table_object(&object);
                self.term_confirmation.set(Some((self.table.borrow().term, now)));
                self.record_contact(now);
                self.heartbeat_due.notify_one();
            }
            Ok(None) => self.term_confirmation.set(before),
            Err(error) => {
                log!(info, Event::PlatformUnavailable, what = "table", reason = %error);
                self.term_confirmation.set(before);
            }
        }
    }
}
