//! Graceful shutdown: stops accepting callers, then waits for running requests to end.

use std::rc::Rc;
use std::time::Duration;

use cactushold_admission::Shutdown;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::signals::Stop;
use crate::{clock, log};

/// Time between two checks whether requests are still running.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time during which callers are still accepted, so that load balancers and other daemons learn of
/// the shutdown: readiness is checked every second, and two failed checks in a row count.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_200);

impl Fleet {
    /// Waits for a signal to stop, and shuts the daemon down.
    pub(super) async fn shut_down_on_signal(self: &Rc<Self>, mut stop: Stop) {
        let signal = stop.wait().await;
        log!(info, Event::Stopping, incarnation = self.id(), signal);
        let shutdown = Shutdown::new(self.shared.bounds().grace, NOTICE_PERIOD, clock::now());
        self.shared.leave(shutdown);
        // If the whole machine is shut down, the server may have ended before the daemon.
        tokio::task::spawn_local(Rc::clone(self).check_server_ended());
        self.entry_changed.notify_one();
        self.shared.close_when_idle.send_replace(true);
        clock::sleep_until(shutdown.stops_accepting_at()).await;
        self.shared.stop.send_replace(true);
        while clock::now() < shutdown.aborts_at() && self.is_busy() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.resign();
        log!(info, Event::Stopped, incarnation = self.id());
    }

    fn is_busy(&self) -> bool {
        self.shared.open_requests() > 0 || self.shared.guard().pending_requests() > 0
    }
}
