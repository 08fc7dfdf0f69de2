//! Starts daemons as processes between stand-ins, for tests, the demo and measurements.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::daemon::{Daemon, Log};
use crate::flood::{Flood, Proxy};
use crate::http::{Answer, Http};
use crate::relay::Relay;
use crate::script::{self, Action};
use crate::server::Server;
use crate::upstream::Shape;
use crate::{platform, upstream};

/// How long the environment waits for something that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Time from SIGTERM to SIGKILL that a daemon beside a server that reports is told at first.
const GRACE: Duration = Duration::from_secs(6);
/// Time of a run at a server that reports.
const RUN: Duration = Duration::from_millis(5);

/// Environments of one process that run beside each other. More would take each other's processors,
/// which looks like failures.
const MAX_CONCURRENT: u32 = 3;

static TURNS: Semaphore = Semaphore::const_new(MAX_CONCURRENT as usize);

/// Stand-ins and daemons of one run.
pub struct Environment {
    _turn: SemaphorePermit<'static>,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// The daemons, in the order they were started.
    pub daemons: Vec<Daemon>,
    /// Earlier lives of their servers, with what they ran and held.
    pub ended: Vec<Server>,
    /// For requests of any kind.
    pub http: Http,
    settings: PathBuf,
    /// Worker threads of each daemon.
    pub workers: usize,
    /// Lines added at the end of each daemon's settings, in the table of limits.
    pub extra_settings: String,
    /// Lines put before each daemon's settings.
    pub first_settings: String,
    /// Puts a relay before each daemon.
    pub with_relays: bool,
    /// Time from SIGTERM to SIGKILL that each daemon beside a server that reports is told.
    pub grace: Duration,
    /// Addresses of the platform stand-in that single daemons use, by their names.
    doors: BTreeMap<String, SocketAddr>,
}

/// Path of a binary of this workspace, beside the running one.
///
/// # Panics
/// The binary wasn't built.
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the running binary has a path");
    let mut folder = own.parent().expect("a file has a folder").to_owned();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    assert!(path.exists(), "{name} isn't built: run cargo build --workspace first");
    path
}

impl Environment {
    /// Starts the platform stand-in.
    ///
    /// # Panics
    /// It can't be started.
    pub async fn new() -> Environment {
        Environment::with_turns(1).await
    }

    /// Like [`Environment::new`], with no other environment of this process beside it, for sessions
    /// that measure times.
    ///
    /// # Panics
    /// The stand-in can't be started.
    pub async fn alone() -> Environment {
        Environment::with_turns(MAX_CONCURRENT).await
    }

    async fn with_turns(count: u32) -> Environment {
        let turn = TURNS.acquire_many(count).await.expect("never closed");
        let any = ([127, 0, 0, 1], 0).into();
        let (platform, _) = platform::start(any).await.expect("a free port");
        let name = format!("cactushold-{}-{}", std::process::id(), platform.port());
        let settings = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&settings).expect("a folder for settings");
        Environment {
            _turn: turn,
            platform,
            daemons: Vec::new(),
            ended: Vec::new(),
            http: Http::default(),
            settings,
            workers: 1,
            extra_settings: String::new(),
            first_settings: String::new(),
            with_relays: false,
            grace: GRACE,
            doors: BTreeMap::new(),
        }
    }

    /// Starts an upstream stand-in and the daemon beside it; returns its index.
    ///
    /// # Panics
    /// One of them can't be started.
    pub async fn add(&mut self, name: &str, zone: &str, service: &str, shape: Shape) -> usize {
        let any = ([127, 0, 0, 1], 0).into();
        let (upstream, _) = upstream::start(any, shape).await.expect("a free port");
        let relay = if self.with_relays { Some(Relay::start().await) } else { None };
        let daemon = self.spawn(name, zone, service, upstream, relay, "");
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Like [`Environment::add`], with a proxy between the daemon and its upstream that follows a
    /// script.
    ///
    /// # Panics
    /// One of them can't be started.
    pub async fn add_scripted_upstream(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
        shape: Shape,
        choose: impl Fn(usize, &str) -> Action + Send + Sync + 'static,
    ) -> script::Proxy {
        let any = ([127, 0, 0, 1], 0).into();
        let (upstream, _) = upstream::start(any, shape).await.expect("a free port");
        let proxy = script::Proxy::start(upstream, choose).await.expect("a free port");
        let daemon = self.spawn(name, zone, service, proxy.address, None, "");
        self.daemons.push(daemon);
        proxy
    }

    /// Starts a server that reports its liveness and the daemon beside it; returns its index.
    ///
    /// # Panics
    /// One of them can't be started.
    pub async fn add_reporting(&mut self, name: &str, zone: &str, service: &str) -> usize {
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, service, zone, RUN).await.expect("a free port");
        let address = server.address;
        let relay = if self.with_relays { Some(Relay::start().await) } else { None };
        self.attach(name, zone, service, server, address, relay)
    }

    /// Like [`Environment::add_reporting`], with a proxy between the daemon and its server.
    ///
    /// # Panics
    /// One of them can't be started.
    pub async fn add_flooding(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
        choose: impl Fn(&str) -> Option<Flood> + Send + Sync + 'static,
    ) -> Proxy {
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, service, zone, RUN).await.expect("a free port");
        let proxy = Proxy::start(server.address, choose).await.expect("a free port");
        self.attach(name, zone, service, server, proxy.address, None);
        proxy
    }

    /// Like [`Environment::add_reporting`], with a proxy between the daemon and its server that
    /// follows a script.
    ///
    /// # Panics
    /// One of them can't be started.
    pub async fn add_scripted(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
        choose: impl Fn(usize, &str) -> Action + Send + Sync + 'static,
    ) -> script::Proxy {
        let any = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, service, zone, RUN).await.expect("a free port");
        let proxy = script::Proxy::start(server.address, choose).await.expect("a free port");
        self.attach(name, zone, service, server, proxy.address, None);
        proxy
    }

    /// Starts the daemon beside a server, which it reaches at `address`.
    fn attach(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
        server: Server,
        address: SocketAddr,
        relay: Option<Relay>,
    ) -> usize {
        let mut daemon = self.spawn(name, zone, service, address, relay, &self.reports());
        daemon.learn_reports();
        daemon.attach(server);
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Ends the server beside a daemon; nothing listens at its address any more.
    pub fn end_server(&mut self, index: usize) {
        if let Some(server) = self.daemons[index].server.take() {
            server.end();
            self.ended.push(server);
        }
    }

    /// Starts another life of the server beside a daemon, at the same address.
    ///
    /// # Panics
    /// It can't be started.
    pub async fn start_server(&mut self, index: usize) {
        self.start_server_behind(index, Duration::ZERO).await;
    }

    /// Starts another life of the server beside a daemon, on a clock that was set back.
    ///
    /// # Panics
    /// It can't be started.
    pub async fn start_server_behind(&mut self, index: usize, behind: Duration) {
        self.end_server(index);
        let daemon = &mut self.daemons[index];
        let server = loop {
            // The address is free once the earlier life has wholly ended.
            match Server::start(daemon.upstream, &daemon.service, &daemon.zone, RUN).await {
                Ok(server) => break server,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
        server.set_back(behind);
        daemon.attach(server);
    }

    /// Writes an object of the platform's store, as operators do.
    ///
    /// # Panics
    /// The stand-in doesn't take it.
    pub async fn store(&self, kind: &str, name: &str, spec: &Value) {
        self.store_text(kind, name, &spec.to_string()).await;
    }

    /// Adds an item of any bytes to the listings and watches of a kind.
    ///
    /// # Panics
    /// The stand-in doesn't answer.
    pub async fn store_odd_item(&self, kind: &str, bytes: impl Into<Vec<u8>>) {
        let path = format!("/_odd/{kind}");
        let call = self.http.send(Method::POST, self.platform, &path, &[], bytes.into());
        assert!(call.await.is_ok_and(|answer| answer.status == 200), "{kind}: item not added");
    }

    /// Writes an object whose spec is any JSON text.
    ///
    /// # Panics
    /// The stand-in doesn't take it.
    pub async fn store_text(&self, kind: &str, name: &str, spec: &str) {
        let path = format!("/v1/objects/{kind}");
        let metadata = json!({ "name": name });
        let body = format!("{{\"metadata\":{metadata},\"spec\":{spec}}}");
        let call = self.http.send(Method::POST, self.platform, &path, &[], body.clone());
        if call.await.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        let path = format!("{path}/{name}");
        let call = self.http.send(Method::PUT, self.platform, &path, &[], body);
        assert!(call.await.is_ok_and(|answer| answer.status == 200), "{kind}/{name} not stored");
    }

    /// Removes an object of the platform's store.
    pub async fn unstore(&self, kind: &str, name: &str) {
        let path = format!("/v1/objects/{kind}/{name}");
        self.http.send(Method::DELETE, self.platform, &path, &[], "").await.ok();
    }

    /// Ends a daemon, if it still runs, and starts a new process in its place.
    ///
    /// # Panics
    /// It can't be started.
    pub fn restart(&mut self, index: usize) {
        self.daemons[index].kill();
        let server = self.daemons[index].server.take();
        let old = &self.daemons[index];
        let (name, zone, service) = (old.name.clone(), old.zone.clone(), old.service.clone());
        let (upstream, relay) = (old.upstream, old.relay.clone());
        let is_reported_to = old.reports.is_some();
        let reports = if is_reported_to { self.reports() } else { String::new() };
        let mut daemon = self.spawn(&name, &zone, &service, upstream, relay, &reports);
        if is_reported_to {
            daemon.learn_reports();
        }
        if let Some(server) = server {
            daemon.attach(server);
        }
        self.daemons[index] = daemon;
    }

    /// Settings of a daemon whose server reports.
    fn reports(&self) -> String {
        format!(
            "[reports]\nlisten = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\ninterval = \"200ms\"\n\
             bounds = [\"hold_max=10s\", \"drain=2s\", \"evac=2s\", \"grace={}ms\", \
             \"budget_ratio=0.2\", \"budget_slack=20\"]\n",
            self.grace.as_millis()
        )
    }

    fn spawn(
        &self,
        name: &str,
        zone: &str,
        service: &str,
        upstream: SocketAddr,
        relay: Option<Relay>,
        reports: &str,
    ) -> Daemon {
        let advertise = relay
            .as_ref()
            .map_or_else(String::new, |relay| format!("advertise = \"{}\"\n", relay.address));
        let path = self.settings.join(format!("{name}.toml"));
        let text = format!(
            "{}[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nservice = \"{service}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             admin = \"127.0.0.1:0\"\n{advertise}\
             [platform]\naddress = \"{}\"\n[upstream]\naddress = \"{upstream}\"\n{reports}\
             [log]\nformat = \"json\"\n[limits]\nworkers = {}\n{}",
            self.first_settings,
            self.doors.get(name).unwrap_or(&self.platform),
            self.workers,
            self.extra_settings
        );
        std::fs::write(&path, text).expect("settings can be written");
        let mut child = Command::new(binary("cactusholdd"))
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("cactusholdd starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped"));
        let mut first = String::new();
        lines.read_line(&mut first).expect("the first log line");
        let listening: Value = serde_json::from_str(&first).unwrap_or_default();
        let address = |key: &str| {
            let text = listening[key].as_str().unwrap_or_else(|| panic!("{name}: {first}"));
            text.parse().expect("an address")
        };
        let (callers, admin, peers) = (address("callers"), address("admin"), address("peers"));
        if let Some(relay) = &relay {
            relay.set_target(peers);
        }
        let log = Log::follow(first, lines);
        Daemon {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            settings: path,
            upstream,
            callers,
            admin,
            peers,
            relay,
            server: None,
            ready: None,
            reports: None,
            child,
            log,
        }
    }

    /// Sends a caller's request through a daemon.
    ///
    /// # Errors
    /// No whole answer came.
    pub async fn call(
        &self,
        index: usize,
        workspace: &str,
        request: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, String> {
        let (method, path) = request.split_once(' ').unwrap_or(("GET", request));
        let method = method.parse().map_err(|_| "not a method".to_owned())?;
        let bearer = format!("Bearer {}", crate::shapes::Deployment::key(workspace));
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        let address = self.daemons[index].callers;
        self.http.send(method, address, path, &all, body.to_owned()).await
    }

    /// Cuts a daemon off from the others, or heals the cut: nothing reaches it, and none of its
    /// datagrams reach them.
    pub fn cut_off(&self, index: usize, is_cut: bool) {
        self.cut_inbound(index, is_cut);
        for other in self.daemons.iter().filter_map(|daemon| daemon.relay.as_ref()) {
            other.block(self.daemons[index].peers, is_cut);
        }
    }

    /// Cuts what is sent to a daemon; what it sends gets through.
    pub fn cut_inbound(&self, index: usize, is_cut: bool) {
        if let Some(relay) = &self.daemons[index].relay {
            relay.cut(is_cut);
        }
    }

    /// State of a daemon; null if it doesn't answer.
    pub async fn status(&self, index: usize) -> Value {
        self.http.get_json(self.daemons[index].admin, "/status").await.unwrap_or_default()
    }

    /// Sends a patch to a daemon.
    ///
    /// # Panics
    /// The daemon doesn't answer.
    pub async fn patch(&self, index: usize, id: &str, base: u64, operations: Value) -> Value {
        let patch = json!({ "id": id, "base": base, "operations": operations });
        let admin = self.daemons[index].admin;
        let answer = self.http.send(Method::POST, admin, "/patch", &[], patch.to_string()).await;
        answer.expect("an answer to the patch").json()
    }

    /// Sets faults of the platform stand-in.
    ///
    /// # Panics
    /// The stand-in doesn't answer.
    pub async fn platform_faults(&self, faults: Value) {
        self.http.put_json(self.platform, "/_faults", &faults).await.expect("a stand-in");
    }

    /// Gives a daemon that is started later an address of the platform stand-in of its own.
    ///
    /// # Panics
    /// The stand-in doesn't answer.
    pub async fn open_door(&mut self, name: &str) {
        let opened = self.http.send(Method::POST, self.platform, "/_doors", &[], "").await;
        let opened = opened.expect("a stand-in").json();
        let address = opened["address"].as_str().and_then(|text| text.parse().ok());
        self.doors.insert(name.to_owned(), address.expect("an address"));
    }

    /// Sets faults of the platform stand-in that concern one daemon, which has its own address.
    ///
    /// # Panics
    /// It has none, or the stand-in doesn't answer.
    pub async fn door_faults(&self, index: usize, faults: Value) {
        let door = self.doors[&self.daemons[index].name];
        self.http.put_json(door, "/_door", &faults).await.expect("a stand-in");
    }

    /// Sets faults of an upstream stand-in.
    ///
    /// # Panics
    /// The stand-in doesn't answer.
    pub async fn upstream_faults(&self, index: usize, faults: Value) {
        let address = self.daemons[index].upstream;
        self.http.put_json(address, "/_faults", &faults).await.expect("a stand-in");
    }

    /// All runs in the logs of all upstreams.
    pub async fn runs(&self) -> Vec<upstream::Run> {
        let mut runs: Vec<upstream::Run> = Vec::new();
        for daemon in &self.daemons {
            let found = self.http.get_json(daemon.upstream, "/_runs").await.unwrap_or_default();
            runs.extend(serde_json::from_value::<Vec<upstream::Run>>(found).unwrap_or_default());
        }
        runs
    }

    /// Waits until a condition on all daemons' states holds; returns how long that took.
    ///
    /// # Panics
    /// It doesn't hold within [`PATIENCE`].
    pub async fn until(&self, what: &str, holds: impl Fn(&[Value]) -> bool) -> Duration {
        let start = Instant::now();
        loop {
            let mut states = Vec::new();
            for index in 0..self.daemons.len() {
                states.push(self.status(index).await);
            }
            if holds(&states) {
                return start.elapsed();
            }
            assert!(start.elapsed() < PATIENCE, "not in time: {what}: {}", self.summary(&states));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// A line for each daemon.
    fn summary(&self, states: &[Value]) -> String {
        let lines = states.iter().zip(&self.daemons).map(|(state, daemon)| {
            let members = state["members"].as_array().into_iter().flatten().map(|member| {
                format!("{}:{}/{}", member["instance"], member["owns"], member["moving"])
            });
            format!(
                "\n{} incarnation {} serves {} table {} config {} fresh {}: {}",
                daemon.name,
                state["incarnation"],
                state["slices"],
                state["table_version"],
                state["config_version"],
                state["is_fresh"],
                members.collect::<Vec<_>>().join(" ")
            )
        });
        lines.collect()
    }

    /// Waits until every daemon is a member and all slices of all services are served.
    pub async fn until_settled(&self) -> Duration {
        self.until("all slices served", |states| {
            let served: u64 = states.iter().filter_map(|state| state["slices"].as_u64()).sum();
            let members = |state: &Value| state["members"].as_array().map_or(0, Vec::len);
            let owned: u64 = states[0]["members"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|member| member["owns"].as_u64())
                .sum();
            let moving = |state: &Value| {
                let members = state["members"].as_array();
                members.into_iter().flatten().any(|member| member["moving"] != 0)
            };
            let tables: Vec<_> = states.iter().map(|state| &state["table_version"]).collect();
            states.iter().all(|state| members(state) == states.len() && !moving(state))
                && tables.windows(2).all(|pair| pair[0] == pair[1])
                && served == owned
                && owned > 0
        })
        .await
    }

    /// Waits until every daemon knows that its configuration is current.
    pub async fn until_fresh(&self) -> Duration {
        self.until("fresh", |states| states.iter().all(|state| state["is_fresh"] == true)).await
    }

    /// Waits until a configuration version is in force on every daemon that answers.
    pub async fn until_version(&self, version: u64) -> Duration {
        self.until("the version in force", |states| {
            let known = states.iter().filter(|state| !state.is_null());
            known.map(|state| &state["config_version"]).all(|found| *found == version)
        })
        .await
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.settings).ok();
    }
}
