//! Which incarnations a departure holds for, and which departures are kept.

use cactushold_ownership::{Departure, Departures, Incarnation};

fn departure(server: &str, born_until: u64) -> Departure {
    Departure { server: server.to_owned(), born_until }
}

fn incarnation(server: &str, born: u64) -> Incarnation {
    Incarnation { born, server: server.to_owned() }
}

#[test]
fn a_departure_holds_for_its_incarnation_and_no_later_one() {
    let mut departures = Departures::default();
    departures.record(departure("a", 50));
    assert!(departures.covers(&incarnation("a", 50)));
    assert!(!departures.covers(&incarnation("a", 51)), "a later start under the same name");
    assert!(!departures.covers(&incarnation("b", 50)), "another server");
}

#[test]
fn an_earlier_departure_does_not_shorten_a_later_one() {
    let mut departures = Departures::default();
    departures.record(departure("a", 50));
    departures.record(departure("a", 40));
    assert!(departures.covers(&incarnation("a", 50)));
}

#[test]
fn stored_departures_are_older_than_recorded_ones() {
    let mut stored = Departures::default();
    (0..20).for_each(|at| stored.record(departure(&format!("s{at}"), at)));
    let mut departures = Departures::default();
    departures.record(departure("now", 7));
    departures.add_earlier(&stored);
    assert!(departures.contains(&departure("now", 7)), "the latest one is kept");
    assert!(
        departures.contains(&departure("s19", 19)) && !departures.contains(&departure("s0", 0))
    );
    let before = departures.clone();
    departures.add_earlier(&before);
    assert_eq!(departures, before, "what is stored already needs no further write");
}
