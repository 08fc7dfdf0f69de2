//! Starts the daemon's threads and waits until they have stopped.

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
use crate::reload::SettingsFile;
use crate::shared::{Addresses, Command, Shared};
use crate::signals::{Signals, Stop};
use crate::tasks::Tasks;
use crate::threads::Threads;
use crate::{admin, control, fleet, log, metric, reload, tasks, worker};

/// Attempts to find a port that is free for both TCP and UDP, when the system chooses it.
const MAX_PORT_TRIES: usize = 50;

/// Name of the thread that serves the admin interface.
const ADMIN: &str = "admin";

/// Sockets bound before any thread starts.
struct Sockets {
    addresses: Addresses,
    datagrams: UdpSocket,
    admin: TcpListener,
    /// Bound without listening, to reserve the ports that the workers listen on.
    _reserved: [Socket; 2],
}

/// Validates a settings file.
///
/// # Errors
/// The file cannot be read or is invalid.
pub fn check(path: &Path) -> Result<(), Error> {
    bounds(&Settings::load(path)?)?;
    Ok(())
}

/// Runs a daemon with a settings file until a shutdown is requested.
///
/// # Errors
/// The settings are invalid, an address cannot be bound, a thread cannot be started, or a thread or
/// task ends unexpectedly.
pub fn run(path: &Path) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let signals = install_signals(&runtime)?;
    let (settings_file, settings) = SettingsFile::open(path)?;
    let bounds = bounds(&settings)?;
    let log = log::start(settings.log.format);
    let metrics = install_metrics();
    let sockets = bind(&settings)?;
    let (command_sender, commands) = mpsc::unbounded_channel();
    let shared = Arc::new(Shared::new(settings, bounds, sockets.addresses, command_sender));
    log_addresses(&shared);
    let (tasks, mut failures) = tasks::channel();
    let mut threads = start_threads(sockets.admin, &shared, &tasks, metrics, log.lost())?;
    let missing = Rc::new(log::MissingLines::new(log.lost(), Arc::clone(&shared)));
    let control = async {
        let reloading = reload::watch_settings(settings_file, Arc::clone(&shared), signals.hangup);
        tasks.spawn("settings", reloading);
        tasks.spawn("log", log::report_missing_lines(Rc::clone(&missing)));
        tokio::select! {
            outcome = run_control(&shared, sockets.datagrams, commands, signals.stop, &tasks) => {
                outcome
            }
            error = threads.wait_for_failure() => Err(error),
            error = failures.wait() => Err(error),
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

/// Parses the platform's bounds from the settings.
///
/// # Errors
/// A bound cannot be parsed.
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
    let listen_error = |source| Error::Listen { address, source };
    let admin = TcpListener::bind(address).map_err(listen_error)?;
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

/// Checks that no other process listens on an address. The workers' sockets share their port, so
/// that binding them alone would not show it.
fn check_free(address: SocketAddr) -> Result<(), Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
    Ok(())
}

/// Binds the same port for datagrams and TCP calls. The datagram socket is bound exclusively: a new
/// process of the instance cannot start while an old one is running.
fn bind_peers(address: SocketAddr) -> Result<(UdpSocket, Socket), Error> {
    let mut tries = 0;
    loop {
        tries += 1;
        let listen_error = |source| Error::Listen { address, source };
        let datagrams = UdpSocket::bind(address).map_err(listen_error)?;
        datagrams.set_nonblocking(true)?;
        let chosen = datagrams.local_addr()?;
        match check_free(chosen).and_then(|()| worker::reserve(chosen)) {
            Ok(peers) => return Ok((datagrams, peers)),
            Err(_) if address.port() == 0 && tries < MAX_PORT_TRIES => {}
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
    let admin_shared = Arc::clone(shared);
    threads.start(ADMIN, move |guard| admin::run(admin, admin_shared, metrics, lost, guard))?;
    for index in 0..shared.settings().limits.workers {
        let (shared, tasks) = (Arc::clone(shared), tasks.clone());
        threads
            .start(&format!("worker-{index}"), move |guard| worker::run(shared, &tasks, guard))?;
    }
    Ok(threads)
}

async fn run_control(
    shared: &Arc<Shared>,
    datagrams: UdpSocket,
    commands: mpsc::UnboundedReceiver<Command>,
    stop: Stop,
    tasks: &Tasks,
) -> Result<(), Error> {
    let datagrams = tokio::net::UdpSocket::from_std(datagrams)?;
    if shared.uses_reports() {
        return fleet::run(Arc::clone(shared), datagrams, commands, stop, tasks).await;
    }
    control::run(Arc::clone(shared), datagrams, commands, stop, tasks).await;
    Ok(())
}
