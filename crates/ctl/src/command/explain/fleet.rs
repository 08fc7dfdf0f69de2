//! What the daemons' other lines tell of a time.

use crate::command::explain::line::{Line, Moment};
use crate::command::explain::way::{Try, Way};

/// Time before a request in which a daemon's starts, stops and lapses may be why it failed; longer
/// than a graceful shutdown.
const BEFORE: Moment = 10_000_000;
/// Time after it in which a process that ended starts again.
const AFTER: Moment = 10_000_000;
/// Time around it in which a stall or a silence is told.
const NEAR: Moment = 1_000_000;

/// Starts, stops, and what the server beside a daemon does.
const LIFE: [u64; 8] = [100, 101, 105, 110, 111, 112, 600, 601];
/// The settings were reread.
const RELOADS: [u64; 3] = [120, 121, 122];
/// Late threads, lost lines, lapsed leases, refused grants, outdated configuration, silence.
const TROUBLE: [u64; 9] = [123, 124, 125, 303, 304, 305, 400, 401, 500];
/// Configuration, table and zones in force.
const BELIEFS: [u64; 3] = [200, 201, 202];

/// Lines of all daemons, in order of time.
pub struct Fleet<'a>(pub &'a [Line]);

impl<'a> Fleet<'a> {
    /// The daemon of an attempt's target, as its lines name it.
    pub fn daemon_of(&self, one: &Try) -> Option<&'a str> {
        let starts = self.0.iter().filter(|line| line.event == 100);
        let mut named = starts.filter(|line| line.text("instance") == Some(&one.target));
        let registered = self.0.iter().filter(|line| line.event == 101);
        let mut numbered = registered.filter(|line| {
            line.number("id").or(line.number("incarnation")) == Some(one.incarnation)
        });
        let found = named.next().or_else(|| numbered.next());
        found
            .or_else(|| self.0.iter().find(|line| line.daemon == one.target))
            .map(|line| line.daemon.as_str())
    }

    /// Lines of a daemon with one of these events in a time.
    pub fn events(
        &self,
        daemon: &str,
        events: &[u64],
        (from, to): (Moment, Moment),
    ) -> impl Iterator<Item = &'a Line> {
        let lines = self.0.iter().filter(move |line| (from..=to).contains(&line.at));
        lines.filter(move |line| line.daemon == daemon && events.contains(&line.event))
    }

    /// A stall of a daemon that overlaps a time.
    pub fn stall(&self, daemon: &str, (from, to): (Moment, Moment)) -> Option<&'a Line> {
        let mut stalls = self.events(daemon, &[124], (from, Moment::MAX));
        stalls.find(|line| line.at - line.number("late_ms").unwrap_or(0) as Moment * 1_000 <= to)
    }

    /// The version that was in force at a daemon at a moment, by the lines of an event.
    pub fn version(&self, daemon: &str, event: u64, at: Moment) -> Option<u64> {
        let last = self.events(daemon, &[event], (Moment::MIN, at)).last();
        last.and_then(|line| line.number("version"))
    }

    /// The lines that matter for a request, in order of time.
    pub fn around(&self, way: &Way<'_>) -> Vec<&'a Line> {
        let entry = way.entry.map(|entry| entry.daemon.as_str());
        let targets = way.tries.iter().filter_map(|one| self.daemon_of(one));
        let mut daemons: Vec<&str> = targets.chain(entry).collect();
        daemons.extend(way.runs.iter().map(|run| run.daemon.as_str()));
        daemons.sort_unstable();
        daemons.dedup();
        let mut lines: Vec<&Line> = Vec::new();
        for daemon in daemons {
            let life = (way.began - BEFORE, way.ended + AFTER);
            lines.extend(self.events(daemon, &LIFE, life));
            lines.extend(self.events(daemon, &TROUBLE, (way.began - NEAR, way.ended + NEAR)));
            if entry == Some(daemon) {
                lines.extend(self.events(daemon, &RELOADS, (way.began - NEAR, way.ended)));
            }
            for belief in BELIEFS {
                lines.extend(self.events(daemon, &[belief], (Moment::MIN, way.began)).last());
                lines.extend(self.events(daemon, &[belief], (way.began + 1, way.ended)));
            }
        }
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// The latest sign, before a moment, that a daemon stops.
    pub fn stop(&self, daemon: &str, at: Moment) -> Option<&'a Line> {
        let last = self.events(daemon, &[100, 600], (at - BEFORE, at)).last();
        last.filter(|line| line.event == 600)
    }

    /// The next start of a daemon after a moment that no stop was told before.
    pub fn unplanned_start(&self, daemon: &str, at: Moment) -> Option<&'a Line> {
        if self.stop(daemon, at).is_some() {
            return None;
        }
        let next = self.events(daemon, &[100, 600], (at, at + AFTER)).next();
        next.filter(|line| line.event == 100)
    }

    /// What the server beside a daemon did around a time, if it left, ended or started anew.
    pub fn server(&self, daemon: &str, (from, to): (Moment, Moment)) -> Option<&'a Line> {
        self.events(daemon, &[110, 111, 112], (from - NEAR, to + AFTER)).next()
    }
}
