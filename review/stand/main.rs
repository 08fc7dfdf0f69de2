//! Runs one case of the review: `stand CASE RECORD`. `TROUBLE=0` leaves the disruption out.
//! Exit code 0: the rule held, 1: it was broken, 2: the case couldn't run.

mod app;
mod http;
mod json;
mod record;
mod store;
mod world;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::record::Record;
use crate::world::World;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// Time for which two servers may hold the same keys (RULES.md, OWNER).
const DOUBLE_HOLD: Duration = Duration::from_millis(500);
/// Time for a whole case.
const LIMIT: Duration = Duration::from_secs(110);
/// Time for the deployment to come up.
const START: Duration = Duration::from_secs(25);

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("couldn't run: not done in time");
        world::kill_all();
        std::process::exit(NOT_RUN);
    });
    let run = || {
        let record = Record::create(&path)?;
        match case.as_str() {
            "odd-report" => odd_report(record, has_trouble),
            "left-server" => left_server(record, has_trouble),
            "odd-entry" => odd_entry(record, has_trouble),
            "cut-pipeline" => cut_pipeline(record, has_trouble),
            "large-bodies" => large_bodies(record, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        }
    };
    // A panic of a stand-in is no finding.
    let outcome = std::panic::catch_unwind(run);
    world::kill_all();
    let code = match outcome {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            println!("couldn't run: {error}");
            NOT_RUN
        }
        Err(_) => NOT_RUN,
    };
    std::process::exit(code);
}

fn secs(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Judges rule OWNER from what the servers held.
fn judge_owner(world: &World) -> i32 {
    let record = &world.record;
    let mut code = HELD;
    for (a, x, b, y, overlap) in world.double_holds() {
        let since = x.since.max(y.since);
        record.say(&format!(
            "{a} and {b} both hold keys {}..{} from {:.3} for {} ms (fences {} and {})",
            x.first.max(y.first),
            x.last.min(y.last),
            record.at(since),
            overlap.as_millis(),
            x.fence,
            y.fence
        ));
        if overlap > DOUBLE_HOLD {
            code = BROKEN;
        }
    }
    code
}

fn tell_service(world: &World, since: Instant) {
    let answers = world.answers.lock().unwrap();
    for path in ["/lookup/w", "/ruling/r"] {
        let of = |is_late: bool| {
            let all: Vec<u16> = answers
                .iter()
                .filter(|sent| sent.path == path && (sent.at >= since) == is_late)
                .map(|sent| sent.status)
                .collect();
            format!("{} of {} served", all.iter().filter(|s| **s == 200).count(), all.len())
        };
        world.record.say(&format!("{path}: before {}, after {}", of(false), of(true)));
    }
}

/// A liveness report of another writer, with fields missing, reaches one daemon.
fn odd_report(record: Record, has_trouble: bool) -> std::io::Result<i32> {
    let mut world = World::start(record, 1 << 20, Duration::from_millis(30))?;
    if !world.until_served(START) {
        world.record.say("the deployment didn't come up");
        return Ok(NOT_RUN);
    }
    world.traffic("/lookup/w", "GET", 1_200, 60);
    world.traffic("/ruling/r", "POST", 1_500, 20);
    secs(4.0);
    let at = Instant::now();
    if has_trouble {
        let node = &world.nodes[0];
        let born = node.app.born + 1_000;
        let body = format!(
            "{{\"service\":\"lexicon\",\"addr\":\"{}\",\"slots\":12,\"state\":\"draining\",\
             \"seq\":1,\"born\":{born}}}",
            node.app.address
        );
        let headers = [("Content-Type", "application/json".to_owned())];
        let path = "/v1/Instances.Heartbeat/i-odd";
        let limit = Duration::from_secs(1);
        let answer = http::call(node.control(), "POST", path, &headers, body.as_bytes(), limit)?;
        world.record.say(&format!("odd report {body} to {}: {}", node.name, answer.status()));
    }
    secs(8.0);
    world.end_traffic();
    tell_service(&world, at);
    for name in world.dead() {
        world.record.say(&format!("{name} ended"));
    }
    Ok(judge_owner(&world))
}

/// The entry of a daemon comes from another writer, with fields missing.
fn odd_entry(record: Record, has_trouble: bool) -> std::io::Result<i32> {
    let mut world = World::start(record, 1 << 20, Duration::from_millis(30))?;
    if !world.until_served(START) {
        world.record.say("the deployment didn't come up");
        return Ok(NOT_RUN);
    }
    world.traffic("/lookup/w", "GET", 1_200, 60);
    world.traffic("/ruling/r", "POST", 1_500, 20);
    secs(4.0);
    let at = Instant::now();
    if has_trouble {
        let name = world.nodes[0].name.clone();
        let entry = world.store.get("cactushold-members", &name).unwrap_or(Json::Null);
        world.record.say(&format!("entry of {name}: {}", entry.write()));
        let odd = entry.without(&["life", "id", "has_ended"]);
        // Right after a report: what the server holds is known to be its own until the next one.
        let reports = world.nodes[0].app.reports();
        while world.nodes[0].app.reports() == reports {
            secs(0.005);
        }
        secs(0.03);
        world.store.put("cactushold-members", &name, odd.clone());
        world.record.say(&format!("another writer stores {}", odd.write()));
    }
    secs(8.0);
    world.end_traffic();
    tell_service(&world, at);
    for name in world.dead() {
        world.record.say(&format!("{name} ended"));
    }
    Ok(judge_owner(&world))
}

/// Memory of a machine's process (DEPLOY.md, `ram_mb`).
const MEMORY: u64 = 260 << 20;

/// Bodies that the clients of a machine send at the same time.
const TOGETHER: usize = 3;

/// Clients send bodies within `max_body_bytes`.
fn large_bodies(record: Record, has_trouble: bool) -> std::io::Result<i32> {
    let max_body = 67_108_864;
    let mut world = World::start(record, max_body, Duration::from_millis(30))?;
    if !world.until_served(START) {
        world.record.say("the deployment didn't come up");
        return Ok(NOT_RUN);
    }
    world.traffic("/lookup/w", "GET", 1_200, 20);
    secs(3.0);
    let at = Instant::now();
    let size = if has_trouble { 60_000_000 } else { 60_000 };
    let mut ends = vec![0; world.nodes.len()];
    for round in 0..4 {
        for machine in [3, 4] {
            let target = world.nodes[machine].callers();
            for _ in 0..TOGETHER {
                let (attempt, record) = (world.attempt(), world.record.clone());
                let answers = std::sync::Arc::clone(&world.answers);
                std::thread::spawn(move || {
                    let body = vec![b'x'; size];
                    let sent = world::send(target, "POST", "/entry/e", &attempt, 2_500, None, &body, &record);
                    answers.lock().unwrap().push(sent);
                });
            }
        }
        let until = Instant::now() + Duration::from_secs(6);
        let mut peaks = vec![0; world.nodes.len()];
        while Instant::now() < until {
            for (index, node) in world.nodes.iter_mut().enumerate() {
                let memory = node.memory();
                peaks[index] = peaks[index].max(memory);
                if memory > MEMORY {
                    ends[index] += 1;
                    world.record.say(&format!("{} uses {} MB and is killed", node.name, memory >> 20));
                    node.stop();
                    std::thread::sleep(Duration::from_millis(50));
                    node.start()?;
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let peaks: Vec<u64> = peaks.iter().map(|peak| peak >> 20).collect();
        world.record.say(&format!("round {round}: peaks in MB {peaks:?}, ends {ends:?}"));
    }
    world.end_traffic();
    tell_service(&world, at);
    let count = ends.iter().filter(|count| **count >= 3).count();
    Ok(if count >= 2 { BROKEN } else { HELD })
}

/// Time from the acknowledgement of a leave after which no request may reach the server
/// (`drain` of the settings).
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time without disturbance after which a machine is in touch (`stable_window`).
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// A server deregisters and serves on for some seconds; its daemon is stopped and started again.
fn left_server(record: Record, has_trouble: bool) -> std::io::Result<i32> {
    let mut world = World::start(record, 1 << 20, Duration::from_millis(120))?;
    if !world.until_served(START) {
        world.record.say("the deployment didn't come up");
        return Ok(NOT_RUN);
    }
    world.traffic("/ruling/r", "POST", 1_500, 60);
    secs(4.0);
    // The first server of the service that isn't divided by key.
    let app = std::sync::Arc::clone(&world.nodes[3].app);
    let left = Instant::now();
    if !app.deregister() {
        return Ok(NOT_RUN);
    }
    secs(0.8);
    let mut in_touch = Instant::now();
    if has_trouble {
        world.nodes[3].stop();
        world.record.say(&format!("{} is stopped", world.nodes[3].name));
        secs(0.3);
        world.nodes[3].start()?;
        in_touch = Instant::now() + STABLE_WINDOW;
        world.record.say(&format!("{} is started again", world.nodes[3].name));
    }
    secs(9.0);
    app.end();
    let ended = Instant::now();
    world.record.say(&format!("server {} exits", app.id));
    secs(2.0);
    world.end_traffic();
    let bound = in_touch.max(left + DRAIN);
    let late: Vec<_> = app.runs().into_iter().filter(|run| run.at > bound).collect();
    let answers = world.answers.lock().unwrap();
    let status = |attempt: &str| answers.iter().find(|s| s.attempt == attempt).map_or(0, |s| s.status);
    let lost: Vec<_> = late.iter().filter(|run| status(&run.attempt) != 200).collect();
    world.record.say(&format!(
        "{} requests ran at {} later than drain after its leave was acknowledged, taken and sent on \
         by machines in touch: from {:.1} s to {:.1} s after it",
        late.len(),
        app.id,
        late.first().map_or(0.0, |run| (run.at - left).as_secs_f64()),
        late.last().map_or(0.0, |run| (run.at - left).as_secs_f64()),
    ));
    world.record.say(&format!(
        "{} of them had begun when the server exited, {:.1} s after its leave, and got no answer of it: {:?}",
        lost.len(),
        (ended - left).as_secs_f64(),
        lost.iter().map(|run| status(&run.attempt)).collect::<Vec<_>>()
    ));
    Ok(if late.is_empty() { HELD } else { BROKEN })
}

/// Requests that are sent behind the first one on its connection.
const BEHIND: usize = 7;
/// Requests that a machine may leave without an answer (RULES.md, LOST).
const LEFT: usize = 3;

/// A client sends further requests before the first one is answered; the answer to the first one
/// breaks off.
fn cut_pipeline(record: Record, has_trouble: bool) -> std::io::Result<i32> {
    let world = World::start(record, 1 << 20, Duration::from_millis(30))?;
    if !world.until_served(START) {
        world.record.say("the deployment didn't come up");
        return Ok(NOT_RUN);
    }
    let record = &world.record;
    let target = world.nodes[3].callers();
    let mut stream = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let request = |path: &str, attempt: &str, key: u16| {
        let headers = [
            ("Host", "words.example".to_owned()),
            ("Attempt-Id", attempt.to_owned()),
            ("Deadline-Ms", "2500".to_owned()),
            ("X-Api-Key", "key-of-club".to_owned()),
            ("Shard-Key", key.to_string()),
        ];
        let mut out = Vec::new();
        http::compose(&mut out, &format!("GET {path} HTTP/1.1"), &headers, b"");
        record.line(&format!("client sends GET {path} {attempt}"));
        out
    };
    // The connection is a kept one: it has carried requests before.
    for key in [7, 30_000, 60_000] {
        let attempt = world.attempt();
        stream.write_all(&request("/lookup/w", &attempt, key))?;
        let answer = http::read(&mut reader, true)?;
        record.line(&format!("client gets {:?} for {attempt}", answer.map(|a| a.status())));
    }
    if has_trouble {
        world.nodes.iter().skip(6).for_each(|node| node.app.cut(1));
    }
    let mut bytes = Vec::new();
    let first = world.attempt();
    bytes.extend(request("/browse/large", &first, 0));
    let mut behind = BTreeMap::new();
    for number in 0..BEHIND {
        let attempt = world.attempt();
        bytes.extend(request("/lookup/w", &attempt, (number * 9_000) as u16));
        behind.insert(attempt, 0);
    }
    stream.write_all(&bytes)?;
    loop {
        match http::read(&mut reader, true) {
            Ok(Some(answer)) => {
                let attempt = answer.header("attempt-id").unwrap_or_default().to_owned();
                record.line(&format!("client gets {} for {attempt}", answer.status()));
                if let Some(status) = behind.get_mut(&attempt) {
                    *status = answer.status();
                }
                if behind.values().all(|status| *status != 0) {
                    break;
                }
            }
            Ok(None) => {
                record.say("the daemon closed the connection");
                break;
            }
            Err(error) => {
                record.say(&format!("the answer to {first} ended early: {error}"));
                break;
            }
        }
    }
    secs(1.0);
    let runs: Vec<String> = world
        .nodes
        .iter()
        .take(3)
        .flat_map(|node| node.app.runs())
        .map(|run| run.attempt)
        .collect();
    let left = behind.iter().filter(|(attempt, status)| **status == 0 && runs.contains(attempt)).count();
    record.say(&format!(
        "{left} of {BEHIND} requests behind it were run by sound servers, and their connection was \
         closed without an answer"
    ));
    Ok(if left > LEFT { BROKEN } else { HELD })
}
