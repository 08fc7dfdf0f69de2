//! The control thread: membership, leases, shared documents and leadership. It never runs requests.

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

/// Interval of the periodic work in [`Control::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A slice that this daemon serves: one whose grant the upstream accepted, or an internal one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantedSlice {
    fence: Fence,
    /// When the slice was acquired; zero if no member held it before.
    acquired: Time,
}

/// Evidence that a configuration version was the current one at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Freshness {
    version: u64,
    current_at: Time,
}

/// State of the control thread. No task holds a `RefCell` borrow across an await point.
pub struct Control {
    shared: Arc<Shared>,
    tasks: Tasks,
    links: Rc<Links>,
    upstream: Rc<Upstream>,
    socket: UdpSocket,
    platform: Client,
    member: RefCell<Option<Member>>,
    /// Slice table in force, also before this process is a member.
    table: RefCell<Arc<Table>>,
    config: RefCell<Arc<Config>>,
    router: RefCell<Arc<Router>>,
    freshness: Cell<Option<Freshness>>,
    /// Newest versions that any daemon is known to have.
    newest_known: Cell<KnownVersions>,
    granted: RefCell<HashMap<SliceId, GrantedSlice>>,
    /// Number of changes to `granted`.
    grant_changes: Cell<u64>,
    /// Until when earlier runs can't be excluded, for slices whose records are incomplete.
    unsure_until: RefCell<UncertainSlices>,
    /// Fence for which the previous holders of a slice were asked for records.
    records_requested: RefCell<HashMap<SliceId, Fence>>,
    /// Slices with a grant or revocation in progress.
    slices_in_progress: RefCell<Vec<SliceId>>,
    /// For each draining slice, when the lease that its requests were sent under expires. From then
    /// on the slice is drained even if the upstream didn't confirm the revocation.
    drain_expiries: RefCell<HashMap<SliceId, Time>>,
    fetches: documents::ActiveFetches,
    leader: RefCell<leader::LeaderState>,
    published: Cell<Option<ViewInputs>>,
    /// Held while the leader applies a patch.
    patch_lock: tokio::sync::Mutex<()>,
    was_valid: Cell<bool>,
    was_fresh: Cell<bool>,
}

/// Summary of a view's inputs; a new view is published only if it changes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ViewInputs {
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
            freshness: Cell::new(None),
            newest_known: Cell::default(),
            granted: RefCell::default(),
            grant_changes: Cell::default(),
            unsure_until: RefCell::default(),
            records_requested: RefCell::default(),
            slices_in_progress: RefCell::default(),
            drain_expiries: RefCell::default(),
            fetches: documents::ActiveFetches::default(),
            leader: RefCell::default(),
            published: Cell::new(None),
            patch_lock: tokio::sync::Mutex::default(),
            was_valid: Cell::new(false),
            was_fresh: Cell::new(false),
        }
    }

    fn id(&self) -> Incarnation {
        self.member.borrow().as_ref().map_or(0, Member::id)
    }

    fn known_versions(&self) -> KnownVersions {
        KnownVersions { table: self.table.borrow().version, config: self.config.borrow().version }
    }

    fn is_leader(&self, now: Time) -> bool {
        self.member.borrow().as_ref().is_some_and(|member| member.is_leader(now))
    }

    /// Runs a change on the member, if there is one, and sends the resulting lease messages.
    fn with_member(&self, change: impl FnOnce(&mut Member, &mut Vec<cactushold_lease::Envelope>)) {
        let mut out = Vec::new();
        if let Some(member) = self.member.borrow_mut().as_mut() {
            change(member, &mut out);
        }
        self.send_messages(out);
    }

    /// Does the periodic work that is due at `now`.
    fn tick(self: &Rc<Self>, now: Time) {
        self.with_member(|member, out| member.tick(now, out));
        self.update_slices(now);
        if self.is_leader(now) && self.known_versions().config >= self.newest_known.get().config {
            self.freshness
                .set(Some(Freshness { version: self.known_versions().config, current_at: now }));
        }
        self.publish(now);
        self.shared.guard().admit_waiting(&self.config.borrow(), now);
    }

    /// Changes the granted slices and counts the change, which makes the next [`Control::publish`]
    /// publish a new view.
    fn update_granted(&self, change: impl FnOnce(&mut HashMap<SliceId, GrantedSlice>)) {
        let mut granted = self.granted.borrow_mut();
        let before = granted.clone();
        change(&mut granted);
        if *granted != before {
            self.grant_changes.set(self.grant_changes.get() + 1);
        }
    }

    /// Publishes a new view if its inputs changed.
    fn publish(&self, now: Time) {
        let member = self.member.borrow();
        let table = Arc::clone(&self.table.borrow());
        let config = Arc::clone(&self.config.borrow());
        let fresh = self.freshness.get().filter(|fresh| config.version >= fresh.version);
        let leads = member.as_ref().is_some_and(|member| member.is_leader(now));
        let granted = self.granted.borrow();
        let inputs = ViewInputs {
            id: member.as_ref().map_or(0, Member::id),
            known: KnownVersions { table: table.version, config: config.version },
            valid_until: member.as_ref().map_or(Time::ZERO, Member::valid_until),
            fresh_at: fresh.map(|fresh| fresh.current_at),
            leads,
            grant_changes: self.grant_changes.get(),
        };
        if self.published.get() == Some(inputs) {
            return;
        }
        self.published.set(Some(inputs));
        let view = View {
            id: inputs.id,
            config,
            table,
            fences: granted.iter().map(|(slice, grant)| (*slice, grant.fence)).collect(),
            acquired: granted.iter().map(|(slice, grant)| (*slice, grant.acquired)).collect(),
            unsure_until: self.unsure_until.borrow().clone(),
            valid_until: inputs.valid_until,
            authority_until: inputs.valid_until,
            fresh_at: inputs.fresh_at,
            leads,
            router: Arc::clone(&self.router.borrow()),
            ..View::default()
        };
        self.log_transitions(&view, now);
        metrics::gauge!(metric::SLICES_SERVED).set(view.fences.len() as f64);
        metrics::gauge!(metric::CONFIG_VERSION).set(view.config.version as f64);
        metrics::gauge!(metric::TABLE_VERSION).set(view.table.version as f64);
        metrics::counter!(metric::PLATFORM_CALLS).absolute(self.platform.calls());
        self.shared.publish(view);
    }

    fn log_transitions(&self, view: &View, now: Time) {
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

/// Runs the control tasks until the daemon has shut down.
pub async fn run(
    shared: Arc<Shared>,
    socket: UdpSocket,
    commands: mpsc::UnboundedReceiver<Command>,
    stop: Stop,
    tasks: &Tasks,
) {
    let control = Rc::new(Control::new(Arc::clone(&shared), socket, tasks.clone()));
    tasks.spawn("receive", Rc::clone(&control).receive());
    tasks.spawn("registered", Rc::clone(&control).maintain_registration());
    tasks.spawn("fresh", Rc::clone(&control).maintain_freshness());
    tasks.spawn("reporting", Rc::clone(&control).send_reports());
    tasks.spawn("leading", Rc::clone(&control).run_leadership());
    tasks.spawn("obey", Rc::clone(&control).handle_commands(commands));
    tasks.spawn("shares", peer_quota::renew_shares(shared, Rc::clone(&control.links)));
    tasks.spawn("ticking", Rc::clone(&control).run_ticks());
    control.shut_down_on_signal(stop).await;
}

impl Control {
    async fn run_ticks(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick(clock::now());
            let cpu = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
            let micros = cpu.tv_sec as u64 * 1_000_000 + cpu.tv_nsec as u64 / 1_000;
            metrics::counter!(metric::CONTROL_CPU).absolute(micros);
        }
    }

    async fn handle_commands(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Patch(content, answer) => {
                    let control = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        answer.send(control.submit_patch(content).await).ok();
                    });
                }
                Command::Decide(content, answer) => {
                    let control = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        let outcome = control.apply_patch_locally(&content).await;
                        answer.send(serde_json::to_vec(&outcome).unwrap_or_default()).ok();
                    });
                }
                Command::Report(report) => self.leader.borrow_mut().add_report(report),
                Command::HasReleased(slice, since, answer) => {
                    let member = self.member.borrow();
                    let has_given_up =
                        member.as_ref().is_some_and(|m| m.has_given_up(slice, since));
                    answer.send(has_given_up).ok();
                }
                Command::UpstreamRefused => {}
                Command::Regrant(slice) => {
                    self.update_granted(|granted| {
                        granted.remove(&slice);
                    });
                }
            }
        }
    }
}
