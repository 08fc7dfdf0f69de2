//! Sets up the log.
//!
//! Lines are written by a thread of their own: whoever reads them may stall or go away without
//! anybody else waiting for it.

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

/// Lines that may wait to be written, about a megabyte; further ones are lost and counted.
const MAX_WAITING: usize = 4_096;
/// How often lost lines are told.
const TELL_LOST: Duration = Duration::from_secs(5);

/// The log; lines that wait are written when this is dropped.
pub struct Log {
    lost: ErrorCounter,
    _writer: WorkerGuard,
}

/// Counts lines that were lost.
#[derive(Clone)]
pub struct LostLines(ErrorCounter);

impl LostLines {
    /// Lines lost since the start.
    pub fn lines(&self) -> u64 {
        self.0.dropped_lines() as u64
    }
}

/// Logs events to standard error. `RUST_LOG` overrides the level.
pub fn start(format: Format) -> Log {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_WAITING);
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
    /// The count of lost lines.
    pub fn lost(&self) -> LostLines {
        LostLines(self.lost.clone())
    }
}

/// Tells lines that aren't in the log in a line of their own, for as long as the daemon runs.
pub async fn report_missing_lines(missing: Rc<MissingLines>) {
    loop {
        tokio::time::sleep(TELL_LOST).await;
        missing.report();
    }
}

/// Lines that aren't in the log, and how many of them have been told.
pub struct MissingLines {
    lost: LostLines,
    shared: Arc<Shared>,
    told_lost: Cell<u64>,
    told_omitted: Cell<OmittedLines>,
}

impl MissingLines {
    /// Nothing has been told yet.
    pub fn new(lost: LostLines, shared: Arc<Shared>) -> MissingLines {
        MissingLines { lost, shared, told_lost: Cell::default(), told_omitted: Cell::default() }
    }

    /// Tells what hasn't been told.
    pub fn report(&self) {
        let lines = self.lost.lines();
        let told = self.told_lost.replace(lines);
        if lines > told {
            crate::log!(warn, Event::LinesLost, lines = lines - told);
        }
        let omitted = self.shared.omitted_lines();
        let told = self.told_omitted.replace(omitted);
        if omitted != told {
            let (failed, late) = (omitted.failed - told.failed, omitted.late - told.late);
            crate::log!(warn, Event::LinesLeftOut, failed, late);
        }
    }
}
