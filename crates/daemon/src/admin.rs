//! Operators' HTTP: status, configuration, patches, metrics.

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

/// State of one daemon, as operators see it.
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
    /// Whether it leads.
    pub leads: bool,
    /// Whether its lease is valid.
    pub is_valid: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether its configuration is known to be current.
    pub is_fresh: bool,
    /// Configuration in force.
    pub config_version: u64,
    /// Slice table in force.
    pub table_version: u64,
    /// Slices served.
    pub slices: usize,
    /// Requests running at the upstream.
    pub running: u32,
    /// Requests waiting.
    pub waiting: usize,
    /// Requests let through at a time.
    pub limit: u32,
    /// Members that the table names.
    pub members: Vec<Member>,
}

/// A member, as the table names it.
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
    /// Address for other daemons.
    pub peers: String,
    /// Address for operators.
    pub admin: String,
    /// Slices that it owns by the table.
    pub owns: usize,
    /// Slices on the move to or from it.
    pub moving: usize,
    /// Names of its sponsors' instances.
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

/// Pause after a connection that couldn't be accepted, as when no descriptor is left.
const NOT_ACCEPTED: Duration = Duration::from_millis(5);

/// Accepts operators; pauses after a failure instead of trying again at once.
struct Patient(TcpAcceptor);

impl Acceptor for Patient {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> std::io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await;
        if accepted.is_err() {
            tokio::time::sleep(NOT_ACCEPTED).await;
        }
        accepted
    }
}

/// Serves operators for as long as the process runs.
///
/// # Errors
/// The event loop can't be started.
pub fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    handle: PrometheusHandle,
    lost: log::LostLines,
    guard: &ThreadGuard,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        let acceptor = Patient(TcpAcceptor::from_std(listener)?);
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
