//! Sessions of the pure machines under an explicit clock, one promise each.

#[allow(dead_code)]
mod world;

use cactushold_lease::Holding;
use world::{Action, Deviation, World};

const NODES: usize = 6;

struct Session {
    world: World,
    text: String,
}

impl Session {
    fn new() -> Session {
        let mut session =
            Session { world: World::new(NODES, Deviation::None), text: String::new() };
        session.note("start");
        session
    }

    fn note(&mut self, what: &str) {
        self.text += &format!("{what:<44} {}\n", self.world.describe());
        assert_eq!(self.world.violation(), None, "{}", self.text);
    }

    fn act(&mut self, what: &str, action: Action) {
        self.world.apply(&action);
        self.note(what);
    }

    /// Lets time pass in small steps with all messages delivered.
    fn pass(&mut self, what: &str, ms: u16) {
        for _ in 0..ms / 20 {
            self.world.apply(&Action::Wait(20));
            self.world.apply(&Action::DeliverAll);
            assert_eq!(self.world.violation(), None, "{}", self.text);
        }
        self.note(what);
    }

    /// Lets time pass while whatever drains ends at once.
    fn pass_draining(&mut self, what: &str, ms: u16) {
        for _ in 0..ms / 20 {
            self.world.apply(&Action::Wait(20));
            self.world.apply(&Action::DeliverAll);
            self.drain_everything();
            assert_eq!(self.world.violation(), None, "{}", self.text);
        }
        self.note(what);
    }

    fn spread_table(&mut self) {
        for node in 0..NODES as u8 {
            self.world.apply(&Action::Table(node));
        }
    }

    fn drain_everything(&mut self) {
        for node in 0..NODES as u8 {
            self.world.apply(&Action::Drained(node));
        }
    }
}

#[test]
fn a_frozen_owner_is_succeeded_and_holds_nothing_when_it_wakes() {
    let mut session = Session::new();
    session.act("the owner of slice 0 freezes", Action::Pause(0));
    session.pass("400 ms later", 400);
    session.pass("900 ms later", 500);
    session.act("it wakes", Action::Resume);
    session.pass("one second later", 1_000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_lost_sponsor_interrupts_nothing_and_a_lost_owner_with_it_is_not_guessed_about() {
    let mut session = Session::new();
    session.act("a sponsor of slice 0's owner is lost", Action::Pause(2));
    session.pass("two seconds later", 2_000);
    session.act("the owner is lost as well", Action::Pause(0));
    session.pass("five seconds later", 5_000);
    session.act("the processes are replaced", Action::Restart(0));
    session.act("... both of them", Action::Restart(2));
    session.act("the leader names the successor as owner", Action::Assign(0, 1, 1, 4));
    for node in 0..NODES as u8 {
        session.world.apply(&Action::Table(node));
    }
    session.pass("one second later", 1_000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn one_way_cuts_do_not_give_a_slice_two_owners() {
    let mut session = Session::new();
    session.act("the owner's renewals don't reach one sponsor", Action::Cut(0, 2));
    session.pass("two seconds later", 2_000);
    session.act("the other sponsor's answers don't come back", Action::Cut(3, 0));
    session.pass("two seconds later", 2_000);
    session.act("all cuts heal", Action::Heal);
    session.pass("one second later", 1_000);
    insta::assert_snapshot!(session.text);
}

#[test]
fn a_planned_move_waits_for_running_work() {
    let mut session = Session::new();
    session.act("slice 0 is assigned to node 5", Action::Assign(0, 4, 0, 4));
    for node in 0..NODES as u8 {
        session.world.apply(&Action::Table(node));
    }
    session.pass("one second later", 1_000);
    session.drain_everything();
    session.note("the running work has ended");
    session.pass("half a second later", 500);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_owner_that_never_learned_of_its_assignment_can_give_it_up() {
    let mut session = Session::new();
    session.act("the owner of slice 0 is replaced", Action::Restart(0));
    session.act("its successor is named owner", Action::Assign(0, 1, 1, 3));
    session.act("and before it learns that, another one", Action::Assign(0, 4, 0, 3));
    for node in 0..NODES as u8 {
        session.world.apply(&Action::Table(node));
    }
    for _ in 0..20 {
        session.world.apply(&Action::Wait(20));
        session.world.apply(&Action::DeliverAll);
        session.drain_everything();
    }
    session.note("400 ms later");
    let holders = session.world.holders(0);
    assert!(matches!(holders[..], [(5, Holding::Serving(_))]), "{holders:?}\n{}", session.text);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_owner_that_never_learned_of_its_assignment_keeps_it_under_another_successor() {
    let mut session = Session::new();
    session.act("the owner of slice 0 is replaced", Action::Restart(0));
    session.act("its successor is named owner", Action::Assign(0, 1, 1, 3));
    session.act("and before it learns that, its successor", Action::Assign(0, 1, 2, 3));
    for node in 0..NODES as u8 {
        session.world.apply(&Action::Table(node));
    }
    session.pass("half a second later", 500);
    let holders = session.world.holders(0);
    assert!(matches!(holders[..], [(2, Holding::Serving(_))]), "{holders:?}\n{}", session.text);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_owner_that_gave_a_slice_up_to_a_lost_one_gives_it_up_to_the_next_as_well() {
    let mut session = Session::new();
    session.act("slice 0 is assigned to node 5", Action::Assign(0, 4, 0, 4));
    session.spread_table();
    session.pass_draining("400 ms later", 400);
    session.act("node 5 is replaced", Action::Restart(4));
    session.act("its successor is named owner", Action::Assign(0, 5, 1, 3));
    session.spread_table();
    session.pass_draining("one second later", 1_000);
    let holders = session.world.holders(0);
    assert!(matches!(holders[..], [(6, Holding::Serving(_))]), "{holders:?}\n{}", session.text);
    insta::assert_snapshot!(session.text);
}

#[test]
fn an_owner_that_gave_its_lease_up_holds_nothing_but_goes_on_as_a_sponsor() {
    let mut session = Session::new();
    session.act("both sponsors of slice 0's owner freeze", Action::Pause(2));
    session.act("... the other one as well", Action::Pause(3));
    session.pass("four seconds later", 4_000);
    let now = session.world.local(0);
    assert!(session.world.nodes[0].member.is_stranded(now), "{}", session.text);
    session.world.nodes[0].member.abandon_lease();
    session.act("it gave its lease up; they wake", Action::Resume);
    session.pass("two seconds later", 2_000);
    assert_eq!(session.world.nodes[0].member.holdings().len(), 0, "{}", session.text);
    let number = session.world.nodes[4].member.own_lease().map(|owner| owner.lease_id());
    assert!(number.is_some(), "node 5, which it sponsors, holds its lease");
    let now = session.world.local(4);
    assert!(now < session.world.nodes[4].member.valid_until(), "{}", session.text);
    insta::assert_snapshot!(session.text);
}
