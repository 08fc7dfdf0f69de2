//! What control costs a daemon at rest, and around one patch, by fleet size.

use std::time::Duration;

use serde_json::json;

use crate::environment::Environment;
use crate::shapes::Deployment;
use crate::upstream::Shape;

/// Size of IPv4 and UDP headers, in bytes.
const UDP_HEADERS: f64 = 28.0;
/// Fraction of a core that a second of its time is, in microseconds.
const MICROS: f64 = 1_000_000.0;

/// Costs at one fleet size.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Daemons.
    pub daemons: usize,
    /// Slices of all services.
    pub slices: u64,
    /// Datagrams that a daemon sends each second; it receives as many.
    pub datagrams_per_s: f64,
    /// Bytes that a daemon sends each second, with headers.
    pub bytes_per_s: f64,
    /// Processor time of the control thread, in percent of a core; mean and largest.
    pub cpu_percent: (f64, f64),
    /// Resident memory of a daemon, in MB; mean and largest.
    pub memory_mb: (f64, f64),
    /// Calls to the platform a minute, by all daemons together.
    pub platform_per_min: f64,
    /// Time until a patch was in force everywhere.
    pub patch: Duration,
    /// Bytes fetched by each daemon for that patch.
    pub patch_bytes: f64,
    /// Calls to the platform for that patch.
    pub patch_calls: f64,
}

impl Row {
    /// Heading of the table.
    pub fn heading() -> String {
        "daemons slices dgram/s bytes/s  cpu% mean/max  MB mean/max  platform/min  patch ms  \
         patch bytes  patch calls"
            .to_owned()
    }

    /// One line of the table.
    pub fn line(&self) -> String {
        format!(
            "{:>7} {:>6} {:>7.1} {:>7.0}  {:>5.2}/{:<5.2}  {:>5.1}/{:<5.1}  {:>8.1}  {:>8}  {:>9.0}  {:>5.0}",
            self.daemons,
            self.slices,
            self.datagrams_per_s,
            self.bytes_per_s,
            self.cpu_percent.0,
            self.cpu_percent.1,
            self.memory_mb.0,
            self.memory_mb.1,
            self.platform_per_min,
            self.patch.as_millis(),
            self.patch_bytes,
            self.patch_calls
        )
    }
}

#[derive(Clone, Copy, Default)]
struct Sample {
    datagrams: f64,
    bytes: f64,
    fetched: f64,
    cpu: f64,
}

/// Starts a fleet of one keyed service and measures it at rest for `seconds`.
pub async fn run(daemons: usize, seconds: u64) -> Row {
    let mut environment = Environment::alone().await;
    for index in 0..daemons {
        let shape =
            Shape { slots: 12, run: Duration::from_millis(3), cold: false, seed: index as u64 };
        let (name, zone) = (format!("lookup-{index}"), format!("z{}", index % 4));
        environment.add(&name, &zone, "lookup", shape).await;
    }
    environment.until_settled().await;
    let operations = operations();
    let outcome = environment.patch(0, "first", 0, operations).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    environment.until_version(1).await;
    environment.until_fresh().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    measure(&environment, daemons, seconds).await
}

fn operations() -> serde_json::Value {
    let hash = crate::sha256_hex(Deployment::key("club").as_bytes());
    json!([
        { "op": "set-service", "name": "lookup",
          "service": { "keyed": true, "slots": 12, "connections": 110 } },
        { "op": "set-workspace", "name": "club", "rate": 1000.0, "burst": 1000.0 },
        { "op": "grant-key", "workspace": "club", "name": "main", "hash": hash },
    ])
}

async fn measure(environment: &Environment, daemons: usize, seconds: u64) -> Row {
    let (before, calls_before) = (samples(environment).await, calls(environment).await);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let (after, calls_after) = (samples(environment).await, calls(environment).await);
    let time = seconds as f64;
    let mean = |read: fn(&Sample) -> f64| {
        let pairs = before.iter().zip(&after);
        pairs.map(|(before, after)| read(after) - read(before)).sum::<f64>() / daemons as f64
    };
    let cpus: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (after.cpu - before.cpu) / MICROS / time * 100.0)
        .collect();
    let memory: Vec<f64> = environment.daemons.iter().map(|d| resident_mb(d.pid())).collect();
    let datagrams = mean(|sample| sample.datagrams) / time;
    let operations = json!([{ "op": "set-zone", "name": "nowhere", "out": false }]);
    let started = tokio::time::Instant::now();
    let outcome = environment.patch(1, "second", 1, operations).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    environment.until_version(2).await;
    let patch = started.elapsed();
    let patched = samples(environment).await;
    let fetched: f64 = patched.iter().zip(&after).map(|(p, a)| p.fetched - a.fetched).sum();
    let status = environment.status(0).await;
    let owned = status["members"].as_array().into_iter().flatten();
    Row {
        daemons,
        slices: owned.filter_map(|member| member["owns"].as_u64()).sum(),
        datagrams_per_s: datagrams,
        bytes_per_s: mean(|sample| sample.bytes) / time + datagrams * UDP_HEADERS,
        cpu_percent: (average(&cpus), largest(&cpus)),
        memory_mb: (average(&memory), largest(&memory)),
        platform_per_min: (calls_after - calls_before) / time * 60.0,
        patch,
        patch_bytes: fetched / daemons as f64,
        patch_calls: calls(environment).await - calls_after,
    }
}

fn average(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

async fn calls(environment: &Environment) -> f64 {
    let calls = environment.http.get_json(environment.platform, "/_calls").await;
    let calls = calls.unwrap_or_default();
    calls["reads"].as_f64().unwrap_or(0.0) + calls["writes"].as_f64().unwrap_or(0.0)
}

async fn samples(environment: &Environment) -> Vec<Sample> {
    let mut samples = Vec::new();
    for daemon in &environment.daemons {
        let method = hyper::Method::GET;
        let answer = environment.http.send(method, daemon.admin, "/metrics", &[], "").await;
        let text = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned());
        let text = text.unwrap_or_default();
        let read = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(&format!("{name} ")));
            line.and_then(|line| line.split_whitespace().last()?.parse().ok()).unwrap_or(0.0)
        };
        samples.push(Sample {
            datagrams: read("cactushold_datagrams_sent_total"),
            bytes: read("cactushold_datagram_bytes_total"),
            fetched: read("cactushold_fetched_bytes_total"),
            cpu: read("cactushold_control_cpu_microseconds_total"),
        });
    }
    samples
}

/// Resident memory of a process, in MB.
fn resident_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1_024.0
}
