//! The control thread: membership, leases, documents, leadership. Requests never run here.

mod documents;
mod handover;
mod heartbeat;
mod leader;
mod patches;
mod recovery;
mod registration;
mod reports;
mod slices;
mod stop;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::{Config, Router};
use cactushold_lease::{Fence, Incarnation, KnownVersions, Member, SliceId, Table, Time};
use cactushold_platform::Client;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::event::Event;
use crate::guard::UncertainSlices;
use crate::peer::Links;
use crate::shared::{Command, Shared, View};
use crate::signals::Stop;
use crate::tasks::Tasks;
use crate::upstream::{Dialect, Upstream};
use crate::{clock, log, metric, peer_quota};

/// How often due work is looked for.
const TICK: Duration = Duration::from_millis(10);

/// A grant that the upstream accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Granted {
    fence: Fence,
    acquired: Time,
}

/// Freshness of the configuration: this version was current at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Fresh {
    version: u64,
    at: Time,
}

/// State of the control thread. No task holds a borrow across an await.
pub struct Control {
    shared: Arc<Shared>,
    tasks: Tasks,
    links: Rc<Links>,
    upstream: Rc<Upstream>,
    socket: UdpSocket,
    platform: Client,
    member: RefCell<Option<Member>>,
    /// In force also before this process is a member.
    table: RefCell<Arc<Table>>,
    config: RefCell<Arc<Config>>,
    router: RefCell<Arc<Router>>,
    fresh: Cell<Option<Fresh>>,
    newest: Cell<KnownVersions>,
    granted: RefCell<HashMap<SliceId, Granted>>,
    grant_changes: Cell<u64>,
    unsure_until: RefCell<UncertainSlices>,
    /// Fences whose earlier holders were asked for records.
    prepared: RefCell<HashMap<SliceId, Fence>>,
    grants_under_way: RefCell<Vec<SliceId>>,
    drains: RefCell<HashMap<SliceId, Time>>,
    fetches: documents::Fetches,
    leader: RefCell<leader::Leader>,
    published: Cell<Option<Signature>>,
    patching: tokio::sync::Mutex<()>,
    was_valid: Cell<bool>,
    was_fresh: Cell<bool>,
}

/// What a view was built from; a view is swapped only when this changes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Signature {
    id: Incarnation,
    known: KnownVersions,
    valid_until: Time,
    fresh_at: Option<Time>,
    leads: bool,
    grant_changes: u64,
}

impl Control {
    fn new(shared: Arc<Shared>, socket: UdpSocket, tasks: Tasks) -> Control {
        let upstream = Rc::new(Upstream::new(shared.settings().upstream.address, Dialect::Native));
        let platform = Client::new(shared.settings().platform.address);
        Control {
            shared,
            tasks,
            links: Rc::default(),
            upstream,
            socket,
            platform,
            member: RefCell::default(),
            table: RefCell::default(),
            config: RefCell::default(),
            router: RefCell::default(),
            fresh: Cell::new(None),
            newest: Cell::default(),
            granted: RefCell::default(),
            grant_changes: Cell::default(),
            unsure_until: RefCell::default(),
            prepared: RefCell::default(),
            grants_under_way: RefCell::default(),
            drains: RefCell::default(),
            fetches: documents::Fetches::default(),
            leader: RefCell::default(),
            published: Cell::new(None),
            patching: tokio::sync::Mutex::default(),
            was_valid: Cell::new(false),
            was_fresh: Cell::new(false),
        }
    }

    fn id(&self) -> Incarnation {
        self.member.borrow().as_ref().map_or(0, Member::id)
    }

    fn known(&self) -> KnownVersions {
        KnownVersions { table: self.table.borrow().version, config: self.config.borrow().version }
    }

    fn leads(&self, now: Time) -> bool {
        self.member.borrow().as_ref().is_some_and(|member| member.is_leader(now))
    }

    /// Changes the member and sends what follows from it.
    fn with_member(&self, change: impl FnOnce(&mut Member, &mut Vec<cactushold_lease::Envelope>)) {
        let mut out = Vec::new();
        if let Some(member) = self.member.borrow_mut().as_mut() {
            change(member, &mut out);
        }
        self.post(out);
    }

    /// Everything that is due at `now`.
    fn tick(self: &Rc<Self>, now: Time) {
        self.with_member(|member, out| member.tick(now, out));
        self.keep_slices(now);
        if self.leads(now) && self.known().config >= self.newest.get().config {
            self.fresh.set(Some(Fresh { version: self.known().config, at: now }));
        }
        self.publish(now);
        self.shared.guard().admit_waiting(&self.config.borrow(), now);
    }

    /// Changes the grants; a change is noticed by the next [`Control::publish`].
    fn change_grants(&self, change: impl FnOnce(&mut HashMap<SliceId, Granted>)) {
        let mut granted = self.granted.borrow_mut();
        let before = granted.clone();
        change(&mut granted);
        if *granted != before {
            self.grant_changes.set(self.grant_changes.get() + 1);
        }
    }

    /// Swaps the view if anything in it changed.
    fn publish(&self, now: Time) {
        let member = self.member.borrow();
        let table = Arc::clone(&self.table.borrow());
        let config = Arc::clone(&self.config.borrow());
        let fresh = self.fresh.get().filter(|fresh| config.version >= fresh.version);
        let leads = member.as_ref().is_some_and(|member| member.is_leader(now));
        let granted = self.granted.borrow();
        let signature = Signature {
            id: member.as_ref().map_or(0, Member::id),
            known: KnownVersions { table: table.version, config: config.version },
            valid_until: member.as_ref().map_or(Time::ZERO, Member::valid_until),
            fresh_at: fresh.map(|fresh| fresh.at),
            leads,
            grant_changes: self.grant_changes.get(),
        };
        if self.published.get() == Some(signature) {
            return;
        }
        self.published.set(Some(signature));
        let view = View {
            id: signature.id,
            config,
            table,
            fences: granted.iter().map(|(slice, grant)| (*slice, grant.fence)).collect(),
            acquired: granted.iter().map(|(slice, grant)| (*slice, grant.acquired)).collect(),
            unsure_until: self.unsure_until.borrow().clone(),
            valid_until: signature.valid_until,
            authority_until: signature.valid_until,
            fresh_at: signature.fresh_at,
            leads,
            router: Arc::clone(&self.router.borrow()),
            ..View::default()
        };
        self.tell_transitions(&view, now);
        metrics::gauge!(metric::SLICES_SERVED).set(view.fences.len() as f64);
        metrics::gauge!(metric::CONFIG_VERSION).set(view.config.version as f64);
        metrics::gauge!(metric::TABLE_VERSION).set(view.table.version as f64);
        metrics::counter!(metric::PLATFORM_CALLS).absolute(self.platform.calls());
        self.shared.publish(view);
    }

    fn tell_transitions(&self, view: &View, now: Time) {
        let is_valid = now < view.valid_until;
        if is_valid != self.was_valid.replace(is_valid) {
            match is_valid {
                true => log!(info, Event::LeaseValid, incarnation = view.id),
                false => log!(warn, Event::LeaseLapsed, incarnation = view.id),
            }
        }
        let is_fresh = view.is_fresh(now);
        if is_fresh != self.was_fresh.replace(is_fresh) {
            match is_fresh {
                true => log!(info, Event::Fresh, version = view.config.version),
                false => log!(warn, Event::NotFresh, version = view.config.version),
            }
        }
    }
}

/// Runs control work until the daemon has stopped.
pub async fn run(
    shared: Arc<Shared>,
    socket: UdpSocket,
    commands: mpsc::UnboundedReceiver<Command>,
    stop: Stop,
    tasks: &Tasks,
) {
    let control = Rc::new(Control::new(Arc::clone(&shared), socket, tasks.clone()));
    tasks.spawn("receive", Rc::clone(&control).receive());
    tasks.spawn("registered", Rc::clone(&control).keep_registered());
    tasks.spawn("fresh", Rc::clone(&control).keep_fresh());
    tasks.spawn("reporting", Rc::clone(&control).keep_reporting());
    tasks.spawn("leading", Rc::clone(&control).keep_leading());
    tasks.spawn("obey", Rc::clone(&control).obey(commands));
    tasks.spawn("shares", peer_quota::renew_shares(shared, Rc::clone(&control.links)));
    tasks.spawn("ticking", Rc::clone(&control).keep_ticking());
    control.until_stopped(stop).await;
}

impl Control {
    async fn keep_ticking(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick(clock::now());
            let cpu = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
            let micros = cpu.tv_sec as u64 * 1_000_000 + cpu.tv_nsec as u64 / 1_000;
            metrics::counter!(metric::CONTROL_CPU).absolute(micros);
        }
    }

    async fn obey(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Patch(content, answer) => {
                    let control = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        answer.send(control.order(content).await).ok();
                    });
                }
                Command::Decide(content, answer) => {
                    let control = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        let outcome = control.decide_alone(&content).await;
                        answer.send(serde_json::to_vec(&outcome).unwrap_or_default()).ok();
                    });
                }
                Command::Report(report) => self.leader.borrow_mut().note(report),
                Command::HasReleased(slice, since, answer) => {
                    let member = self.member.borrow();
                    let given = member.as_ref().is_some_and(|m| m.has_given_up(slice, since));
                    answer.send(given).ok();
                }
                Command::UpstreamRefused => {}
                Command::Regrant(slice) => {
                    self.change_grants(|granted| {
                        granted.remove(&slice);
                    });
                }
            }
        }
    }
}
