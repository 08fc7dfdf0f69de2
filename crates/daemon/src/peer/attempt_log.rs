//! Log lines for attempts that another daemon forwarded and that failed after reaching the
//! upstream.

use cactushold_admission::LogReason;
use cactushold_lease::Time;
use cactushold_platform::http::ATTEMPT_ID;

use crate::event::Event;
use crate::exchange::{Answer, Progress, Request};
use crate::ingress::{LINE_OVERHEAD, escaped_len, truncated};
use crate::shared::Shared;
use crate::{clock, log};

/// Kind that is logged for an attempt that the forwarding daemon no longer waits for.
const ABANDONED: &str = "abandoned";

/// Logs the failure of a forwarded attempt. Dropped before [`AttemptLog::finish`], it logs that the
/// forwarding daemon ended the call or is gone.
pub struct AttemptLog<'a> {
    shared: &'a Shared,
    request: &'a Request,
    arrived: Time,
    /// When the upstream received the request.
    pub progress: Progress,
    is_finished: bool,
}

impl<'a> AttemptLog<'a> {
    /// Starts with a request that arrived at `now`.
    pub fn new(shared: &'a Shared, request: &'a Request, now: Time) -> AttemptLog<'a> {
        AttemptLog {
            shared,
            request,
            arrived: now,
            progress: Progress::default(),
            is_finished: false,
        }
    }

    /// Ends the attempt with the answer that the forwarding daemon receives.
    pub fn finish(mut self, answer: &Answer) {
        self.is_finished = true;
        if let Err(refusal) = answer
            && refusal.is_sent
        {
            self.write(refusal.kind.name(), &refusal.detail, clock::now());
        }
    }

    fn write(&self, kind: &str, detail: &str, now: Time) {
        if !self.shared.try_log_request(LogReason::Failed) {
            return;
        }
        let view = self.shared.view();
        let (request, age) = (self.request, |at: Time| now.saturating_sub(at).as_millis() as u64);
        let attempt = request.headers.get(ATTEMPT_ID).and_then(|value| value.to_str().ok());
        let slice = request.key.and_then(|key| view.table.locate(&request.service, key));
        let fields = [attempt.unwrap_or_default(), &request.path, &request.service];
        let method = request.method.as_str();
        let fields = fields.into_iter().chain([request.workspace.as_str(), method, kind, detail]);
        self.shared.record_log_bytes(
            LINE_OVERHEAD + fields.map(|text| escaped_len(truncated(text))).sum::<usize>(),
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

impl Drop for AttemptLog<'_> {
    fn drop(&mut self) {
        if !self.is_finished && self.progress.handed_at().is_some() {
            self.write(ABANDONED, "the daemon that asked ended the call or is gone", clock::now());
        }
    }
}
