//! A small deployment: nine daemons beside nine servers, as processes between stand-ins.

use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::app::{App, Hold};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

/// The daemons that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all daemons that this program started.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap_or_else(|error| error.into_inner()).drain(..) {
        // SAFETY: a child of this process that wasn't waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

const CALLERS: u16 = 18548;
const CONTROL: u16 = 18540;
const READY: u16 = 18546;
const PEERS: u16 = 17000;
const ADMIN: u16 = 17015;
const APP: u16 = 18547;
const STORE: u16 = 18545;

pub struct Node {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    child: Option<Child>,
    pub app: Arc<App>,
}

impl Node {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(CALLERS)
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL)
    }

    pub fn ready(&self) -> SocketAddr {
        self.address(READY)
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Bytes of memory in use by the process.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1_024
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new("target/release/cactusholdd")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            child.kill().ok();
            child.wait().ok();
        }
    }
}

pub struct World {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub record: Record,
    folder: PathBuf,
    pub answers: Arc<Mutex<Vec<Sent>>>,
    counter: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

/// A client's request and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    pub path: String,
    pub at: Instant,
    /// 0 without an answer.
    pub status: u16,
}

const ZONES: [&str; 3] = ["bayangol", "sukhbaatar", "khan-uul"];

pub fn config(max_body: u64) -> Json {
    let rule = |prefix: &str, kind: &str, service: &str, timeout: &str, public: bool| {
        format!(
            "{{\"name\":\"r{service}\",\"kind\":\"{kind}\",\"goal\":\"400ms\",\"priority\":1,\
             \"public\":{public},\"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\
             \"service\":\"{service}\",\"timeout\":\"{timeout}\",\"max_attempts\":2}}}}"
        )
    };
    let cluster = |name: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":23.0{rest}}}"
        )
    };
    let text = format!(
        "{{\"version\":\"00000007\",\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":{max_body},\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\
         \"tenants\":[{{\"name\":\"club\",\"api_keys\":[\"key-of-club\"],\"priority\":1,\
         \"rate_per_s\":0,\"burst\":0}}],\
         \"listeners\":[{{\"host\":\"words.example\",\"rules\":[{},{},{},{}]}}],\
         \"clusters\":[{},{},{}]}}",
        rule("/lookup/", "idempotent", "lexicon", "1200ms", false),
        rule("/ruling/", "non_idempotent", "arbiter", "1500ms", false),
        rule("/browse/", "idempotent", "ledger", "2500ms", false),
        rule("/entry/", "non_idempotent", "ledger", "2500ms", false),
        cluster("lexicon", ",\"sharded\":true,\"warmup\":\"3s\",\"grants\":\"heartbeat\""),
        cluster("arbiter", ""),
        cluster("ledger", ""),
    );
    Json::parse(&text).expect("valid JSON")
}

impl World {
    /// Three servers of each of three services, one of each in each zone.
    pub fn start(record: Record, max_body: u64, work: Duration) -> std::io::Result<World> {
        let folder = std::env::temp_dir().join(format!("cactushold-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let base = free_base()?;
        let store = Store::new();
        store.put("config", "main", config(max_body));
        let mut nodes = Vec::new();
        for (index, service) in ["lexicon", "arbiter", "ledger"].iter().enumerate() {
            for (place, zone) in ZONES.iter().enumerate() {
                let number = index * 3 + place;
                let ip = Ipv4Addr::new(127, base.0, base.1, number as u8 + 1);
                let address = |port| SocketAddr::new(IpAddr::V4(ip), port);
                store.open(address(STORE))?;
                let name = format!("sidecar-{zone}-{}", index + 1);
                let settings = folder.join(format!("{name}.toml"));
                std::fs::File::create(&settings)?.write_all(
                    format!(
                        "[instance]\nname = \"{name}\"\nzone = \"{zone}\"\nservice = \"{service}\"\n\
                         cores = 0.2\n[listen]\ncallers = \"{ip}:{CALLERS}\"\n\
                         peers = \"{ip}:{PEERS}\"\nadmin = \"{ip}:{ADMIN}\"\n\
                         [platform]\naddress = \"{ip}:{STORE}\"\n\
                         [upstream]\naddress = \"{ip}:{APP}\"\n\
                         [reports]\nlisten = \"{ip}:{CONTROL}\"\nready = \"{ip}:{READY}\"\n\
                         interval = \"870ms\"\nbounds = [\"drain=2000ms\",\"grace=6s\",\
                         \"budget_ratio=0.2\",\"budget_window=10s\",\"budget_slack=56\",\
                         \"evac=5000ms\",\"hold_max=10000ms\"]\n\
                         [log]\nformat = \"json\"\n[limits]\nworkers = 1\n"
                    )
                    .as_bytes(),
                )?;
                let app = App::start(
                    &format!("i-{service}-{}", place + 1),
                    service,
                    zone,
                    address(APP),
                    address(CONTROL),
                    *service == "lexicon",
                    work,
                    Duration::from_millis(200 + 100 * place as u64),
                    &record,
                )?;
                let mut node = Node {
                    name,
                    ip,
                    settings,
                    child: None,
                    app,
                };
                node.start()?;
                nodes.push(node);
            }
        }
        let world = World {
            store,
            nodes,
            record,
            folder,
            answers: Arc::default(),
            counter: Arc::new(AtomicU64::new(1)),
            is_over: Arc::new(AtomicBool::new(false)),
        };
        Ok(world)
    }

    /// Waits until all keys are held and all daemons are ready.
    pub fn until_served(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let held: u32 = self
                .nodes
                .iter()
                .flat_map(|node| node.app.holds())
                .map(|hold| u32::from(hold.last - hold.first) + 1)
                .sum();
            let is_ready = |node: &Node| {
                let limit = Duration::from_millis(500);
                let answer = http::call(node.ready(), "GET", "/v1/readyz", &[], b"", limit);
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if held == 65_536 && self.nodes.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn attempt(&self) -> String {
        format!("{:016x}", 0x5eed_0000_0000 + self.counter.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends requests of one kind to all daemons in turn, `per_s` a second, until it is over.
    pub fn traffic(&self, path: &'static str, method: &'static str, limit_ms: u64, per_s: u64) {
        let targets: Vec<SocketAddr> = self.nodes.iter().map(Node::callers).collect();
        let pause = Duration::from_micros(1_000_000 / per_s);
        let (answers, counter) = (Arc::clone(&self.answers), Arc::clone(&self.counter));
        let (is_over, record) = (Arc::clone(&self.is_over), self.record.clone());
        std::thread::spawn(move || {
            let mut next = Instant::now();
            let mut number = 0_u64;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let attempt = format!("{:016x}", 0x5eed_0000_0000 + counter.fetch_add(1, Ordering::Relaxed));
                let target = targets[(number % targets.len() as u64) as usize];
                let key = number.wrapping_mul(40_503) % 65_536;
                let (answers, record) = (Arc::clone(&answers), record.clone());
                std::thread::spawn(move || {
                    let sent = send(target, method, path, &attempt, limit_ms, Some(key as u16), b"word", &record);
                    answers.lock().unwrap().push(sent);
                });
                next += pause;
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
    }

    pub fn end_traffic(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(2_000));
    }

    pub fn dead(&mut self) -> Vec<String> {
        self.nodes.iter_mut().filter_map(|n| n.has_ended().then(|| n.name.clone())).collect()
    }

    /// Pairs of servers that held the same keys at the same time, and for how long.
    pub fn double_holds(&self) -> Vec<(String, Hold, String, Hold, Duration)> {
        let all: Vec<(String, Hold)> = self
            .nodes
            .iter()
            .flat_map(|n| n.app.history().into_iter().map(|h| (n.app.id.clone(), h)))
            .collect();
        let mut found = Vec::new();
        for (index, (a, x)) in all.iter().enumerate() {
            for (b, y) in &all[index + 1..] {
                let is_same = a != b && x.first <= y.last && y.first <= x.last;
                let overlap = x.until.min(y.until).saturating_duration_since(x.since.max(y.since));
                if is_same && overlap > Duration::ZERO {
                    found.push((a.clone(), x.clone(), b.clone(), y.clone(), overlap));
                }
            }
        }
        found
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for node in &mut self.nodes {
            node.stop();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// A request of a client on a connection of its own.
#[allow(clippy::too_many_arguments)]
pub fn send(
    target: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    limit_ms: u64,
    key: Option<u16>,
    body: &[u8],
    record: &Record,
) -> Sent {
    let at = Instant::now();
    record.line(&format!("client sends {method} {path} {attempt} key {key:?} to {target}"));
    let mut headers = vec![
        ("Host", "words.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", limit_ms.to_string()),
        ("X-Api-Key", "key-of-club".to_owned()),
    ];
    if let Some(key) = key {
        headers.push(("Shard-Key", key.to_string()));
    }
    let answer = http::call(target, method, path, &headers, body, Duration::from_millis(limit_ms));
    let (status, note) = match &answer {
        Ok(answer) => (answer.status(), answer.text()),
        Err(error) => (0, error.to_string()),
    };
    let note: String = note.chars().take(160).collect();
    record.line(&format!("client gets {status} for {attempt}: {note}"));
    Sent { attempt: attempt.to_owned(), path: path.to_owned(), at, status }
}

/// Finds a loopback network on which all ports are free.
fn free_base() -> std::io::Result<(u8, u8)> {
    let seed = std::process::id();
    for step in 0..200_u32 {
        let base = (10 + ((seed + step) % 200) as u8, ((seed / 200 + step) % 250) as u8);
        let is_free = (1..=9).all(|number| {
            let ip = IpAddr::V4(Ipv4Addr::new(127, base.0, base.1, number));
            let ports = [CALLERS, CONTROL, READY, PEERS, ADMIN, APP, STORE];
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
                && UdpSocket::bind((ip, PEERS)).is_ok()
        });
        if is_free {
            return Ok(base);
        }
    }
    Err(std::io::Error::other("no free ports"))
}
