//! When a holder reports a range as released.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{Holder, LEASE, Position, Range, Report, Table, Time};

const SERVICE: &str = "lookup";
const START: Time = Duration::from_secs(100);
const LONGEST: Duration = Duration::from_secs(10);
/// Factor by which a span is longer on the slowest clock allowed for a server.
const SLOWEST_CLOCK: f64 = 1.02;

/// A table in which one holder has all keys. It got them from `previous`, unless that is 0.
fn table(version: u64, holder: u64, previous: u64) -> Arc<Table> {
    let range = Range { first: Position::MIN, holder, fence: version, previous };
    let services = BTreeMap::from([(SERVICE.to_owned(), vec![range])]);
    Arc::new(Table { version, services, ..Table::default() })
}

#[test]
fn a_range_is_not_released_until_its_last_grant_has_expired_on_the_slowest_clock() {
    let mut holder = Holder::new(1, SERVICE, table(1, 1, 0), START);
    assert!(holder.apply_renewal(0, 1, START, LEASE));
    let (grants, time) = holder.handle_report(Report::default(), LONGEST, START).expect("a grant");
    assert_eq!(grants.len(), 1);
    holder.update_table(table(2, 2, 1));
    assert_eq!(holder.releases(START + time), []);
    assert_eq!(holder.releases(START + time.mul_f64(SLOWEST_CLOCK)), []);
    assert_eq!(holder.releases(START + LEASE).len(), 1);
}

#[test]
fn a_range_is_released_once_an_answer_omits_it_and_a_later_report_does_not_list_it() {
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
