//! Scenarios of the lease protocol under a simulated clock, each checking one guarantee.

#[allow(dead_code)]
mod simulation;

use cactushold_lease::Holding;
use simulation::{Action, Deviation, Simulation};

const NODES: usize = 6;

struct Scenario {
    simulation: Simulation,
    transcript: String,
}

impl Scenario {
    fn new() -> Scenario {
        let mut scenario = Scenario {
            simulation: Simulation::new(NODES, Deviation::None),
            transcript: String::new(),
        };
        scenario.record("start");
        scenario
    }

    /// Adds the current holders to the transcript and checks the invariants.
    fn record(&mut self, what: &str) {
        self.transcript += &format!("{what:<44} {}\n", self.simulation.describe());
        assert_eq!(self.simulation.violation(), None, "{}", self.transcript);
    }

    /// Applies an action and records the result.
    fn apply(&mut self, what: &str, action: Action) {
        self.simulation.apply(&action);
        self.record(what);
    }

    /// Advances the time in steps of 20 ms, delivering all messages.
    fn advance(&mut self, what: &str, ms: u16) {
        for _ in 0..ms / 20 {
            self.simulation.apply(&Action::Wait(20));
            self.simulation.apply(&Action::DeliverAll);
            assert_eq!(self.simulation.violation(), None, "{}", self.transcript);
        }
        self.record(what);
    }

    /// Like `advance`, and ends the requests of draining slices at once.
    fn advance_and_drain(&mut self, what: &str, ms: u16) {
        for _ in 0..ms / 20 {
            self.simulation.apply(&Action::Wait(20));
            self.simulation.apply(&Action::DeliverAll);
            self.mark_all_drained();
            assert_eq!(self.simulation.violation(), None, "{}", self.transcript);
        }
        self.record(what);
    }

    fn update_all_tables(&mut self) {
        for node in 0..NODES as u8 {
            self.simulation.apply(&Action::UpdateTable(node));
        }
    }

    fn mark_all_drained(&mut self) {
        for node in 0..NODES as u8 {
            self.simulation.apply(&Action::MarkDrained(node));
        }
    }
}

#[test]
fn a_paused_owner_is_succeeded_and_holds_nothing_when_it_resumes() {
    let mut scenario = Scenario::new();
    scenario.apply("the owner of slice 0 is paused", Action::Pause(0));
    scenario.advance("400 ms later", 400);
    scenario.advance("900 ms later", 500);
    scenario.apply("it resumes", Action::Resume);
    scenario.advance("one second later", 1_000);
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn a_lost_sponsor_interrupts_nothing_but_prevents_takeover_from_its_owner() {
    let mut scenario = Scenario::new();
    scenario.apply("a sponsor of slice 0's owner is lost", Action::Pause(2));
    scenario.advance("two seconds later", 2_000);
    scenario.apply("the owner is lost too", Action::Pause(0));
    scenario.advance("five seconds later", 5_000);
    scenario.apply("the owner is restarted", Action::Restart(0));
    scenario.apply("the sponsor is restarted", Action::Restart(2));
    scenario.apply("the successor is assigned as owner", Action::Assign(0, 1, 1, 4));
    for node in 0..NODES as u8 {
        scenario.simulation.apply(&Action::UpdateTable(node));
    }
    scenario.advance("one second later", 1_000);
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn one_way_partitions_do_not_give_a_slice_two_owners() {
    let mut scenario = Scenario::new();
    scenario.apply("renewals to one sponsor are blocked", Action::Cut(0, 2));
    scenario.advance("two seconds later", 2_000);
    scenario.apply("answers of the other sponsor are blocked", Action::Cut(3, 0));
    scenario.advance("two seconds later", 2_000);
    scenario.apply("all messages pass again", Action::Heal);
    scenario.advance("one second later", 1_000);
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn a_planned_move_waits_for_running_work() {
    let mut scenario = Scenario::new();
    scenario.apply("slice 0 is assigned to node 5", Action::Assign(0, 4, 0, 4));
    for node in 0..NODES as u8 {
        scenario.simulation.apply(&Action::UpdateTable(node));
    }
    scenario.advance("one second later", 1_000);
    scenario.mark_all_drained();
    scenario.record("the running requests have ended");
    scenario.advance("half a second later", 500);
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn an_owner_that_never_learned_of_its_assignment_can_give_it_up() {
    let mut scenario = Scenario::new();
    scenario.apply("the owner of slice 0 is restarted", Action::Restart(0));
    scenario.apply("its successor is assigned as owner", Action::Assign(0, 1, 1, 3));
    scenario.apply("before it gets the table: another owner", Action::Assign(0, 4, 0, 3));
    for node in 0..NODES as u8 {
        scenario.simulation.apply(&Action::UpdateTable(node));
    }
    for _ in 0..20 {
        scenario.simulation.apply(&Action::Wait(20));
        scenario.simulation.apply(&Action::DeliverAll);
        scenario.mark_all_drained();
    }
    scenario.record("400 ms later");
    let holders = scenario.simulation.holders(0);
    assert!(
        matches!(holders[..], [(5, Holding::Serving(_))]),
        "{holders:?}\n{}",
        scenario.transcript
    );
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn an_owner_that_never_learned_of_its_assignment_keeps_it_under_another_successor() {
    let mut scenario = Scenario::new();
    scenario.apply("the owner of slice 0 is restarted", Action::Restart(0));
    scenario.apply("its successor is assigned as owner", Action::Assign(0, 1, 1, 3));
    scenario.apply("before it gets the table: another successor", Action::Assign(0, 1, 2, 3));
    for node in 0..NODES as u8 {
        scenario.simulation.apply(&Action::UpdateTable(node));
    }
    scenario.advance("half a second later", 500);
    let holders = scenario.simulation.holders(0);
    assert!(
        matches!(holders[..], [(2, Holding::Serving(_))]),
        "{holders:?}\n{}",
        scenario.transcript
    );
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn a_slice_given_up_to_a_lost_owner_is_given_up_to_the_next_one_too() {
    let mut scenario = Scenario::new();
    scenario.apply("slice 0 is assigned to node 5", Action::Assign(0, 4, 0, 4));
    scenario.update_all_tables();
    scenario.advance_and_drain("400 ms later", 400);
    scenario.apply("node 5 is restarted", Action::Restart(4));
    scenario.apply("its successor is assigned as owner", Action::Assign(0, 5, 1, 3));
    scenario.update_all_tables();
    scenario.advance_and_drain("one second later", 1_000);
    let holders = scenario.simulation.holders(0);
    assert!(
        matches!(holders[..], [(6, Holding::Serving(_))]),
        "{holders:?}\n{}",
        scenario.transcript
    );
    insta::assert_snapshot!(scenario.transcript);
}

#[test]
fn an_owner_that_abandoned_its_lease_holds_nothing_but_remains_a_sponsor() {
    let mut scenario = Scenario::new();
    scenario.apply("a sponsor of slice 0's owner is paused", Action::Pause(2));
    scenario.apply("the other sponsor is paused", Action::Pause(3));
    scenario.advance("four seconds later", 4_000);
    let now = scenario.simulation.local_time(0);
    assert!(scenario.simulation.nodes[0].member.is_stranded(now), "{}", scenario.transcript);
    scenario.simulation.nodes[0].member.abandon_lease();
    scenario.apply("the lease is abandoned; the sponsors resume", Action::Resume);
    scenario.advance("two seconds later", 2_000);
    assert_eq!(scenario.simulation.nodes[0].member.holdings().len(), 0, "{}", scenario.transcript);
    let lease_id = scenario.simulation.nodes[4].member.own_lease().map(|lease| lease.id());
    assert!(lease_id.is_some(), "node 5, which it sponsors, has a lease");
    let now = scenario.simulation.local_time(4);
    assert!(now < scenario.simulation.nodes[4].member.valid_until(), "{}", scenario.transcript);
    insta::assert_snapshot!(scenario.transcript);
}
