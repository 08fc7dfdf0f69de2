//! The leader's placement policy: which keys move, and to which server.

use std::collections::BTreeSet;
use std::time::Duration;

use cactushold_ownership::{
    HolderId, PlanContext, ReportSchedule, Sample, Server, Table, Traffic, plan,
};

const SERVICE: &str = "lookup";
const INTERVAL: Duration = Duration::from_millis(1_500);

fn server(id: HolderId, pressure: f64, next_report_ms: u64) -> Server {
    let next = Duration::from_millis(next_report_ms);
    let reports = Some(ReportSchedule { next, interval: INTERVAL });
    Server { id, pressure, rate: pressure * 30.0, reports }
}

/// Plans once for servers that hold equal parts and whose samples match their rates.
fn planned(servers: &[Server]) -> Table {
    let mut table = Table { version: 1, ..Table::default() };
    let holders: Vec<HolderId> = servers.iter().map(|server| server.id).collect();
    table.divide_evenly(SERVICE, &holders);
    table.version = 2;
    let spans: Vec<_> = table.spans(SERVICE).collect();
    let samples = spans.iter().zip(servers).map(|((range, last), server)| Sample {
        rate: server.rate,
        pressure: server.pressure,
        positions: (0..40).map(|index| range.first + (last - range.first) / 40 * index).collect(),
    });
    let samples: Vec<Sample> = samples.collect();
    let traffic = Traffic::new(samples.iter());
    plan(&mut table, SERVICE, servers, &traffic, &PlanContext::default(), true);
    table
}

/// The servers that get keys of `from`.
fn receivers(table: &Table, from: HolderId) -> BTreeSet<HolderId> {
    let moved = table.spans(SERVICE).filter(|(range, _)| range.previous == from);
    moved.map(|(range, _)| range.holder).collect()
}

#[test]
fn keys_of_an_overloaded_server_go_to_the_one_that_reports_soonest_after_the_release() {
    // Server 1 learns of the move in the answer to its report at 200 ms and releases at 450 ms.
    let servers = [server(1, 1.0, 200), server(2, 0.2, 400), server(3, 0.25, 500)];
    assert_eq!(receivers(&planned(&servers), 1), BTreeSet::from([3]));
}

#[test]
fn a_server_with_clearly_lower_pressure_gets_the_keys_whenever_it_reports() {
    let servers = [server(1, 1.0, 200), server(2, 0.1, 400), server(3, 0.6, 500)];
    assert_eq!(receivers(&planned(&servers), 1), BTreeSet::from([2]));
}

#[test]
fn keys_stay_while_requests_hardly_wait() {
    let servers = [server(1, 0.8, 200), server(2, 0.1, 400), server(3, 0.1, 500)];
    assert_eq!(receivers(&planned(&servers), 1), BTreeSet::new());
}
