//! Log setup.
//!
//! A dedicated thread writes the lines, so that a reader that stalls or goes away blocks no other
//! thread.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactushold_admission::OmittedLines;
use cactushold_config::settings::Format;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::event::Event;
use crate::shared::Shared;

/// Lines buffered for the writer, about a megabyte; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;
/// How often missing lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The log writer; buffered lines are flushed when it is dropped.
pub struct Log {
    lost: ErrorCounter,
    _writer: WorkerGuard,
}

/// Count of lines dropped because the buffer was full.
#[derive(Clone)]
pub struct LostLines(ErrorCounter);

impl LostLines {
    /// Number of lines lost since the start.
    pub fn lines(&self) -> u64 {
        self.0.dropped_lines() as u64
    }
}

/// Starts logging events to standard error at level `info`, or as `RUST_LOG` says.
pub fn start(format: Format) -> Log {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let lost = writer.error_counter();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_target(false);
    match format {
        Format::Text => builder.init(),
        Format::Json => builder.json().flatten_event(true).init(),
    }
    Log { lost, _writer: guard }
}

impl Log {
    /// Returns the counter of lost lines.
    pub fn lost(&self) -> LostLines {
        LostLines(self.lost.clone())
    }
}

/// Periodically logs how many lines are missing from the log. Never returns.
pub async fn report_missing_lines(missing: Rc<MissingLines>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        missing.report();
    }
}

/// Lines missing from the log, lost or left out, and how many of them have been reported.
pub struct MissingLines {
    lost: LostLines,
    shared: Arc<Shared>,
    reported_lost: Cell<u64>,
    reported_omitted: Cell<OmittedLines>,
}

impl MissingLines {
    /// Starts with nothing reported.
    pub fn new(lost: LostLines, shared: Arc<Shared>) -> MissingLines {
        MissingLines {
            lost,
            shared,
            reported_lost: Cell::default(),
            reported_omitted: Cell::default(),
        }
    }

    /// Logs the lines that went missing since the last report.
    pub fn report(&self) {
        let lines = self.lost.lines();
        let reported = self.reported_lost.replace(lines);
        if lines > reported {
            crate::log!(warn, Event::LinesLost, lines = lines - reported);
        }
        let omitted = self.shared.omitted_lines();
        let reported = self.reported_omitted.replace(omitted);
        if omitted != reported {
            let (failed, late) = (omitted.failed - reported.failed, omitted.late - reported.late);
            crate::log!(warn, Event::LinesLeftOut, failed, late);
        }
    }
}
