//! An application server: runs requests, holds keys, reports its liveness.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;

/// Time between two reports.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Time until the next report while keys that are to be released are still in work.
const RELEASE: Duration = Duration::from_millis(100);
pub const SLOTS: usize = 12;
/// Bytes of a large answer.
const LARGE: usize = 200_000;
/// Time that a large answer takes.
const LARGE_WORK: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub since: Instant,
    pub until: Instant,
    is_leaving: bool,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    seq: u64,
    holds: Vec<Hold>,
    past: Vec<Hold>,
    freed: Vec<(u16, u16, String)>,
    seen_fences: Vec<(u16, u16, u64)>,
    running: Vec<Option<u16>>,
    runs: Vec<Run>,
}

pub struct App {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub born: u64,
    pub work: Duration,
    is_sharded: bool,
    state: Mutex<State>,
    is_ended: AtomicBool,
    /// Answers that break off, from the next large one on.
    cuts: AtomicU64,
    record: Record,
}

fn is_overlap(a: (u16, u16), b: (u16, u16)) -> bool {
    a.0 <= b.1 && b.0 <= a.1
}

impl App {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        control: SocketAddr,
        is_sharded: bool,
        work: Duration,
        phase: Duration,
        record: &Record,
    ) -> std::io::Result<Arc<App>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let app = Arc::new(App {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            control,
            born,
            work,
            is_sharded,
            state: Mutex::default(),
            is_ended: AtomicBool::new(false),
            cuts: AtomicU64::new(0),
            record: record.clone(),
        });
        let server = Arc::clone(&app);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.is_ended.load(Ordering::Relaxed) {
                    return;
                }
                let server = Arc::clone(&server);
                std::thread::spawn(move || server.serve(stream).ok());
            }
        });
        let reporter = Arc::clone(&app);
        std::thread::spawn(move || {
            std::thread::sleep(phase);
            reporter.report_on();
        });
        Ok(app)
    }

    /// Announces that it leaves, without ever reporting `draining`. Returns whether that was
    /// acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("/v1/Instances.Deregister/{}", self.id);
        let headers = [("Content-Type", "application/json".to_owned())];
        let body = format!("{{\"born\":{}}}", self.born);
        let limit = Duration::from_secs(1);
        let answer = http::call(self.control, "POST", &path, &headers, body.as_bytes(), limit);
        let is_acknowledged = answer.is_ok_and(|answer| answer.status() == 200);
        self.record.line(&format!("server {} deregisters: {is_acknowledged}", self.id));
        is_acknowledged
    }

    /// Number of reports so far.
    pub fn reports(&self) -> u64 {
        self.state.lock().unwrap().seq
    }

    /// Ends its reports and answers; what it held ends with it.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
        // Has the listener return, so that its port refuses connections.
        TcpStream::connect(self.address).ok();
        let now = Instant::now();
        self.state.lock().unwrap().holds.iter_mut().for_each(|hold| hold.until = hold.until.min(now));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn holds(&self) -> Vec<Hold> {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        state.holds.iter().filter(|hold| now < hold.until).cloned().collect()
    }

    pub fn history(&self) -> Vec<Hold> {
        let state = self.state.lock().unwrap();
        state.past.iter().chain(&state.holds).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader, false)? {
            if self.is_ended.load(Ordering::Relaxed) {
                out.shutdown(Shutdown::Both).ok();
                return Ok(());
            }
            let (first, headers, body) = self.answer(&request);
            if self.is_ended.load(Ordering::Relaxed) {
                out.shutdown(Shutdown::Both).ok();
                return Ok(());
            }
            let is_large = body.len() >= LARGE;
            if is_large && self.cuts.load(Ordering::Relaxed) > 0 {
                self.cuts.fetch_sub(1, Ordering::Relaxed);
                let mut whole = Vec::new();
                http::compose(&mut whole, first, &headers, body.as_bytes());
                out.write_all(&whole[..whole.len() * 3 / 4])?;
                self.record.line(&format!("server {} breaks an answer off", self.id));
                out.shutdown(Shutdown::Both).ok();
                return Ok(());
            }
            http::write(&mut out, first, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    /// Has the next large answers break off.
    pub fn cut(&self, answers: u64) {
        self.cuts.store(answers, Ordering::Relaxed);
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<(&'static str, String)>, String) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        if request.first[1] == "/healthz" {
            return ("HTTP/1.1 200 OK", vec![("Instance-Id", self.id.clone())], String::new());
        }
        let key = request.header("shard-key").and_then(|text| text.parse::<u16>().ok());
        let now = Instant::now();
        let load = {
            let mut state = self.state.lock().unwrap();
            let is_other = request.header("expect-instance").is_some_and(|id| id != self.id);
            let is_held = |key: u16| {
                let mut holds = state.holds.iter();
                holds.any(|hold| (hold.first..=hold.last).contains(&key) && now < hold.until)
            };
            let is_unheld = self.is_sharded && !key.is_some_and(is_held);
            if is_other || is_unheld {
                let headers = vec![
                    ("Attempt-Id", attempt),
                    ("Not-Run", "1".to_owned()),
                    ("Instance-Id", self.id.clone()),
                ];
                return ("HTTP/1.1 421 Misdirected Request", headers, String::new());
            }
            if state.running.len() >= SLOTS * 2 {
                let headers = vec![("Attempt-Id", attempt), ("Not-Run", "1".to_owned())];
                return ("HTTP/1.1 503 Service Unavailable", headers, String::new());
            }
            state.running.push(key);
            state.runs.push(Run { attempt: attempt.clone(), at: now });
            state.running.len()
        };
        self.record.line(&format!("server {} runs {attempt} key {key:?}", self.id));
        let is_large = request.first[1].ends_with("/large");
        std::thread::sleep(if is_large { LARGE_WORK } else { self.work });
        {
            let mut state = self.state.lock().unwrap();
            if let Some(index) = state.running.iter().position(|found| *found == key) {
                state.running.remove(index);
            }
        }
        let headers = vec![
            ("Attempt-Id", attempt.clone()),
            ("Reply-Seal", format!("seal.{}.{attempt}", self.id)),
            ("Server-Load", format!("{load},0,{SLOTS},100")),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        let mut body = format!("{} {} {}", request.first[0], request.first[1], request.body.len());
        if is_large {
            body.push_str(&"x".repeat(LARGE));
        }
        ("HTTP/1.1 200 OK", headers, body)
    }

    fn report_on(&self) {
        while !self.is_ended.load(Ordering::Relaxed) {
            let sent = Instant::now();
            let body = self.report();
            let path = format!("/v1/Instances.Heartbeat/{}", self.id);
            let headers = [("Content-Type", "application/json".to_owned())];
            let limit = Duration::from_secs(1);
            let answer = http::call(self.control, "POST", &path, &headers, body.as_bytes(), limit);
            if let Ok(answer) = answer
                && answer.status() == 200
                && answer.body.len() <= 4096
                && let Some(answer) = Json::parse(&answer.text())
            {
                self.take(&answer, sent);
            }
            let is_releasing = self.state.lock().unwrap().holds.iter().any(|hold| hold.is_leaving);
            let pause = if is_releasing { RELEASE } else { HEARTBEAT };
            std::thread::sleep(pause.saturating_sub(sent.elapsed()));
        }
    }

    fn report(&self) -> String {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let running = state.running.clone();
        let holds = std::mem::take(&mut state.holds);
        for mut hold in holds {
            let in_work = running.iter().flatten().any(|key| (hold.first..=hold.last).contains(key));
            if now >= hold.until {
                state.past.push(hold);
            } else if hold.is_leaving && !in_work {
                hold.until = now;
                let token = format!("{:016x}", hold.fence * 65_536 + u64::from(hold.first));
                state.freed.push((hold.first, hold.last, token));
                self.record.line(&format!("server {} releases {}..{}", self.id, hold.first, hold.last));
                state.past.push(hold);
            } else {
                state.holds.push(hold);
            }
        }
        state.seq += 1;
        let holds: Vec<String> =
            state.holds.iter().map(|h| format!("[{},{},{}]", h.first, h.last, h.fence)).collect();
        let freed: Vec<String> = std::mem::take(&mut state.freed)
            .iter()
            .map(|(first, last, token)| format!("[{first},{last},\"{token}\"]"))
            .collect();
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_left\":\"0ms\",\"seq\":{},\"born\":{},\
             \"holds\":[{}],\"freed\":[{}]}}",
            self.service,
            self.address,
            self.zone,
            state.seq,
            self.born,
            holds.join(","),
            freed.join(",")
        )
    }

    fn take(&self, answer: &Json, sent: Instant) {
        let Some(rows) = answer.get("holds").list() else { return };
        let time = answer.get("hold_time").text().strip_suffix("ms").and_then(|t| t.parse().ok());
        let until = sent + Duration::from_millis(time.unwrap_or(0)).min(Duration::from_secs(10));
        let number = |row: &Json, at: usize| {
            row.list().and_then(|items| items.get(at)).and_then(Json::number).unwrap_or(0)
        };
        let rows: Vec<(u16, u16, u64)> = rows
            .iter()
            .map(|row| (number(row, 0) as u16, number(row, 1) as u16, number(row, 2)))
            .collect();
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        // What the answer leaves out of a held row is released; what it names is held on.
        let before = std::mem::take(&mut state.holds);
        for mut hold in before {
            if now >= hold.until {
                state.past.push(hold);
                continue;
            }
            let covering = rows.iter().find(|row| row.0 <= hold.first && hold.last <= row.1);
            match covering {
                Some(row) => {
                    hold.is_leaving = false;
                    hold.until = until.max(now);
                    hold.fence = hold.fence.max(row.2);
                    state.holds.push(hold);
                }
                None => {
                    // Split at the borders of the rows that it overlaps.
                    let mut first = u32::from(hold.first);
                    while first <= u32::from(hold.last) {
                        let inside = rows.iter().find(|row| {
                            (u32::from(row.0)..=u32::from(row.1)).contains(&first)
                        });
                        let last = match inside {
                            Some(row) => u32::from(row.1.min(hold.last)),
                            None => rows
                                .iter()
                                .map(|row| u32::from(row.0))
                                .filter(|start| *start > first && *start <= u32::from(hold.last))
                                .min()
                                .map_or(u32::from(hold.last), |start| start - 1),
                        };
                        state.holds.push(Hold {
                            first: first as u16,
                            last: last as u16,
                            fence: inside.map_or(hold.fence, |row| row.2.max(hold.fence)),
                            since: hold.since,
                            until: if inside.is_some() { until.max(now) } else { hold.until },
                            is_leaving: inside.is_none(),
                        });
                        first = last + 1;
                    }
                }
            }
        }
        for (first, last, fence) in rows {
            let is_old = state
                .seen_fences
                .iter()
                .any(|seen| is_overlap((seen.0, seen.1), (first, last)) && seen.2 > fence);
            if is_old || now >= until {
                continue;
            }
            let mut next = u32::from(first);
            let mut held: Vec<(u16, u16)> = state
                .holds
                .iter()
                .filter(|hold| !hold.is_leaving && is_overlap((hold.first, hold.last), (first, last)))
                .map(|hold| (hold.first, hold.last))
                .collect();
            held.sort_unstable();
            let mut gaps = Vec::new();
            for (from, to) in held {
                if u32::from(from) > next {
                    gaps.push((next as u16, from - 1));
                }
                next = next.max(u32::from(to) + 1);
            }
            if next <= u32::from(last) {
                gaps.push((next as u16, last));
            }
            for (from, to) in gaps {
                self.record.line(&format!("server {} holds {from}..{to} fence {fence}", self.id));
                state.holds.push(Hold {
                    first: from,
                    last: to,
                    fence,
                    since: now,
                    until,
                    is_leaving: false,
                });
            }
            state.seen_fences.retain(|seen| !(first <= seen.0 && seen.1 <= last));
            state.seen_fences.push((first, last, fence));
        }
    }
}
