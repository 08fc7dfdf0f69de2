//! What a holder states as released.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{Holder, LEASE, Position, Range, Report, Table, Time};

const SERVICE: &str = "lookup";
const START: Time = Duration::from_secs(100);
const LONGEST: Duration = Duration::from_secs(10);
/// How much slower a server's clock may run.
const SLOWEST: f64 = 1.02;

/// A table in which one holder has all keys, after another one if `earlier` isn't 0.
fn table(version: u64, holder: u64, earlier: u64) -> Arc<Table> {
    let range = Range { first: Position::MIN, holder, fence: version, previous: earlier };
    let services = BTreeMap::from([(SERVICE.to_owned(), vec![range])]);
    Arc::new(Table { version, services, ..Table::default() })
}

#[test]
fn a_range_is_not_released_while_a_slow_clock_holds_what_was_granted_before_the_reports_stopped() {
    let mut holder = Holder::new(1, SERVICE, table(1, 1, 0), START);
    assert!(holder.apply_renewal(0, 1, START, LEASE));
    let (grants, time) = holder.handle_report(Report::default(), LONGEST, START).expect("a grant");
    assert_eq!(grants.len(), 1);
    holder.update_table(table(2, 2, 1));
    assert_eq!(holder.releases(START + time), []);
    assert_eq!(holder.releases(START + time.mul_f64(SLOWEST)), []);
    assert_eq!(holder.releases(START + LEASE).len(), 1);
}

#[test]
fn a_range_is_released_once_an_answer_left_it_out_and_a_later_report_does_not_list_it() {
    let mut holder = Holder::new(1, SERVICE, table(1, 1, 0), START);
    assert!(holder.apply_renewal(0, 1, START, LEASE));
    let (grants, _) = holder.handle_report(Report::default(), LONGEST, START).expect("a grant");
    holder.update_table(table(2, 2, 1));
    let holds: Vec<_> = grants.iter().map(|grant| grant.hold).collect();
    let (none, _) =
        holder.handle_report(Report { holds, freed: vec![] }, LONGEST, START).expect("none");
    assert_eq!(none, []);
    assert_eq!(holder.releases(START), []);
    holder.handle_report(Report::default(), LONGEST, START);
    assert_eq!(holder.releases(START).len(), 1);
}
