//! The log's reader may stall or go away: that costs lines, never a request.

use cactushold_standin::daemon::Reader;
use cactushold_standin::environment::Environment;
use futures::future::join_all;

use crate::cases::{RULING, ask, set_volume, until_logged};

/// Refusals, each with a line; several times what a pipe and the daemon hold.
const REFUSALS: usize = 8_000;
/// Requests at a time.
const CALLERS: usize = 50;

async fn refusals_under(reader: Reader) -> Environment {
    let mut environment = Environment::new().await;
    environment.add_reporting("ruling-1", "a", "ruling").await;
    set_volume(&environment, 0, u32::MAX, u32::MAX).await;
    environment.daemons[0].set_log_reader(reader);
    for _ in 0..REFUSALS / CALLERS {
        for answer in join_all((0..CALLERS).map(|_| ask(&environment, 0, RULING))).await {
            assert_eq!(answer.map(|answer| answer.status.as_u16()), Ok(503));
        }
    }
    assert_eq!(environment.daemons[0].end(), None);
    environment
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_reader_of_the_log_stalls_no_request() {
    let environment = refusals_under(Reader::Stalls).await;
    environment.daemons[0].set_log_reader(Reader::Follows);
    let line = until_logged(&environment, 0, "lines-lost").await;
    assert!(!line.contains("\"lines\":0"), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_of_the_log_that_is_gone_breaks_no_request() {
    refusals_under(Reader::Leaves).await;
}
