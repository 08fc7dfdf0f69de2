//! HTTP interface for operators: status, configuration, slice table, patches and metrics.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use cactushold_config::Config;
use metrics_exporter_prometheus::PrometheusHandle;
use poem::http::StatusCode;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{Data, Json, LocalAddr, RemoteAddr};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::error::Error;
use crate::shared::{Command, Shared};
use crate::threads::ThreadGuard;
use crate::{clock, log, metric};

/// State of one daemon, as reported by `/status`.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation; 0 before it is registered.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Whether the daemon is the leader.
    pub leads: bool,
    /// Whether its lease is valid.
    pub is_valid: bool,
    /// Whether the daemon is shutting down.
    pub is_leaving: bool,
    /// Whether its configuration is known to be current.
    pub is_fresh: bool,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Version of the slice table in force.
    pub table_version: u64,
    /// Number of slices served.
    pub slices: usize,
    /// Number of requests running at the upstream.
    pub running: u32,
    /// Number of requests queued.
    pub waiting: usize,
    /// Concurrency limit of the upstream, in requests.
    pub limit: u32,
    /// Parts of the store's objects that the daemon can't read, each with the reason.
    pub unreadable: Vec<String>,
    /// Members listed in the slice table.
    pub members: Vec<Member>,
}

/// A member, as listed in the slice table.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Address on which it serves other daemons.
    pub peers: String,
    /// Address of its admin interface.
    pub admin: String,
    /// Number of slices that the table assigns to it.
    pub owns: usize,
    /// Number of slices being moved to or from it.
    pub moving: usize,
    /// Instance names of its sponsors.
    pub sponsors: Vec<String>,
}

#[handler]
fn status(shared: Data<&Arc<Shared>>) -> Json<Status> {
    let (view, now) = (shared.view(), clock::now());
    let load = shared.guard().load(now);
    let instance = &shared.instance;
    Json(Status {
        instance: instance.name.clone(),
        incarnation: view.id,
        zone: instance.zone.clone(),
        service: instance.service.clone(),
        leads: view.leads,
        is_valid: now < view.valid_until,
        is_leaving: shared.is_leaving(),
        is_fresh: view.is_fresh(now),
        config_version: view.config.version,
        table_version: view.table.version,
        slices: if now < view.valid_until { view.fences.len() } else { 0 },
        running: load.running,
        waiting: load.waiting,
        limit: load.limit,
        unreadable: (*view.unreadable).clone(),
        members: members(&view.table),
    })
}

fn members(table: &cactushold_lease::Table) -> Vec<Member> {
    let name = |id| table.members.get(&id).map_or_else(String::new, |m| m.peer.instance.clone());
    let members = table.members.iter().map(|(&id, member)| {
        let owned = table.slices().filter(|slice| slice.current.owner == id);
        let moving = table
            .slices()
            .filter(|slice| slice.previous.is_some() && slice.possible_holders().contains(&id));
        Member {
            instance: member.peer.instance.clone(),
            incarnation: id,
            zone: member.peer.zone.clone(),
            service: member.peer.service.clone(),
            peers: member.peer.address.to_string(),
            admin: member.peer.admin.to_string(),
            owns: owned.count(),
            moving: moving.count(),
            sponsors: member.grant.sponsors.into_iter().map(name).collect(),
        }
    });
    members.collect()
}

#[handler]
fn config(shared: Data<&Arc<Shared>>) -> Json<Config> {
    Json((*shared.view().config).clone())
}

#[handler]
fn slices(shared: Data<&Arc<Shared>>) -> Json<cactushold_lease::Table> {
    Json((*shared.view().table).clone())
}

#[handler]
fn metrics(
    handle: Data<&PrometheusHandle>,
    lost: Data<&log::LostLines>,
    shared: Data<&Arc<Shared>>,
) -> String {
    metric::set_lost_lines(lost.lines());
    metric::set_omitted_lines(shared.omitted_lines());
    handle.run_upkeep();
    handle.render()
}

#[handler]
async fn patch(body: Vec<u8>, shared: Data<&Arc<Shared>>) -> Response {
    let (sender, outcome) = oneshot::channel();
    let is_sent = shared.commands.send(Command::Patch(body, sender)).is_ok();
    match outcome.await {
        Ok(outcome) if is_sent => {
            Response::builder().content_type("application/json").body(outcome)
        }
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Delay after a failed accept, such as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts connections, and waits after a failure instead of retrying in a busy loop.
struct RetryingAcceptor(TcpAcceptor);

impl Acceptor for RetryingAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> std::io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await;
        if accepted.is_err() {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
        accepted
    }
}

/// Serves the admin interface for as long as the process runs.
///
/// # Errors
/// The event loop cannot be started, or the server fails.
pub fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    handle: PrometheusHandle,
    lost: log::LostLines,
    guard: &ThreadGuard,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        let acceptor = RetryingAcceptor(TcpAcceptor::from_std(listener)?);
        let app = Route::new()
            .at("/status", get(status))
            .at("/config", get(config))
            .at("/table", get(slices))
            .at("/metrics", get(metrics))
            .at("/patch", post(patch))
            .data(shared)
            .data(handle)
            .data(lost);
        guard.ready();
        Server::new_with_acceptor(acceptor).run(app).await?;
        Ok(())
    })
}
