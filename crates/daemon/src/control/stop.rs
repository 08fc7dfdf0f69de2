//! Graceful shutdown: hands over all held slices, then waits for running requests to end.

use std::time::Duration;

use cactushold_admission::Shutdown;

use crate::clock;
use crate::control::Control;
use crate::event::Event;
use crate::log;
use crate::signals::Stop;

/// Interval at which the progress of the shutdown is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after the platform couldn't be told that the instance is leaving.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Control {
    /// Waits for a stop signal, then shuts down. Returns once no work is left or the drain time has
    /// passed.
    pub(super) async fn shut_down_on_signal(&self, mut stop: Stop) {
        let signal = stop.wait().await;
        log!(info, Event::Stopping, incarnation = self.id(), signal);
        let grace = Duration::from_millis(self.shared.settings().limits.drain_ms);
        let shutdown = Shutdown::new(grace, grace, clock::now());
        let limit = shutdown.aborts_at();
        self.shared.leave(shutdown);
        // A platform call may take longer than the time that is left.
        tokio::time::timeout_at(clock::instant(limit), self.hand_over_slices()).await.ok();
        self.shared.stop.send_replace(true);
        while clock::now() < limit && self.has_running_requests() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        log!(info, Event::Stopped, incarnation = self.id());
    }

    async fn hand_over_slices(&self) {
        let mut is_announced = false;
        while !self.granted.borrow().is_empty() {
            if !is_announced {
                match self.announce_leaving().await {
                    Ok(()) => is_announced = true,
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn has_running_requests(&self) -> bool {
        self.shared.open_requests() > 0 || self.shared.guard().pending_requests() > 0
    }
}
