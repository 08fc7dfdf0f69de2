//! Starts the threads of a daemon and waits until it has stopped.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use cactushold_config::Settings;
use cactushold_platform::Bounds;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use socket2::Socket;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::error::Error;
use crate::event::Event;
use crate::reload::Source;
use crate::shared::{Addresses, Command, Shared};
use crate::signals::{Signals, Stop};
use crate::tasks::Tasks;
use crate::threads::Threads;
use crate::{admin, control, fleet, log, metric, reload, tasks, worker};

/// Ports tried when the system may choose one that is free for both TCP and UDP.
const PORT_TRIES: usize = 50;

/// Name of the thread for operators.
const ADMIN: &str = "admin";

/// Sockets that are bound before any thread starts. The TCP ones keep their ports for workers.
struct Sockets {
    addresses: Addresses,
    datagrams: UdpSocket,
    admin: TcpListener,
    /// Hold the ports that workers listen on.
    _reserved: [Socket; 2],
}

/// Checks a settings file.
///
/// # Errors
/// It can't be read or is wrong.
pub fn check(path: &Path) -> Result<(), Error> {
    bounds(&Settings::load(path)?)?;
    Ok(())
}

/// Runs a daemon by a settings file until it is told to stop.
///
/// # Errors
/// The file is refused, an address can't be bound or a thread can't be started.
pub fn run(path: &Path) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let signals = install_signals(&runtime)?;
    let (source, settings) = Source::open(path)?;
    let bounds = bounds(&settings)?;
    let log = log::start(settings.log.format);
    let metrics = install_metrics();
    let sockets = bind(&settings)?;
    let (commands, orders) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(settings, bounds, sockets.addresses, commands));
    log_addresses(&shared);
    let (tasks, mut lost) = tasks::channel();
    let mut threads = start_threads(sockets.admin, &shared, &tasks, metrics, log.lost())?;
    let missing = Rc::new(log::MissingLines::new(log.lost(), Arc::clone(&shared)));
    let control = async {
        let reloading = reload::watch_settings(source, Arc::clone(&shared), signals.hangup);
        tasks.spawn("settings", reloading);
        tasks.spawn("log", log::report_missing_lines(Rc::clone(&missing)));
        tokio::select! {
            outcome = run_control(&shared, sockets.datagrams, orders, signals.stop, &tasks) => {
                outcome
            }
            error = threads.lost() => Err(error),
            error = lost.wait() => Err(error),
        }
    };
    LocalSet::new().block_on(&runtime, control)?;
    threads.join(ADMIN);
    missing.report();
    Ok(())
}

fn install_signals(runtime: &Runtime) -> Result<Signals, Error> {
    let _context = runtime.enter();
    Ok(Signals::install()?)
}

/// The platform's bounds, as the settings give them.
///
/// # Errors
/// One can't be understood.
pub fn bounds(settings: &Settings) -> Result<Bounds, Error> {
    let Some(reports) = &settings.reports else { return Ok(Bounds::default()) };
    Bounds::parse(&reports.interval, &reports.bounds).map_err(Error::Bounds)
}

fn install_metrics() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A second daemon in the same process shares the first one's recorder.
    metrics::set_global_recorder(recorder).ok();
    metric::set_start_time(SystemTime::now());
    handle
}

fn bind(settings: &Settings) -> Result<Sockets, Error> {
    check_free(settings.listen.callers)?;
    let callers = worker::reserve(settings.listen.callers)?;
    let (datagrams, peers) = bind_peers(settings.listen.peers)?;
    let address = settings.listen.admin;
    let fail = |source| Error::Listen { address, source };
    let admin = TcpListener::bind(address).map_err(fail)?;
    admin.set_nonblocking(true)?;
    let addresses = Addresses {
        callers: local_address(&callers)?,
        peers: local_address(&peers)?,
        advertised: settings.listen.advertise.map_or_else(|| local_address(&peers), Ok)?,
        admin: admin.local_addr()?,
    };
    Ok(Sockets { addresses, datagrams, admin, _reserved: [callers, peers] })
}

fn local_address(socket: &Socket) -> Result<SocketAddr, Error> {
    let address = socket.local_addr()?.as_socket();
    Ok(address.ok_or_else(|| std::io::Error::other("not an IP address"))?)
}

/// Workers share a port among themselves; another process must not be there.
fn check_free(address: SocketAddr) -> Result<(), Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
    Ok(())
}

/// Binds one port for datagrams and calls. The datagram socket is bound exclusively: as long as
/// an old process of the instance lives, a new one can't start.
fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, Socket), Error> {
    let mut tries = 0;
    loop {
        tries += 1;
        let fail = |source| Error::Listen { address, source };
        let datagrams = UdpSocket::bind(address).map_err(fail)?;
        datagrams.set_nonblocking(true)?;
        let chosen = datagrams.local_addr()?;
        match check_free(chosen).and_then(|()| worker::reserve(chosen)) {
            Ok(peers) => return Ok((datagrams, peers)),
            Err(_) if address.port() == 0 && tries < PORT_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

fn log_addresses(shared: &Shared) {
    let Addresses { callers, peers, admin, .. } = shared.addresses;
    let instance = shared.instance.name.as_str();
    log!(info, Event::Listening, instance, callers = %callers, peers = %peers, admin = %admin);
}

fn start_threads(
    admin: TcpListener,
    shared: &Arc<Shared>,
    tasks: &Tasks,
    metrics: PrometheusHandle,
    lost: log::LostLines,
) -> Result<Threads, Error> {
    let mut threads = Threads::default();
    let operators = Arc::clone(shared);
    threads.start(ADMIN, move |guard| admin::run(admin, operators, metrics, lost, guard))?;
    for at in 0..shared.settings().limits.workers {
        let (shared, tasks) = (Arc::clone(shared), tasks.clone());
        threads.start(&format!("worker-{at}"), move |guard| worker::run(shared, &tasks, guard))?;
    }
    Ok(threads)
}

async fn run_control(
    shared: &Arc<Shared>,
    datagrams: UdpSocket,
    orders: mpsc::UnboundedReceiver<Command>,
    stop: Stop,
    tasks: &Tasks,
) -> Result<(), Error> {
    let datagrams = tokio::net::UdpSocket::from_std(datagrams)?;
    if shared.uses_reports() {
        return fleet::run(Arc::clone(shared), datagrams, orders, stop, tasks).await;
    }
    control::run(Arc::clone(shared), datagrams, orders, stop, tasks).await;
    Ok(())
}
