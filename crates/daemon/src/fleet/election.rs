//! Leader election. A conditional write to the store decides who leads; daemons only decide when to
//! try.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactushold_ownership::{Leader, Renewal, Table, Time};
use cactushold_platform::{Backoff, Error, INTERNAL_KIND, Key, Object, Precondition, PutOutcome};
use cactushold_wire::signal::Content;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::{clock, log};

/// The stored object that holds the table.
pub(super) const TABLE: Key<'static> = Key { kind: INTERNAL_KIND, name: "table" };
/// Time without an answer from the leader after which a daemon polls its peers about it.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A peer that heard the leader within this time counts as evidence that it is alive.
const RECENT_CONTACT: Duration = Duration::from_millis(1_200);
/// Time that peers have to answer a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two checks whether this daemon has to lead, and between two rounds of a leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two attempts of a leader to reach the store: once the store is back, keys
/// wait for the leader's table.
const MAX_LEADER_BACKOFF: Duration = Duration::from_millis(600);
/// Maximum random delay before an election, which keeps daemons that notice a lost leader at the
/// same time from writing at once.
const MAX_JITTER_MS: u64 = 250;
/// Delay before an election on an instance with one core. The delay is inversely proportional to
/// the cores: leading costs more than any other work of a daemon, so instances that can afford it
/// should win.
const SINGLE_CORE_DELAY: Duration = Duration::from_millis(30);
/// Maximum delay that depends on the cores.
const MAX_CORE_DELAY: Duration = Duration::from_millis(400);
/// Time without a leader after which a daemon that reaches too few peers tries to lead as well: the
/// others may all be down.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of peers that are polled.
const MAX_POLLED_PEERS: usize = 8;

/// The answers to the latest poll.
#[derive(Default)]
pub(super) struct Polls {
    echo: u64,
    answers: Vec<Option<Duration>>,
}

impl Polls {
    fn start(&mut self) -> u64 {
        self.echo = fastrand::u64(1..);
        self.answers.clear();
        self.echo
    }

    /// Records an answer, unless it belongs to an earlier poll.
    pub(super) fn record_answer(&mut self, echo: u64, heard: Option<Duration>) {
        if echo == self.echo {
            self.answers.push(heard);
        }
    }
}

impl Fleet {
    /// Leads whenever no other daemon does, until the daemon stops.
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

    /// Checks whether this daemon has to lead, and tries to if so.
    async fn check_leadership(self: &Rc<Self>) -> Result<(), Error> {
        if self.shared.is_leaving() {
            return Ok(());
        }
        if self.table.borrow().version == 0 {
            return self.bootstrap().await;
        }
        // The table names this instance although this process doesn't lead: either an earlier
        // process of the instance led, or a write of this process took effect after its answer was
        // lost.
        let is_own = self.table.borrow().leader == self.shared.instance.name;
        if !is_own && !self.is_leader_lost().await {
            return Ok(());
        }
        let requested_at = clock::now();
        let found = self.platform.get(TABLE).await?;
        self.record_contact(requested_at);
        let Some((object, table)) = self.read_table_object(found) else {
            return self.rebuild_table().await;
        };
        let is_newer_term = table.term > self.table.borrow().term;
        self.apply_table(table);
        if is_newer_term && !is_own {
            return Ok(());
        }
        self.claim_leadership(&object).await
    }

    /// Reads the table for the first time, or stores the first table if there is none.
    async fn bootstrap(self: &Rc<Self>) -> Result<(), Error> {
        let requested_at = clock::now();
        let found = self.platform.get(TABLE).await?;
        if found.is_none() {
            tokio::time::sleep(self.election_delay()).await;
            return self.store_claim(Table::default(), Precondition::Absent).await;
        }
        let Some((_, table)) = self.read_table_object(found) else {
            return self.rebuild_table().await;
        };
        self.apply_table(table);
        self.term_confirmation.set(Some((self.table.borrow().term, requested_at)));
        Ok(())
    }

    /// Reads the table from its object. `None` if another writer removed the object, or replaced it
    /// by something that can't be read.
    pub(super) fn read_table_object(&self, found: Option<Object>) -> Option<(Object, Table)> {
        let Some(object) = found else {
            self.note_unreadable("table", vec!["removed".to_owned()]);
            return None;
        };
        let table = serde_json::from_str::<Table>(&object.value).map_err(|error| error.to_string());
        match table.and_then(|table| table.check(object.revision).map(|()| table)) {
            Ok(table) => {
                self.note_unreadable("table", Vec::new());
                Some((object, table))
            }
            Err(reason) => {
                self.note_unreadable("table", vec![reason]);
                None
            }
        }
    }

    /// Tries to become the leader with a table that names no holder, because the stored one can't be
    /// read.
    pub(super) async fn rebuild_table(self: &Rc<Self>) -> Result<(), Error> {
        if self.leader.borrow_mut().take().is_some() {
            log!(info, Event::NotLeading, term = self.table.borrow().term);
        }
        tokio::time::sleep(self.election_delay()).await;
        let listing = self.platform.list(TABLE.kind).await?;
        let found = listing.objects.into_iter().find(|object| object.name == TABLE.name);
        let (floor, expected) = match &found {
            Some(object) => (object.revision, Precondition::At(object.revision)),
            None => (listing.revision, Precondition::Absent),
        };
        // Another daemon may have stored one meanwhile.
        if let Some(object) = found
            && let Some((_, table)) = self.read_table_object(Some(object))
        {
            self.apply_table(table);
            return Ok(());
        }
        self.store_claim(Table::rebuilt(floor), expected).await
    }

    /// Whether the leader is taken for lost: neither this daemon nor a peer has heard it recently.
    /// If fewer than half of the polled peers answer, this takes until [`ISOLATION_TIMEOUT`].
    async fn is_leader_lost(self: &Rc<Self>) -> bool {
        let leader_silence = || clock::now().saturating_sub(self.leader_heard_at.get());
        if leader_silence() < LEADER_TIMEOUT {
            return false;
        }
        let peers = self.poll_peers();
        let echo = self.polls.borrow_mut().start();
        for address in &peers {
            self.send(*address, Content::Poll(echo));
        }
        tokio::time::sleep(POLL_TIMEOUT + self.election_delay()).await;
        if leader_silence() < LEADER_TIMEOUT {
            return false;
        }
        let polls = self.polls.borrow();
        let is_recent = |age: &Option<Duration>| age.is_some_and(|age| age < RECENT_CONTACT);
        if polls.answers.iter().any(is_recent) {
            return false;
        }
        let has_quorum = polls.answers.len() * 2 >= peers.len();
        has_quorum || leader_silence() > ISOLATION_TIMEOUT
    }

    /// Delay before this daemon tries to become the leader.
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

    /// Tells a peer how long ago this daemon last heard the leader.
    pub(super) fn on_poll(&self, echo: u64, term: u64, source: SocketAddr, now: Time) {
        let knows_newer_term = self.table.borrow().term > term;
        let age = now.saturating_sub(self.leader_heard_at.get());
        let last_heard = if knows_newer_term || self.is_leading() { Duration::ZERO } else { age };
        self.send(source, Content::Polled(echo, Some(last_heard)));
    }

    async fn claim_leadership(self: &Rc<Self>, object: &Object) -> Result<(), Error> {
        let table = (**self.table.borrow()).clone();
        self.store_claim(table, Precondition::At(object.revision)).await
    }

    /// Tries to become the leader: stores the table with the next term and this process as leader.
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
                let leader = Leader::new(requested_at, revision, interval, now);
                *self.leader.borrow_mut() = Some(leader);
                self.apply_table(next);
                self.tasks.spawn_finite("entries", Rc::clone(self).watch_entries());
                self.announce_versions();
                Ok(())
            }
            PutOutcome::Conflict => {
                let found = self.platform.get(TABLE).await?;
                if let Some((_, table)) = self.read_table_object(found) {
                    self.apply_table(table);
                }
                Ok(())
            }
        }
    }

    /// Stops leading if the table names another process.
    pub(super) fn step_down_if_replaced(&self) {
        let is_replaced = !self.is_named_leader() && self.is_leading();
        if is_replaced {
            *self.leader.borrow_mut() = None;
            log!(info, Event::NotLeading, term = self.table.borrow().term);
        }
    }

    /// Stops leading and tells the members, so that they need not wait until the leader times out.
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

    /// Asks the store to confirm the current term, on behalf of a leader that can't reach it.
    pub(super) async fn confirm_term(self: Rc<Self>) {
        // A leader reads the table itself. It takes the confirmations in heartbeats as evidence
        // that the store answers other daemons, so its own must not be among them.
        if self.is_leading() {
            return;
        }
        let now = clock::now();
        let is_recent = |(_, at): (u64, Time)| now < at + RECENT_CONTACT;
        if self.term_confirmation.get().is_some_and(is_recent) {
            return;
        }
        // The confirmation is as old as the request. Setting the time before the answer arrives
        // keeps other tasks of this daemon from sending the same request.
        let previous = self.term_confirmation.replace(Some((0, now)));
        match self.platform.get(TABLE).await {
            Ok(found) => {
                let Some((_, table)) = self.read_table_object(found) else {
                    self.term_confirmation.set(previous);
                    return;
                };
                self.apply_table(table);
                self.term_confirmation.set(Some((self.table.borrow().term, now)));
                self.record_contact(now);
                self.heartbeat_due.notify_one();
            }
            Err(error) => {
                log!(info, Event::PlatformUnavailable, what = "table", reason = %error);
                self.term_confirmation.set(previous);
            }
        }
    }
}
