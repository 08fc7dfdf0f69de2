//! What has to hold in every session.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::time::{Duration, Instant};

use cactushold_standin::server::{Held, Server};

use crate::caller::{Outcome, Record};
use crate::cases::assert_sole;
use crate::play::{End, Play};
use crate::schedule::{Kinds, Step};

/// Time in which a daemon that was told to stop ends, as the settings give it.
const GRACE: Duration = Duration::from_secs(6);
/// Time after the last disturbance in which everything is served again, by the platform's bounds.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which a fault shows in requests that were sent later.
const LINGER: Duration = Duration::from_secs(3);
/// Statuses by which a daemon promises that a request never runs.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// Faults that are explained at length.
const MOST_EXPLAINED: usize = 6;

/// Something that doesn't hold, and the request that shows it.
pub struct Fault {
    what: String,
    record: Option<Record>,
}

/// The outcome of a session.
pub struct Report {
    pub faults: Vec<Fault>,
    counts: BTreeMap<String, usize>,
}

impl Report {
    /// Checks a session that is over.
    pub fn of(play: &Play) -> Report {
        let mut report = Report { faults: Vec::new(), counts: BTreeMap::new() };
        report.check_processes(play);
        report.check_owners(play);
        report.check_requests(play);
        if play.recovery.is_none_or(|recovery| recovery > RECOVERY) {
            report.find(format!("served again after {:?}", play.recovery), None);
        }
        report.count(format!("served again after {:?}", play.recovery.unwrap_or_default()));
        report
    }

    fn find(&mut self, what: String, record: Option<&Record>) {
        self.faults.push(Fault { what, record: record.cloned() });
    }

    fn count(&mut self, what: String) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn check_processes(&mut self, play: &Play) {
        for (_, step) in &play.done {
            let step = format!("{step:?}");
            self.count(step.split('(').next().unwrap_or_default().to_owned());
        }
        for life in play.lives.values() {
            let Some((at, end)) = &life.ended else { continue };
            let (name, at) = (&life.name, play.time(*at));
            match end {
                End::Killed => {}
                End::Stopped(status, time, was_paused) => {
                    if status.code() != Some(0) || (*time > GRACE && !was_paused) {
                        self.find(format!("{name} stopped with {status} in {time:?}, {at}"), None);
                    }
                }
                End::ByItself(status) => {
                    self.find(format!("{name} ended by itself with {status}, {at}"), None);
                }
            }
        }
    }

    fn check_owners(&mut self, play: &Play) {
        let histories: Vec<Vec<Held>> = servers(play).map(Server::history).collect();
        if catch_unwind(AssertUnwindSafe(|| assert_sole(&histories))).is_err() {
            self.find("two servers held a key".to_owned(), None);
        }
        let mut all: Vec<&Held> = histories.iter().flatten().collect();
        all.sort_by_key(|held| held.since);
        for (at, later) in all.iter().enumerate() {
            let same = |held: &&&Held| held.first <= later.last && later.first <= held.last;
            let falls = |held: &&&Held| held.fence > later.fence;
            if let Some(earlier) = all[..at].iter().filter(same).find(falls) {
                self.find(format!("a fence fell: {earlier:?}, {later:?}"), None);
            }
        }
    }

    fn check_requests(&mut self, play: &Play) {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in servers(play).flat_map(Server::runs) {
            *runs.entry(run.attempt).or_default() += 1;
        }
        let records = play.board.records.lock().expect("no holder panics").clone();
        for record in &records {
            let count = runs.get(&record.attempt).copied().unwrap_or_default();
            self.count(format!("{:?} {}", record.outcome, record.kind));
            if record.is_ruling && count > 1 {
                self.find(format!("ran {count} times"), Some(record));
            }
            let harm = Harm::of(play, record);
            match &record.outcome {
                Outcome::Wrong(what) => self.find(format!("wrong answer: {what}"), Some(record)),
                Outcome::Never => self.find("never answered".to_owned(), Some(record)),
                Outcome::Status(200) if count == 0 => {
                    self.find("answered without a run".to_owned(), Some(record));
                }
                Outcome::Status(status) if NOT_RUN.contains(status) => {
                    if record.is_ruling && count > 0 {
                        self.find(format!("{status} and has run"), Some(record));
                    }
                }
                Outcome::Status(502) if !harm.may_end(play.kinds) => {
                    self.find("502 without a fault that ends requests".to_owned(), Some(record));
                }
                Outcome::Status(504) if !harm.is_broken && !harm.is_slow => {
                    self.find("504 though nothing stood still".to_owned(), Some(record));
                }
                Outcome::Status(200 | 502 | 504) => {}
                Outcome::Status(_) => self.find("a status of no reason".to_owned(), Some(record)),
                Outcome::Closed(bytes) => {
                    let is_crossing = harm.is_terminated && count == 0 && *bytes == 0;
                    if !harm.is_killed && !is_crossing {
                        self.find(format!("closed, {count} runs"), Some(record));
                    }
                }
            }
        }
    }

    /// Tells counts of what happened.
    #[allow(clippy::print_stdout)]
    pub fn tell(&self, seed: u64) {
        println!("seed {seed}: {} faults found, {:?}", self.faults.len(), self.counts);
    }

    /// Everything about what was found.
    pub fn explain(&self, seed: u64, play: &Play, folder: &Path) -> String {
        let mut text = format!("seed {seed}, {:?}, logs in {}\n", play.kinds, folder.display());
        for fault in self.faults.iter().take(MOST_EXPLAINED) {
            writeln!(text, "- {}", fault.what).ok();
            let Some(record) = &fault.record else { continue };
            let (sent, ended) = (play.time(record.sent), play.time(record.ended));
            writeln!(text, "  {record:?}\n  sent {sent}, ended {ended}").ok();
            let quoted = format!("\"{}\"", record.attempt);
            for (name, lines) in play.logs() {
                for line in lines.iter().filter(|line| line.contains(&quoted)) {
                    writeln!(text, "  {name}: {line}").ok();
                }
            }
        }
        writeln!(text, "states:\n{}", play.told_states.join("\n")).ok();
        writeln!(text, "steps:\n{}", play.told().join("\n")).ok();
        text
    }
}

fn servers(play: &Play) -> impl Iterator<Item = &Server> {
    let living = play.environment.daemons.iter().filter_map(|daemon| daemon.server.as_ref());
    living.chain(&play.environment.ended)
}

/// What was done while a request was under way, or so shortly before that it may show.
struct Harm {
    /// Its entry was told to stop.
    is_terminated: bool,
    /// Its entry was killed.
    is_killed: bool,
    /// A process was killed, a server ended or a connection was disturbed.
    is_broken: bool,
    /// Connections went silent at any time before.
    was_silenced: bool,
    /// A process stood still, servers were slow, or there was a crowd.
    is_slow: bool,
}

impl Harm {
    /// Whether a request may end without its server's answer. Processes that stand still are no
    /// reason; idle connections that are silent have a test of their own, `silence::*` of the
    /// platform's sessions.
    fn may_end(&self, kinds: Kinds) -> bool {
        self.is_broken || (kinds == Kinds::All && self.was_silenced)
    }

    fn of(play: &Play, record: &Record) -> Harm {
        let life = &play.lives[&record.pid];
        let is_killed = life
            .ended
            .as_ref()
            .is_some_and(|(at, end)| matches!(end, End::Killed) && *at <= record.ended);
        let is_terminated = life.terminated.is_some_and(|at| at <= record.ended);
        let near = |from: Instant, to: Instant| from <= record.ended && record.sent <= to + LINGER;
        let silences = play.done.iter().filter(|(_, step)| matches!(step, Step::Silence(_)));
        let was_silenced = silences.map(|(at, _)| *at).any(|at| at <= record.ended);
        let (mut is_broken, mut is_slow) = (false, false);
        for (index, (at, step)) in play.done.iter().enumerate() {
            let until = |end: Step| {
                let mut later = play.done[index..].iter();
                later.find(|(_, step)| *step == end).map_or(record.ended, |(at, _)| *at)
            };
            match *step {
                Step::Kill(daemon) => is_broken |= near(*at, until(Step::Start(daemon))),
                Step::EndServer(daemon) => {
                    is_broken |= near(*at, until(Step::StartServer(daemon)));
                }
                Step::Cut(daemon, true) => is_broken |= near(*at, until(Step::Cut(daemon, false))),
                Step::Silence(_) => is_broken |= near(*at, *at),
                Step::Pause(daemon) => is_slow |= near(*at, until(Step::Resume(daemon))),
                Step::Slow(_) | Step::Crowd(_) => is_slow |= near(*at, *at),
                _ => {}
            }
        }
        Harm { is_terminated, is_killed, is_broken, was_silenced, is_slow }
    }
}
