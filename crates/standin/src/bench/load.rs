//! Open-loop load on a deployment, with latencies counted from the intended moment of sending.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::environment::Environment;
use crate::http::{Answer, Http};
use crate::shapes::Deployment;

/// Time before measuring, in which shares are borrowed and upstreams warm up.
const WARM_UP: Duration = Duration::from_secs(6);
/// Deadline that callers ask for.
const DEADLINE_MS: &str = "2000";
/// Every how many requests of an unkeyed service is a write.
const WRITES: u64 = 2;
/// Words or tanks asked for.
const KEYS: u64 = 2_000;

/// What is done to the deployment while it is measured.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Time measured.
    pub seconds: u64,
    /// Part of each workspace's rate that is sent.
    pub fraction: f64,
    /// Upstreams of each service that are slowed down.
    pub stragglers: usize,
    /// How many times slower they are.
    pub slowdown: f64,
    /// Takes the first zone out for the middle third.
    pub zone_out: bool,
    /// A workspace that sends this many times its rate.
    pub noisy: Option<(String, f64)>,
    /// Calls the upstreams themselves, without daemons.
    pub direct: bool,
    /// Seed of arrivals and keys.
    pub seed: u64,
}

/// Results for one group of requests.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered by an upstream.
    pub answered: u64,
    /// Refusals and failures by kind.
    pub failed: BTreeMap<String, u64>,
    latency: Option<Histogram<u64>>,
}

impl Group {
    fn note(&mut self, latency: Duration, outcome: Result<(), String>) {
        self.sent += 1;
        match outcome {
            Ok(()) => {
                self.answered += 1;
                let histogram = self.latency.get_or_insert_with(|| {
                    Histogram::new_with_max(60_000_000, 3).expect("valid bounds")
                });
                histogram.saturating_record(latency.as_micros() as u64);
            }
            Err(kind) => *self.failed.entry(kind).or_default() += 1,
        }
    }

    /// Latency at a quantile, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let micros = self.latency.as_ref().map_or(0, |found| found.value_at_quantile(quantile));
        micros as f64 / 1_000.0
    }

    fn json(&self) -> Value {
        json!({
            "sent": self.sent,
            "answered": self.answered,
            "failed": self.failed,
            "p50_ms": self.quantile(0.5),
            "p99_ms": self.quantile(0.99),
            "p999_ms": self.quantile(0.999),
        })
    }
}

/// Results by service and by workspace.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By service, with `all` for everything.
    pub services: BTreeMap<String, Group>,
    /// By workspace.
    pub workspaces: BTreeMap<String, Group>,
    /// Processor time of all daemons for each request, in microseconds.
    pub cpu_us: f64,
}

impl Report {
    /// As JSON.
    pub fn json(&self) -> Value {
        let groups = |found: &BTreeMap<String, Group>| -> Value {
            found.iter().map(|(name, group)| (name.clone(), group.json())).collect()
        };
        json!({
            "services": groups(&self.services),
            "workspaces": groups(&self.workspaces),
            "cpu_us_per_request": self.cpu_us,
        })
    }

    /// As a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<14} {:>8} {:>8} {:>9} {:>9} {:>9}  failed\n",
            "group", "sent", "answered", "p50 ms", "p99 ms", "p99.9 ms"
        );
        for (name, group) in self.services.iter().chain(&self.workspaces) {
            text += &format!(
                "{:<14} {:>8} {:>8} {:>9.2} {:>9.2} {:>9.2}  {:?}\n",
                name,
                group.sent,
                group.answered,
                group.quantile(0.5),
                group.quantile(0.99),
                group.quantile(0.999),
                group.failed
            );
        }
        text += &format!("daemons' processor time a request: {:.0} us\n", self.cpu_us);
        text
    }
}

/// Runs the plan on a started deployment.
pub async fn run(environment: &Environment, deployment: &Deployment, plan: &Plan) -> Report {
    slow_down(environment, deployment, plan).await;
    let report = Arc::new(Mutex::new(Report::default()));
    let start = Instant::now() + WARM_UP;
    let mut tasks = Vec::new();
    for (number, (workspace, rate)) in deployment.workspaces.iter().enumerate() {
        let noise = plan.noisy.as_ref().filter(|(name, _)| name == workspace);
        let factor = noise.map_or(plan.fraction, |(_, times)| *times);
        let stream = Stream {
            workspace,
            rate: rate * factor,
            random: fastrand::Rng::with_seed(plan.seed * 1_000 + number as u64),
            callers: targets(environment, deployment, plan),
            http: environment.http.clone(),
        };
        let (report, end) = (Arc::clone(&report), start + Duration::from_secs(plan.seconds));
        tasks.push(tokio::spawn(stream.run(start, end, report)));
    }
    tokio::time::sleep_until(start).await;
    let cpu = cpu_us(environment);
    if plan.zone_out {
        leave_and_return(environment, deployment, start, plan.seconds).await;
    }
    for task in tasks {
        task.await.expect("a stream");
    }
    let used = cpu_us(environment) - cpu;
    let report = Arc::try_unwrap(report).expect("streams have ended");
    let mut report = report.into_inner().expect("no holder panics");
    let sent = report.services.get("all").map_or(0, |group| group.sent);
    report.cpu_us = used / sent.max(1) as f64;
    report
}

/// Processor time that all daemons have used, in microseconds.
fn cpu_us(environment: &Environment) -> f64 {
    let ticks_per_s = rustix::param::clock_ticks_per_second() as f64;
    let ticks = environment.daemons.iter().map(|daemon| {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", daemon.pid()));
        let stat = stat.unwrap_or_default();
        // User and system time are the 12th and 13th field after the name in parentheses.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum::<f64>()
    });
    ticks.sum::<f64>() / ticks_per_s * 1e6
}

async fn slow_down(environment: &Environment, deployment: &Deployment, plan: &Plan) {
    for service in deployment.services {
        let mut slowed = 0;
        for (index, daemon) in environment.daemons.iter().enumerate() {
            if daemon.service == service.name && slowed < plan.stragglers {
                environment.upstream_faults(index, json!({ "slow": plan.slowdown })).await;
                slowed += 1;
            }
        }
    }
}

async fn leave_and_return(
    environment: &Environment,
    deployment: &Deployment,
    start: Instant,
    seconds: u64,
) {
    let zone = deployment.zones[0];
    for (step, out) in [(1, true), (2, false)] {
        tokio::time::sleep_until(start + Duration::from_secs(seconds * step / 3)).await;
        let base = environment.status(1).await["config_version"].as_u64().unwrap_or(0);
        let operations = json!([{ "op": "set-zone", "name": zone, "out": out }]);
        let outcome = environment.patch(1, &format!("zone-{step}"), base, operations).await;
        assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    }
}

/// Where requests for each service are sent.
fn targets(
    environment: &Environment,
    deployment: &Deployment,
    plan: &Plan,
) -> BTreeMap<&'static str, Vec<SocketAddr>> {
    let services = deployment.services.iter().map(|service| {
        let daemons = environment.daemons.iter();
        let targets = daemons.filter(|daemon| !plan.direct || daemon.service == service.name);
        let targets =
            targets.map(|daemon| if plan.direct { daemon.upstream } else { daemon.callers });
        (service.name, targets.collect())
    });
    services.collect()
}

struct Stream {
    workspace: &'static str,
    rate: f64,
    random: fastrand::Rng,
    callers: BTreeMap<&'static str, Vec<SocketAddr>>,
    http: Http,
}

impl Stream {
    async fn run(mut self, start: Instant, end: Instant, report: Arc<Mutex<Report>>) {
        let mut at = Instant::now();
        let mut tasks = Vec::new();
        loop {
            let gap = -(1.0 - self.random.f64()).ln() / self.rate;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                break;
            }
            tokio::time::sleep_until(at).await;
            let request = self.next();
            let (http, report) = (self.http.clone(), Arc::clone(&report));
            let workspace = self.workspace;
            tasks.push(tokio::spawn(async move {
                let service = request.service;
                let answer = request.send(&http, workspace).await;
                let latency = at.elapsed();
                if at >= start {
                    let mut report = report.lock().expect("no holder panics");
                    for service in ["all", service] {
                        let group = report.services.entry(service.to_owned()).or_default();
                        group.note(latency, outcome(&answer));
                    }
                    let group = report.workspaces.entry(workspace.to_owned()).or_default();
                    group.note(latency, outcome(&answer));
                }
            }));
        }
        for task in tasks {
            task.await.expect("a request");
        }
    }

    fn next(&mut self) -> Request {
        let services: Vec<&'static str> = self.callers.keys().copied().collect();
        let service = services[self.random.usize(..services.len())];
        let targets = &self.callers[service];
        let address = targets[self.random.usize(..targets.len())];
        let number = self.random.u64(..KEYS);
        let method = if number.is_multiple_of(WRITES) { Method::POST } else { Method::GET };
        Request { service, address, method, path: format!("/{service}/k{number}") }
    }
}

struct Request {
    service: &'static str,
    address: SocketAddr,
    method: Method,
    path: String,
}

impl Request {
    async fn send(self, http: &Http, workspace: &str) -> Result<Answer, String> {
        let key = format!("Bearer {}", Deployment::key(workspace));
        let headers = [("authorization", key.as_str()), ("deadline-ms", DEADLINE_MS)];
        http.send(self.method, self.address, &self.path, &headers, "").await
    }
}

fn outcome(answer: &Result<Answer, String>) -> Result<(), String> {
    match answer {
        Ok(answer) if answer.status.is_success() => Ok(()),
        Ok(answer) => {
            let status = answer.status.as_u16().to_string();
            Err(answer.json()["kind"].as_str().map_or(status, str::to_owned))
        }
        Err(_) => Err("broken-transfer".to_owned()),
    }
}
