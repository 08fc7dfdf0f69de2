//! Graceful shutdown: no new callers, then let running requests end.

use std::rc::Rc;
use std::time::Duration;

use cactushold_admission::Shutdown;

use crate::event::Event;
use crate::fleet::Fleet;
use crate::signals::Stop;
use crate::{clock, log};

/// How often progress is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which callers and other daemons learn that this one leaves: readiness is asked each
/// second, and two misses count.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_200);

impl Fleet {
    /// Returns when a signal to stop was obeyed.
    pub(super) async fn shut_down_on_signal(self: &Rc<Self>, mut stop: Stop) {
        let signal = stop.wait().await;
        log!(info, Event::Stopping, incarnation = self.id(), signal);
        let shutdown = Shutdown::new(self.shared.bounds().grace, NOTICE_PERIOD, clock::now());
        self.shared.leave(shutdown);
        // The server beside a machine that is taken away may have ended before.
        tokio::task::spawn_local(Rc::clone(self).check_server_ended());
        self.entry_changed.notify_one();
        self.shared.stop_politely.send_replace(true);
        clock::sleep_until(shutdown.stops_accepting_at()).await;
        self.shared.stop.send_replace(true);
        while clock::now() < shutdown.aborts_at() && self.is_busy() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.resign();
        log!(info, Event::Stopped, incarnation = self.id());
    }

    fn is_busy(&self) -> bool {
        self.shared.open_requests() > 0 || self.shared.guard().busy() > 0
    }
}
