//! The control thread of a daemon whose server reports its liveness and is granted keys in the
//! answers.
//!
//! All daemons agree on one table in the platform's store. The leader writes it; every other daemon
//! renews its lease with the leader by datagrams.

mod documents;
mod election;
mod entry;
mod heartbeat;
mod leader;
mod publish;
mod reports;
mod server;
mod stop;
mod store;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cactushold_config::{Config, Router};
use cactushold_lease::Table as RoutingTable;
use cactushold_ownership::{Departures, History, Holder, HolderId, Leader, Position, Table, Time};
use cactushold_platform::{Client, Object};
use cactushold_wire::signal::KnownVersions;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, watch};

use crate::error::Error;
use crate::peer::Links;
use crate::shared::{Command, Shared};
use crate::signals::Stop;
use crate::tasks::Tasks;
use crate::{clock, peer_quota, stall};

pub use self::publish::key_space_offset;

use self::server::Server;

/// Time between two checks for due work.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// State of the control thread. No task holds a borrow across an await.
pub struct Fleet {
    shared: Arc<Shared>,
    tasks: Tasks,
    links: Rc<Links>,
    socket: UdpSocket,
    platform: Client,
    /// Random identity of this process, which distinguishes it from other processes of the
    /// instance.
    run_id: u64,
    /// When this process started.
    started_at: Time,
    config: RefCell<Arc<Config>>,
    router: RefCell<Arc<Router>>,
    /// The configuration in the form that other daemons fetch.
    encoded_config: RefCell<Arc<OnceLock<Vec<u8>>>>,
    table: RefCell<Arc<Table>>,
    /// The table in the form that requests are routed by.
    routing_table: RefCell<Arc<RoutingTable>>,
    /// The state of this daemon's server, from its reports.
    server: RefCell<Server>,
    /// The server's incarnation as a holder of keys, once it is registered.
    holder: RefCell<Option<Holder>>,
    /// Incarnations of this daemon's server that have ended but are still in the table.
    ended_incarnations: RefCell<Vec<HolderId>>,
    leader: RefCell<Option<Leader>>,
    /// When the leader named by the table last answered.
    leader_heard_at: Cell<Time>,
    /// The term that the store last confirmed as current, and when the confirmation was requested.
    term_confirmation: Cell<Option<(u64, Time)>>,
    /// The latest time at which the store or the leader is known to have been reachable.
    last_contact: Cell<Option<Time>>,
    silent_members: RefCell<Vec<HolderId>>,
    /// When this daemon acquired each range of workspace buckets, by first position and fence.
    buckets_acquired_at: RefCell<HashMap<(Position, u64), Time>>,
    was_lease_valid: Cell<bool>,
    /// Since when this instance's zone is known to be evacuated; zero if it was at the start.
    zone_out_at: Cell<Option<Time>>,
    /// When the server was last checked for having ended because reports were missing.
    last_end_check: Cell<Time>,
    /// What can't be read of the store's objects, by object.
    unreadable: RefCell<BTreeMap<&'static str, Vec<String>>>,
    /// The last differences of the table, for members that are some versions behind.
    history: RefCell<Arc<History>>,
    fetches: documents::Fetches,
    polls: RefCell<election::Polls>,
    /// Triggers a heartbeat before the interval is over.
    heartbeat_due: Notify,
    /// Triggers an update of the stored entry.
    entry_changed: Notify,
    /// Signals that the first table is in force.
    first_table: Notify,
    /// The stored entry, if this process wrote it last.
    written_entry: RefCell<Option<Object>>,
    /// Whether the stored entry was read, which tells whether the server had announced to an earlier
    /// process that it leaves.
    knows_departures: Cell<bool>,
    /// The departures in the stored entry.
    stored_departures: watch::Sender<Departures>,
}

impl Fleet {
    fn new(shared: Arc<Shared>, socket: UdpSocket, tasks: Tasks) -> Fleet {
        let platform = Client::new(shared.settings().platform.address);
        Fleet {
            shared,
            tasks,
            links: Rc::default(),
            socket,
            platform,
            run_id: fastrand::u64(1..),
            started_at: clock::now(),
            config: RefCell::default(),
            router: RefCell::default(),
            encoded_config: RefCell::default(),
            table: RefCell::default(),
            routing_table: RefCell::default(),
            server: RefCell::default(),
            holder: RefCell::default(),
            ended_incarnations: RefCell::default(),
            leader: RefCell::default(),
            leader_heard_at: Cell::new(clock::now()),
            term_confirmation: Cell::new(None),
            last_contact: Cell::new(None),
            silent_members: RefCell::default(),
            buckets_acquired_at: RefCell::default(),
            was_lease_valid: Cell::new(false),
            zone_out_at: Cell::new(None),
            last_end_check: Cell::new(Time::ZERO),
            unreadable: RefCell::default(),
            history: RefCell::default(),
            fetches: documents::Fetches::default(),
            polls: RefCell::default(),
            heartbeat_due: Notify::new(),
            entry_changed: Notify::new(),
            first_table: Notify::new(),
            written_entry: RefCell::default(),
            knows_departures: Cell::new(false),
            stored_departures: watch::Sender::default(),
        }
    }

    /// The incarnation that this daemon represents; 0 before it is registered.
    fn id(&self) -> HolderId {
        self.holder.borrow().as_ref().map_or(0, Holder::id)
    }

    fn known_versions(&self) -> KnownVersions {
        let (table, config) = (self.table.borrow(), self.config.borrow());
        KnownVersions {
            term: table.term,
            table: table.version,
            config: config.version,
            zones: config.zones_revision,
        }
    }

    /// Whether the table names this process as the leader.
    fn is_named_leader(&self) -> bool {
        self.table.borrow().run == self.run_id
    }

    fn record_contact(&self, at: Time) {
        self.last_contact.set(self.last_contact.get().max(Some(at)));
    }
}

/// Runs the control thread's tasks until the daemon has shut down.
///
/// # Errors
/// The addresses for reports can't be listened on.
pub async fn run(
    shared: Arc<Shared>,
    socket: UdpSocket,
    commands: mpsc::UnboundedReceiver<Command>,
    stop: Stop,
    tasks: &Tasks,
) -> Result<(), Error> {
    let fleet = Rc::new(Fleet::new(Arc::clone(&shared), socket, tasks.clone()));
    fleet.listen().await?;
    tasks.spawn("receive", Rc::clone(&fleet).receive_signals());
    tasks.spawn("config", Rc::clone(&fleet).watch_config());
    tasks.spawn("zones", Rc::clone(&fleet).watch_zones());
    tasks.spawn("entry", Rc::clone(&fleet).maintain_entry());
    tasks.spawn("heartbeats", Rc::clone(&fleet).run_heartbeats());
    tasks.spawn("leading", Rc::clone(&fleet).run_election());
    tasks.spawn("obey", Rc::clone(&fleet).handle_commands(commands));
    tasks.spawn("shares", peer_quota::renew_shares(shared, Rc::clone(&fleet.links)));
    tasks.spawn("ticking", Rc::clone(&fleet).run_ticks());
    fleet.shut_down_on_signal(stop).await;
    Ok(())
}

impl Fleet {
    async fn run_ticks(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stalls = stall::LagMonitor::new("control");
        loop {
            ticks.tick().await;
            let now = clock::now();
            stalls.fired(now);
            stall::record_tick(now);
            self.publish(now);
            self.check_missed_reports(now);
            self.shared.guard().admit_waiting(&self.config.borrow(), now);
            stalls.expect(TICK_INTERVAL, now);
        }
    }

    async fn handle_commands(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Patch(_, answer) | Command::Decide(_, answer) => drop(answer),
                Command::HasReleased(_, _, answer) => {
                    answer.send(false).ok();
                }
                Command::UpstreamRefused => {
                    tokio::task::spawn_local(Rc::clone(&self).check_server_ended());
                }
                Command::Report(_) | Command::Regrant(_) => {}
            }
        }
    }
}
