//! Control work of a daemon whose server reports its liveness and is granted keys in the answers.
//!
//! What is agreed lies in one table in the platform's store, written by the daemon that leads;
//! every other daemon renews its authority with the leader by datagram.

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
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::{Config, Router};
use cactushold_lease::Table as Rendered;
use cactushold_ownership::{Holder, HolderId, Leader, Position, Table, Time};
use cactushold_platform::Client;
use cactushold_wire::signal::KnownVersions;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

use crate::error::Error;
use crate::peer::Links;
use crate::shared::{Command, Shared};
use crate::signals::Stop;
use crate::tasks::Tasks;
use crate::{clock, peer_quota, stall};

pub use self::publish::key_space_offset;

use self::server::Server;

/// How often due work is looked for.
const TICK: Duration = Duration::from_millis(25);

/// State of the control thread. No task holds a borrow across an await.
pub struct Fleet {
    shared: Arc<Shared>,
    tasks: Tasks,
    links: Rc<Links>,
    socket: UdpSocket,
    platform: Client,
    /// Tells this process from others of the same instance.
    run: u64,
    /// When this process began.
    began: Time,
    config: RefCell<Arc<Config>>,
    router: RefCell<Arc<Router>>,
    table: RefCell<Arc<Table>>,
    /// The table in the form that requests are routed by.
    rendered: RefCell<Arc<Rendered>>,
    /// The server beside this daemon, as it last reported.
    server: RefCell<Server>,
    /// The server's life as a holder of keys, once it is registered.
    holder: RefCell<Option<Holder>>,
    /// Lives of servers beside this daemon that have ended and that the table still names.
    ended: RefCell<Vec<HolderId>>,
    leader: RefCell<Option<Leader>>,
    /// When the leader that the table names last answered.
    leader_heard: Cell<Time>,
    /// When the store last said that the known term is the newest.
    word: Cell<Option<(u64, Time)>>,
    /// Latest sure contact with the store or the leader.
    fresh_at: Cell<Option<Time>>,
    silent: RefCell<Vec<HolderId>>,
    /// Ranges of workspaces' buckets held here, by first position and fence, and since when.
    buckets: RefCell<HashMap<(Position, u64), Time>>,
    was_valid: Cell<bool>,
    /// Since when the own zone has been known to be out.
    zone_out_at: Cell<Option<Time>>,
    /// When the server was last looked for.
    looked_at: Cell<Time>,
    fetches: documents::Fetches,
    polls: RefCell<election::Polls>,
    /// Wakes whoever sends heartbeats.
    news: Notify,
    /// Wakes whoever keeps the entry in the store.
    entry_changed: Notify,
    /// Wakes long watches of the store when this daemon begins to lead.
    lead_began: Notify,
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
            run: fastrand::u64(1..),
            began: clock::now(),
            config: RefCell::default(),
            router: RefCell::default(),
            table: RefCell::default(),
            rendered: RefCell::default(),
            server: RefCell::default(),
            holder: RefCell::default(),
            ended: RefCell::default(),
            leader: RefCell::default(),
            leader_heard: Cell::new(clock::now()),
            word: Cell::new(None),
            fresh_at: Cell::new(None),
            silent: RefCell::default(),
            buckets: RefCell::default(),
            was_valid: Cell::new(false),
            zone_out_at: Cell::new(None),
            looked_at: Cell::new(Time::ZERO),
            fetches: documents::Fetches::default(),
            polls: RefCell::default(),
            news: Notify::new(),
            entry_changed: Notify::new(),
            lead_began: Notify::new(),
        }
    }

    /// The life that this daemon stands for; 0 before it is registered.
    fn id(&self) -> HolderId {
        self.holder.borrow().as_ref().map_or(0, Holder::id)
    }

    fn known(&self) -> KnownVersions {
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
        self.table.borrow().run == self.run
    }

    fn note_contact(&self, at: Time) {
        self.fresh_at.set(self.fresh_at.get().max(Some(at)));
    }
}

/// Runs control work until the daemon has stopped.
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
    tasks.spawn("receive", Rc::clone(&fleet).receive());
    tasks.spawn("config", Rc::clone(&fleet).keep_config());
    tasks.spawn("zones", Rc::clone(&fleet).keep_zones());
    tasks.spawn("entry", Rc::clone(&fleet).keep_entry());
    tasks.spawn("heartbeats", Rc::clone(&fleet).keep_heartbeats());
    tasks.spawn("leading", Rc::clone(&fleet).keep_leading());
    tasks.spawn("obey", Rc::clone(&fleet).obey(commands));
    tasks.spawn("shares", peer_quota::renew_shares(shared, Rc::clone(&fleet.links)));
    tasks.spawn("ticking", Rc::clone(&fleet).keep_ticking());
    fleet.until_stopped(stop).await;
    Ok(())
}

impl Fleet {
    async fn keep_ticking(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut stalls = stall::Watch::new("control");
        loop {
            ticks.tick().await;
            let now = clock::now();
            stalls.note(now);
            self.publish(now);
            self.look_after_silence(now);
            self.shared.guard().call_next(&self.config.borrow(), now);
            stalls.expect(TICK, now);
        }
    }

    async fn obey(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Patch(_, answer) | Command::Decide(_, answer) => drop(answer),
                Command::HasGivenUp(_, _, answer) => {
                    answer.send(false).ok();
                }
                Command::UpstreamRefused => {
                    tokio::task::spawn_local(Rc::clone(&self).look_for_end());
                }
                Command::Report(_) | Command::Regrant(_) => {}
            }
        }
    }
}
