//! Graceful shutdown: hand over what is owned, then let running requests end.

use std::time::Duration;

use cactushold_admission::Shutdown;

use crate::clock;
use crate::control::Control;
use crate::event::Event;
use crate::log;
use crate::signals::Stop;

/// How often progress is looked for.
const POLL: Duration = Duration::from_millis(20);
/// Pause after an announcement that failed.
const RETRY: Duration = Duration::from_millis(200);

impl Control {
    /// Returns when a signal to stop was obeyed.
    pub(super) async fn until_stopped(&self, mut stop: Stop) {
        let signal = stop.wait().await;
        log!(info, Event::Stopping, incarnation = self.id(), signal);
        let grace = Duration::from_millis(self.shared.settings().limits.drain_ms);
        let shutdown = Shutdown::new(grace, grace, clock::now());
        let limit = shutdown.aborts_at();
        self.shared.leave(shutdown);
        // A call to the store may take longer than there is time.
        tokio::time::timeout_at(clock::instant(limit), self.hand_over()).await.ok();
        self.shared.stop.send_replace(true);
        while clock::now() < limit && self.is_busy() {
            tokio::time::sleep(POLL).await;
        }
        log!(info, Event::Stopped, incarnation = self.id());
    }

    async fn hand_over(&self) {
        let mut is_announced = false;
        while !self.granted.borrow().is_empty() {
            if !is_announced {
                match self.announce_leaving().await {
                    Ok(()) => is_announced = true,
                    Err(_) => tokio::time::sleep(RETRY).await,
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn is_busy(&self) -> bool {
        self.shared.open_requests() > 0 || self.shared.guard().pending_requests() > 0
    }
}
