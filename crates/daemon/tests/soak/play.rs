//! Does what a schedule says to a deployment, and notes what becomes of its processes.

use std::collections::BTreeMap;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use cactushold_standin::environment::Environment;
use cactushold_standin::http::Answer;
use cactushold_standin::server::Server;
use fastrand::Rng;
use futures::future::join_all;

use crate::caller::{Board, Caller};
use crate::cases::{self, RULING, ask, config, lookup};
use crate::schedule::{DAEMONS, Edit, Kinds, Step, Timed};

/// Callers for the whole session, and those of a crowd with the requests of each.
const CALLERS: usize = 10;
const CROWD: usize = 60;
const CROWD_REQUESTS: usize = 12;
/// Longest pause of a caller, in milliseconds.
const PAUSE: u64 = 60;
/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(5);
/// Time for which callers go on after the last step.
const CALM: Duration = Duration::from_secs(1);
/// Time without a step after which sessions are given up.
const STUCK: Duration = Duration::from_secs(30);
/// Limits small enough to be filled.
const LIMITS: &str = "queue = 16\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Stopping(Instant),
    Down,
}

/// How a process ended.
#[derive(Clone, Debug)]
pub enum End {
    Killed,
    /// After SIGTERM, in this time; whether it stood still meanwhile.
    Stopped(ExitStatus, Duration, bool),
    ByItself(ExitStatus),
}

/// One process of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Life {
    pub name: String,
    pub terminated: Option<Instant>,
    pub ended: Option<(Instant, End)>,
    log: Vec<String>,
}

/// A session.
pub struct Play {
    pub environment: Environment,
    pub kinds: Kinds,
    pub board: Arc<Board>,
    /// By process.
    pub lives: BTreeMap<u32, Life>,
    /// Steps that were done, and when.
    pub done: Vec<(Instant, Step)>,
    /// Time from the last disturbance until everything was served again.
    pub recovery: Option<Duration>,
    /// What daemons answered and told of themselves then.
    pub told_states: Vec<String>,
    start: (Instant, SystemTime),
    /// Version of the configuration that was stored last.
    version: u32,
    states: [State; DAEMONS],
    /// Whether processes stand still, and whether they did since they were told to stop.
    paused: [bool; DAEMONS],
    was_paused: [bool; DAEMONS],
    /// What the settings files said at the start of the processes.
    settings: [String; DAEMONS],
}

impl Play {
    /// A deployment that serves.
    pub async fn start(seed: u64, kinds: Kinds) -> Play {
        let environment = cases::deployment_of(|environment| {
            environment.with_relays = true;
            if kinds == Kinds::All && seed.is_multiple_of(2) {
                environment.extra_settings = LIMITS.to_owned();
            }
        });
        let environment = environment.await;
        let mut play = Play {
            settings: Default::default(),
            environment,
            kinds,
            board: Arc::default(),
            lives: BTreeMap::new(),
            done: Vec::new(),
            recovery: None,
            told_states: Vec::new(),
            start: (Instant::now(), SystemTime::now()),
            version: 1,
            states: [State::Running; DAEMONS],
            paused: [false; DAEMONS],
            was_paused: [false; DAEMONS],
        };
        (0..DAEMONS).for_each(|index| play.note_start(index));
        play
    }

    /// Plays all steps under load, then waits until everything is served again.
    pub async fn run(&mut self, steps: &[Timed], seed: u64) {
        let callers: Vec<_> = (0..CALLERS)
            .map(|at| tokio::spawn(self.caller(seed, &format!("c{at}"), PAUSE).ask()))
            .collect();
        self.start = (Instant::now(), SystemTime::now());
        for (at, step) in steps {
            while self.start.0.elapsed() < *at {
                self.look();
                tokio::time::sleep(LOOK.min(*at)).await;
            }
            self.look();
            self.apply(*step, seed).await;
        }
        self.heal().await;
        let healed = Instant::now();
        while !self.is_served().await && healed.elapsed() < STUCK {
            self.look();
            tokio::time::sleep(LOOK).await;
        }
        self.recovery = Some(healed.elapsed());
        self.note_states().await;
        tokio::time::sleep(CALM).await;
        self.look();
        self.board.is_over.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.await.expect("no caller panics");
        }
        self.look();
    }

    fn caller(&self, seed: u64, name: &str, pause: u64) -> Caller {
        let number =
            name.bytes().fold(seed, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
        let (board, random) = (Arc::clone(&self.board), Rng::with_seed(number));
        Caller { board, name: name.to_owned(), random, pause, count: 0 }
    }

    async fn apply(&mut self, step: Step, seed: u64) {
        self.done.push((Instant::now(), step));
        match step {
            Step::HangUp(at) if self.states[at] != State::Down => {
                self.environment.daemons[at].hang_up();
            }
            Step::Terminate(at) if self.states[at] == State::Running => self.terminate(at),
            Step::Kill(at) if self.states[at] != State::Down => self.kill(at),
            Step::Start(at) if self.states[at] == State::Down => self.restart(at),
            Step::Pause(at) if self.states[at] != State::Down => {
                self.paused[at] = true;
                self.was_paused[at] = true;
                self.environment.daemons[at].pause();
            }
            Step::Resume(at) if self.paused[at] => self.resume(at),
            Step::Configure => {
                self.version += 1;
                self.environment.store("config", "main", &config(self.version)).await;
            }
            Step::Edit(at, edit) => self.edit(at, edit),
            Step::Leave(at) => {
                self.servers().filter(|(i, _)| *i == at).for_each(|(_, s)| s.drain())
            }
            Step::EndServer(at) => self.environment.end_server(at),
            Step::StartServer(at) => self.environment.start_server(at).await,
            Step::Silence(at) => self.relay(at).silence(),
            Step::Cut(at, is_cut) => self.relay(at).cut(is_cut),
            Step::Crowd(at) => self.crowd(at, seed),
            Step::Slow(run) => {
                self.servers().for_each(|(_, server)| server.set_run(Duration::from_millis(run)));
            }
            _ => {
                self.done.pop();
            }
        }
    }

    fn servers(&self) -> impl Iterator<Item = (usize, &Server)> {
        let daemons = self.environment.daemons.iter().enumerate();
        daemons.filter_map(|(at, daemon)| Some((at, daemon.server.as_ref()?)))
    }

    fn relay(&self, at: usize) -> &cactushold_standin::relay::Relay {
        self.environment.daemons[at].relay.as_ref().expect("a relay before each daemon")
    }

    fn crowd(&self, at: usize, seed: u64) {
        let entry = self.board.entries.lock().expect("no holder panics")[at];
        let moment = self.done.len();
        for number in 0..CROWD {
            let mut caller = self.caller(seed, &format!("crowd{moment}-{number}"), 0);
            tokio::spawn(async move { caller.ask_at(entry, CROWD_REQUESTS).await });
        }
    }

    fn terminate(&mut self, at: usize) {
        let now = Instant::now();
        self.states[at] = State::Stopping(now);
        self.life(at).terminated = Some(now);
        self.was_paused[at] = self.paused[at];
        self.environment.daemons[at].terminate();
    }

    fn kill(&mut self, at: usize) {
        self.paused[at] = false;
        self.note_end(at, End::Killed);
        self.environment.daemons[at].kill();
    }

    fn resume(&mut self, at: usize) {
        self.paused[at] = false;
        self.environment.daemons[at].resume();
    }

    fn restart(&mut self, at: usize) {
        self.environment.restart(at);
        self.note_start(at);
    }

    fn edit(&self, at: usize, edit: Edit) {
        let path = &self.environment.daemons[at].settings;
        let text = &self.settings[at];
        match edit {
            Edit::Valid(bytes) => {
                std::fs::write(path, format!("{text}head_bytes = {bytes}\n")).ok();
            }
            Edit::Truncated => {
                std::fs::write(path, &text[..text.len() / 2]).ok();
            }
            Edit::Missing => {
                std::fs::remove_file(path).ok();
            }
        }
    }

    fn life(&mut self, at: usize) -> &mut Life {
        self.lives.entry(self.environment.daemons[at].pid()).or_default()
    }

    fn note_start(&mut self, at: usize) {
        let daemon = &self.environment.daemons[at];
        let (entry, name) = ((daemon.callers, daemon.pid()), daemon.name.clone());
        self.settings[at] = std::fs::read_to_string(&daemon.settings).expect("settings");
        let mut entries = self.board.entries.lock().expect("no holder panics");
        if at < entries.len() {
            entries[at] = entry;
        } else {
            entries.push(entry);
        }
        drop(entries);
        self.life(at).name = name;
        (self.states[at], self.paused[at], self.was_paused[at]) = (State::Running, false, false);
    }

    fn note_end(&mut self, at: usize, end: End) {
        let log = self.environment.daemons[at].log();
        let life = self.life(at);
        life.log = log;
        life.ended.get_or_insert((Instant::now(), end));
        self.states[at] = State::Down;
    }

    /// Notes processes that have ended; starts a new one after a stop.
    fn look(&mut self) {
        for at in 0..DAEMONS {
            if self.states[at] == State::Down {
                continue;
            }
            let Some(status) = self.environment.daemons[at].end() else { continue };
            match self.states[at] {
                State::Stopping(since) => {
                    let end = End::Stopped(status, since.elapsed(), self.was_paused[at]);
                    self.note_end(at, end);
                }
                _ => self.note_end(at, End::ByItself(status)),
            }
            self.restart(at);
        }
    }

    /// Ends every disturbance.
    async fn heal(&mut self) {
        for at in 0..DAEMONS {
            self.resume(at);
            self.relay(at).cut(false);
        }
        let stopping = |state: &State| matches!(state, State::Stopping(_));
        let start = Instant::now();
        while self.states.iter().any(stopping) && start.elapsed() < STUCK {
            self.look();
            tokio::time::sleep(LOOK).await;
        }
        for at in 0..DAEMONS {
            if self.states[at] == State::Down {
                self.restart(at);
            }
            if self.environment.daemons[at].server.is_none() {
                self.environment.start_server(at).await;
            }
        }
    }

    async fn note_states(&mut self) {
        for at in 0..DAEMONS {
            let status = self.environment.status(at).await;
            let daemon = &self.environment.daemons[at];
            let held = daemon.server.as_ref().map(Server::held);
            self.told_states.push(format!("{}: {status} {held:?}", daemon.name));
        }
    }

    /// Whether all keys are served, whoever is asked; otherwise what was answered.
    async fn is_served(&mut self) -> bool {
        let asks = (0..DAEMONS).flat_map(|entry| (0..9).map(move |at| (entry, at)));
        let environment = &self.environment;
        let asks = asks.map(async |(entry, at)| {
            let request = if at < 8 { lookup(at << 13) } else { RULING };
            let answer = ask(environment, entry, request).await;
            let text = |answer: Answer| (answer.status != 200).then(|| format!("{answer:?}"));
            let failed = answer.map_or_else(Some, text)?;
            Some(format!("{} {request:?}: {failed}", environment.daemons[entry].name))
        });
        let failed: Vec<String> = join_all(asks).await.into_iter().flatten().collect();
        let is_served = failed.is_empty();
        self.told_states = failed;
        is_served
    }

    /// Steps, with their times in the daemons' logs.
    pub fn told(&self) -> Vec<String> {
        self.done.iter().map(|(at, step)| format!("{} {step:?}", self.time(*at))).collect()
    }

    /// A moment in seconds since the start.
    pub fn time(&self, at: Instant) -> String {
        let since = at.saturating_duration_since(self.start.0).as_secs_f64();
        let unix = self.start.1.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        format!("{since:.3} (second {:.3} of the minute)", (unix.as_secs_f64() + since) % 60.0)
    }

    /// Logs of all processes.
    pub fn logs(&self) -> Vec<(String, Vec<String>)> {
        let ended = self.lives.iter().map(|(pid, life)| (pid, life, life.log.clone()));
        let mut logs: BTreeMap<String, Vec<String>> =
            ended.map(|(pid, life, log)| (format!("{}-{pid}", life.name), log)).collect();
        for daemon in &self.environment.daemons {
            logs.insert(format!("{}-{}", daemon.name, daemon.pid()), daemon.log());
        }
        logs.into_iter().collect()
    }
}
