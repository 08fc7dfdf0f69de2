//! Sets up the log.

use cactushold_config::settings::Format;
use tracing_subscriber::EnvFilter;

/// Logs events to standard error. `RUST_LOG` overrides the level.
pub fn start(format: Format) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false);
    match format {
        Format::Text => builder.init(),
        Format::Json => builder.json().flatten_event(true).init(),
    }
}
