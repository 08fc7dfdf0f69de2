//! Counters and gauges.

use std::time::SystemTime;

use cactushold_admission::OmittedLines;
use cactushold_attempt::FailureKind;

/// Answers to callers, by kind of refusal.
pub const REFUSALS: &str = "cactushold_refusals_total";
/// Further attempts, by the kind that caused them.
pub const RETRIES: &str = "cactushold_retries_total";
/// Second attempts sent before the first was answered.
pub const HEDGES: &str = "cactushold_hedges_total";
/// Requests received from callers.
pub const REQUESTS: &str = "cactushold_requests_total";
/// Requests sent to the upstream.
pub const UPSTREAM_REQUESTS: &str = "cactushold_upstream_requests_total";
/// Datagrams sent.
pub const DATAGRAMS_SENT: &str = "cactushold_datagrams_sent_total";
/// Bytes of datagrams sent, without headers.
pub const DATAGRAM_BYTES: &str = "cactushold_datagram_bytes_total";
/// Calls to the platform.
pub const PLATFORM_CALLS: &str = "cactushold_platform_calls_total";
/// Bytes of documents fetched from peers.
pub const FETCHED_BYTES: &str = "cactushold_fetched_bytes_total";
/// Slices served.
pub const SLICES_SERVED: &str = "cactushold_slices_served";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "cactushold_config_version";
/// Version of the slice table in force.
pub const TABLE_VERSION: &str = "cactushold_table_version";
/// Silent connections replaced, by what was at the other end.
pub const SILENT_CONNECTIONS: &str = "cactushold_silent_connections_total";
/// Processor time used by control work, in microseconds.
pub const CONTROL_CPU: &str = "cactushold_control_cpu_microseconds_total";

/// Time by which a thread was late for its timers, in milliseconds, by thread.
pub const STALLS: &str = "cactushold_stalled_milliseconds_total";

/// When the process started, in seconds of Unix time.
pub const START_TIME: &str = "cactushold_start_time_seconds";

/// Tells when the process started, so that a restart between two readings is seen.
pub fn set_start_time(at: SystemTime) {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    metrics::gauge!(START_TIME).set(since_epoch.as_secs_f64());
}

/// Settings files reread, by outcome.
pub const RELOADS: &str = "cactushold_reloads_total";

/// What came of rereading the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// Other settings are in force.
    Changed,
    /// They say what was in force.
    Unchanged,
    /// They are unreadable or wrong; the earlier ones hold.
    Refused,
}

impl Reload {
    fn name(self) -> &'static str {
        match self {
            Reload::Changed => "changed",
            Reload::Unchanged => "unchanged",
            Reload::Refused => "refused",
        }
    }
}

/// Counts a reread settings file.
pub fn count_reload(outcome: Reload) {
    metrics::counter!(RELOADS, "outcome" => outcome.name()).increment(1);
}

/// Lines of the log that were lost because its reader was too slow.
pub const LINES_LOST: &str = "cactushold_log_lines_lost_total";

/// Tells how many lines of the log were lost since the start.
pub fn set_lost_lines(lines: u64) {
    metrics::counter!(LINES_LOST).absolute(lines);
}

/// Lines of requests that were left out, by what they were about.
pub const LINES_LEFT_OUT: &str = "cactushold_request_lines_left_out_total";

/// Tells how many lines of requests were left out since the start.
pub fn set_omitted_lines(omitted: OmittedLines) {
    metrics::counter!(LINES_LEFT_OUT, "of" => "failed").absolute(omitted.failed);
    metrics::counter!(LINES_LEFT_OUT, "of" => "late").absolute(omitted.late);
}

/// Counts a refusal.
pub fn count_refusal(kind: FailureKind) {
    metrics::counter!(REFUSALS, "kind" => kind.name()).increment(1);
}

/// Counts a further attempt.
pub fn count_retry(kind: FailureKind) {
    metrics::counter!(RETRIES, "kind" => kind.name()).increment(1);
}
