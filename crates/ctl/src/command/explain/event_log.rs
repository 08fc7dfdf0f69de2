//! Queries over the events of all daemons.

use crate::command::explain::event::{LogEvent, UnixMicros};
use crate::command::explain::trace::{Attempt, RequestTrace};

/// How long before a request a start, a stop or a lost lease of a daemon may be the cause of its
/// failure. Longer than a graceful shutdown takes.
const LOOKBACK: UnixMicros = 10_000_000;
/// How long after a request the restart of a process that ended is attributed to it.
const LOOKAHEAD: UnixMicros = 10_000_000;
/// How long before and after a request stalls and silent connections are shown.
const NEARBY: UnixMicros = 1_000_000;

/// Start, registration, removal and stop of a daemon; start, leaving and end of its server.
const LIFECYCLE_EVENTS: [u64; 8] = [100, 101, 105, 110, 111, 112, 600, 601];
/// Reloads of the settings file.
const RELOAD_EVENTS: [u64; 3] = [120, 121, 122];
/// Lost or omitted log lines, stalled threads, lease changes, refused grants, freshness of the
/// configuration and silent connections.
const FAULT_EVENTS: [u64; 9] = [123, 124, 125, 303, 304, 305, 400, 401, 500];
/// Changes of the configuration, slice table and zones in force.
const STATE_EVENTS: [u64; 3] = [200, 201, 202];

/// Events of all daemons, ordered by time.
pub struct EventLog<'a>(pub &'a [LogEvent]);

impl<'a> EventLog<'a> {
    /// Name under which the logs list the daemon that an attempt was sent to.
    pub fn daemon_of(&self, attempt: &Attempt) -> Option<&'a str> {
        let starts = self.0.iter().filter(|event| event.event_id == 100);
        let mut by_instance =
            starts.filter(|event| event.text("instance") == Some(&attempt.target));
        let registrations = self.0.iter().filter(|event| event.event_id == 101);
        let mut by_incarnation = registrations.filter(|event| {
            event.number("id").or(event.number("incarnation")) == Some(attempt.incarnation)
        });
        let found = by_instance.next().or_else(|| by_incarnation.next());
        found
            .or_else(|| self.0.iter().find(|event| event.daemon == attempt.target))
            .map(|event| event.daemon.as_str())
    }

    /// Events of a daemon with one of these numbers within a time range, both ends included.
    pub fn events(
        &self,
        daemon: &str,
        event_ids: &[u64],
        (from, to): (UnixMicros, UnixMicros),
    ) -> impl Iterator<Item = &'a LogEvent> {
        let events = self.0.iter().filter(move |event| (from..=to).contains(&event.time));
        events.filter(move |event| event.daemon == daemon && event_ids.contains(&event.event_id))
    }

    /// The first stall of a daemon that overlaps a time range.
    pub fn stall(
        &self,
        daemon: &str,
        (from, to): (UnixMicros, UnixMicros),
    ) -> Option<&'a LogEvent> {
        let mut stalls = self.events(daemon, &[124], (from, UnixMicros::MAX));
        stalls.find(|event| {
            event.time - event.number("late_ms").unwrap_or(0) as UnixMicros * 1_000 <= to
        })
    }

    /// The version in force at a daemon at a time, from the events with this number.
    pub fn version(&self, daemon: &str, event_id: u64, time: UnixMicros) -> Option<u64> {
        let last = self.events(daemon, &[event_id], (UnixMicros::MIN, time)).last();
        last.and_then(|event| event.number("version"))
    }

    /// The events that may bear on a request, ordered by time.
    pub fn related_to(&self, trace: &RequestTrace<'_>) -> Vec<&'a LogEvent> {
        let entry = trace.entry.map(|entry| entry.daemon.as_str());
        let targets = trace.attempts.iter().filter_map(|attempt| self.daemon_of(attempt));
        let mut daemons: Vec<&str> = targets.chain(entry).collect();
        daemons.extend(trace.failed_runs.iter().map(|run| run.daemon.as_str()));
        daemons.sort_unstable();
        daemons.dedup();
        let mut events: Vec<&LogEvent> = Vec::new();
        for daemon in daemons {
            let range = (trace.started_at - LOOKBACK, trace.ended_at + LOOKAHEAD);
            events.extend(self.events(daemon, &LIFECYCLE_EVENTS, range));
            events.extend(self.events(
                daemon,
                &FAULT_EVENTS,
                (trace.started_at - NEARBY, trace.ended_at + NEARBY),
            ));
            if entry == Some(daemon) {
                events.extend(self.events(
                    daemon,
                    &RELOAD_EVENTS,
                    (trace.started_at - NEARBY, trace.ended_at),
                ));
            }
            for event_id in STATE_EVENTS {
                events.extend(
                    self.events(daemon, &[event_id], (UnixMicros::MIN, trace.started_at)).last(),
                );
                events.extend(self.events(
                    daemon,
                    &[event_id],
                    (trace.started_at + 1, trace.ended_at),
                ));
            }
        }
        events.sort_by_key(|event| event.time);
        events
    }

    /// The start of the shutdown that a daemon was in at a time.
    pub fn stop(&self, daemon: &str, time: UnixMicros) -> Option<&'a LogEvent> {
        let last = self.events(daemon, &[100, 600], (time - LOOKBACK, time)).last();
        last.filter(|event| event.event_id == 600)
    }

    /// The next start of a daemon after a time, unless a shutdown came before it.
    pub fn unplanned_start(&self, daemon: &str, time: UnixMicros) -> Option<&'a LogEvent> {
        if self.stop(daemon, time).is_some() {
            return None;
        }
        let next = self.events(daemon, &[100, 600], (time, time + LOOKAHEAD)).next();
        next.filter(|event| event.event_id == 100)
    }

    /// The first start, leaving or end of a daemon's server around a time range.
    pub fn server_change(
        &self,
        daemon: &str,
        (from, to): (UnixMicros, UnixMicros),
    ) -> Option<&'a LogEvent> {
        self.events(daemon, &[110, 111, 112], (from - NEARBY, to + LOOKAHEAD)).next()
    }
}
