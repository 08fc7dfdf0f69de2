//! Signals of the operating system.

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process is told to stop.
pub async fn wait_for_stop() {
    let (terminate, interrupt) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
