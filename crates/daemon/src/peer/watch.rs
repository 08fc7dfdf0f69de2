//! The run of another daemon's request here, told if it ends without an answer to that daemon.

use cactushold_admission::LogReason;
use cactushold_lease::Time;
use cactushold_platform::http::ATTEMPT_ID;

use crate::event::Event;
use crate::exchange::{Answer, Progress, Request};
use crate::ingress::{LINE_OVERHEAD, escaped_len, truncated};
use crate::shared::Shared;
use crate::{clock, log};

/// What a line says of a run that nobody waits for any more.
const ABANDONED: &str = "abandoned";

/// Watches a run; dropped before its end, the daemon that asked has ended it or is gone.
pub struct Watch<'a> {
    shared: &'a Shared,
    request: &'a Request,
    arrived: Time,
    /// When the upstream got it.
    pub progress: Progress,
    is_over: bool,
}

impl<'a> Watch<'a> {
    /// Watches a request that arrived now.
    pub fn new(shared: &'a Shared, request: &'a Request, now: Time) -> Watch<'a> {
        Watch { shared, request, arrived: now, progress: Progress::default(), is_over: false }
    }

    /// The run is over, and the daemon that asked gets the answer.
    pub fn end(mut self, answer: &Answer) {
        self.is_over = true;
        if let Err(refusal) = answer
            && refusal.is_sent
        {
            self.tell(refusal.kind.name(), &refusal.detail, clock::now());
        }
    }

    fn tell(&self, kind: &str, detail: &str, now: Time) {
        if !self.shared.takes_line(LogReason::Failed) {
            return;
        }
        let view = self.shared.view();
        let (request, age) = (self.request, |at: Time| now.saturating_sub(at).as_millis() as u64);
        let attempt = request.headers.get(ATTEMPT_ID).and_then(|value| value.to_str().ok());
        let slice = request.key.and_then(|key| view.table.locate(&request.service, key));
        let texts = [attempt.unwrap_or_default(), &request.path, &request.service];
        let method = request.method.as_str();
        let texts = texts.into_iter().chain([request.workspace.as_str(), method, kind, detail]);
        self.shared.note_line(
            LINE_OVERHEAD + texts.map(|text| escaped_len(truncated(text))).sum::<usize>(),
        );
        log!(
            info,
            Event::AttemptFailed,
            attempt = attempt.map(truncated),
            request = format!("{:016x}", request.attempt),
            method = truncated(request.method.as_str()),
            path = truncated(&request.path),
            service = truncated(&request.service),
            workspace = truncated(&request.workspace),
            slice = slice.map(|slice| slice.id),
            kind,
            detail = truncated(detail),
            took_ms = age(self.arrived),
            run_ms = self.progress.handed_at().map(age),
            table = view.table.version,
            config = view.config.version
        );
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.is_over && self.progress.handed_at().is_some() {
            self.tell(ABANDONED, "the daemon that asked ended the call or is gone", clock::now());
        }
    }
}
