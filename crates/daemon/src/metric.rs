//! Names of the daemon's metrics, and functions that update them.

use std::time::{Duration, SystemTime};

use cactushold_admission::OmittedLines;
use cactushold_attempt::FailureKind;
use cactushold_wire::schema::Document;

/// Requests refused, by kind of failure.
pub const REFUSALS: &str = "cactushold_refusals_total";
/// Retries, by the kind of failure that caused them.
pub const RETRIES: &str = "cactushold_retries_total";
/// Hedges: second attempts sent before the first was answered.
pub const HEDGES: &str = "cactushold_hedges_total";
/// Requests received from callers.
pub const REQUESTS: &str = "cactushold_requests_total";
/// Requests sent to the upstream.
pub const UPSTREAM_REQUESTS: &str = "cactushold_upstream_requests_total";
/// Datagrams sent.
pub const DATAGRAMS_SENT: &str = "cactushold_datagrams_sent_total";
/// Payload bytes of datagrams sent.
pub const DATAGRAM_BYTES: &str = "cactushold_datagram_bytes_total";
/// Calls to the platform.
pub const PLATFORM_CALLS: &str = "cactushold_platform_calls_total";
/// Bytes of documents fetched from peers.
pub const FETCHED_BYTES: &str = "cactushold_fetched_bytes_total";
/// Fetches of documents from peers, by document, origin and outcome.
pub const FETCHES: &str = "cactushold_fetches_total";
/// Configurations put in force, by origin.
pub const CONFIGS: &str = "cactushold_configs_total";
/// Time between hearing of a configuration and having it in force, in milliseconds, by origin.
pub const CONFIG_WAITS: &str = "cactushold_config_wait_milliseconds_total";
/// Slices served.
pub const SLICES_SERVED: &str = "cactushold_slices_served";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "cactushold_config_version";
/// Version of the slice table in force.
pub const TABLE_VERSION: &str = "cactushold_table_version";
/// Parts of the store's objects that this daemon can't read, by object.
pub const UNREADABLE: &str = "cactushold_unreadable";
/// Connections replaced because they went silent, by the kind of the other end.
pub const SILENT_CONNECTIONS: &str = "cactushold_silent_connections_total";
/// CPU time used by control work, in microseconds.
pub const CONTROL_CPU: &str = "cactushold_control_cpu_microseconds_total";

/// Total delay of timers caused by stalls, in milliseconds, by thread.
pub const STALLS: &str = "cactushold_stalled_milliseconds_total";

/// Start time of the process, in seconds since the Unix epoch.
pub const START_TIME: &str = "cactushold_start_time_seconds";

/// Sets the start time of the process, which shows a restart between two scrapes.
pub fn set_start_time(at: SystemTime) {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    metrics::gauge!(START_TIME).set(since_epoch.as_secs_f64());
}

/// Reloads of the settings file, by outcome.
pub const RELOADS: &str = "cactushold_reloads_total";

/// Outcome of a reload of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reload {
    /// The settings in force changed.
    Changed,
    /// The settings in force stayed the same.
    Unchanged,
    /// The file is unreadable or invalid; the earlier settings stay in force.
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

/// Counts a reload of the settings file.
pub fn count_reload(outcome: Reload) {
    metrics::counter!(RELOADS, "outcome" => outcome.name()).increment(1);
}

/// Log lines lost because the reader of the log was too slow.
pub const LINES_LOST: &str = "cactushold_log_lines_lost_total";

/// Sets the number of log lines lost since the start.
pub fn set_lost_lines(lines: u64) {
    metrics::counter!(LINES_LOST).absolute(lines);
}

/// Log lines about requests that were left out by the rate limit, by reason.
pub const LINES_LEFT_OUT: &str = "cactushold_request_lines_left_out_total";

/// Sets the number of request lines left out since the start.
pub fn set_omitted_lines(omitted: OmittedLines) {
    metrics::counter!(LINES_LEFT_OUT, "of" => "failed").absolute(omitted.failed);
    metrics::counter!(LINES_LEFT_OUT, "of" => "late").absolute(omitted.late);
}

/// Counts a refusal.
pub fn count_refusal(kind: FailureKind) {
    metrics::counter!(REFUSALS, "kind" => kind.name()).increment(1);
}

/// Counts a retry.
pub fn count_retry(kind: FailureKind) {
    metrics::counter!(RETRIES, "kind" => kind.name()).increment(1);
}

/// Outcome of a fetch of a document from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// The peer sent content, which may be older than what is in force here.
    Content,
    /// The peer had nothing newer, or couldn't be reached.
    Nothing,
    /// The peer didn't answer in time.
    TimedOut,
}

/// Counts a fetch of a document from a peer.
pub fn count_fetch(document: Document, origin: &'static str, outcome: Fetch) {
    let document = match document {
        Document::Table => "table",
        Document::Config => "config",
    };
    let outcome = match outcome {
        Fetch::Content => "content",
        Fetch::Nothing => "nothing",
        Fetch::TimedOut => "timed-out",
    };
    let labels = [("document", document), ("from", origin), ("outcome", outcome)];
    metrics::counter!(FETCHES, &labels).increment(1);
}

/// Counts a configuration put in force, `waited` after this daemon heard of it.
pub fn count_config(origin: &'static str, waited: Duration) {
    metrics::counter!(CONFIGS, "from" => origin).increment(1);
    metrics::counter!(CONFIG_WAITS, "from" => origin).increment(waited.as_millis() as u64);
}
