//! How a leader treats silent members, its own pauses, and a store that doesn't answer it.

use std::time::Duration;

use cactushold_ownership::{
    Heartbeat, HolderId, LEADER_LEASE, LEASE, Leader, Member, Renewal, Table, Time,
};

const SERVICE: &str = "lookup";
const START: Time = Duration::from_secs(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
const HEARTBEAT: Duration = Duration::from_millis(400);
const TICK: Duration = Duration::from_millis(100);
const MEMBERS: [HolderId; 4] = [11, 12, 13, 14];
/// Time within which all keys are divided among the members.
const STARTUP: Duration = Duration::from_secs(3);

fn member(id: HolderId) -> Member {
    let address = ([127, 0, 0, 1], 1_000 + id as u16).into();
    Member {
        instance: id.to_string(),
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        address,
        admin: address,
        serves: true,
    }
}

/// A leader with its table and clock.
struct Session {
    leader: Leader,
    table: Table,
    revision: u64,
    now: Time,
}

impl Session {
    /// A leader whose members hold all keys.
    fn new() -> Session {
        let table = Table { version: 1, term: 1, ..Table::default() };
        let mut leader = Leader::new(START, 1, REPORT_INTERVAL, START);
        leader.reset_announcements();
        for id in MEMBERS {
            leader.announce(id, member(id), START);
        }
        let mut session = Session { leader, table, revision: 1, now: START };
        session.run(STARTUP, &MEMBERS);
        assert_eq!(session.table.services[SERVICE].len(), MEMBERS.len());
        session
    }

    fn send_heartbeat(&mut self, id: HolderId) -> Renewal {
        let heartbeat = Heartbeat { sent: self.now, term: 1, ..Heartbeat::default() };
        self.leader.handle_heartbeat(id, heartbeat, &self.table, self.now)
    }

    /// Stores the next table, if there is one.
    fn revise(&mut self) {
        let services = std::iter::once(SERVICE);
        let next = self.leader.next_table(&self.table, services, |_| true, self.now);
        if let Some((table, _)) = next {
            self.revision += 1;
            self.leader.table_stored(&table, self.revision, self.now);
            self.table = table;
        }
    }

    /// Lets time pass while the leader runs and the `sending` members send heartbeats. Returns the
    /// last answer.
    fn run(&mut self, span: Duration, sending: &[HolderId]) -> Renewal {
        let end = self.now + span;
        let mut sent = Time::ZERO;
        let mut last = Renewal::default();
        while self.now < end {
            if self.now >= sent + HEARTBEAT {
                sent = self.now;
                for id in sending {
                    last = self.send_heartbeat(*id);
                }
            }
            self.leader.table_read(self.revision, self.now);
            self.revise();
            self.now += TICK;
        }
        last
    }

    /// Lets time pass while the leader's process is paused.
    fn pause(&mut self, span: Duration) {
        self.now += span;
    }

    fn holders(&self) -> Vec<HolderId> {
        self.table.services[SERVICE].iter().map(|range| range.holder).collect()
    }
}

/// Pauses shorter and longer than a lease.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(1_200), Duration::from_millis(1_500), Duration::from_millis(4_500)];

#[test]
fn a_leader_that_was_paused_reports_no_silent_members() {
    for pause in PAUSES {
        let mut session = Session::new();
        session.pause(pause);
        for id in MEMBERS {
            assert_eq!(session.send_heartbeat(id).silent, [], "{pause:?}, {id}");
        }
    }
}

#[test]
fn a_leader_that_was_paused_moves_no_range() {
    for pause in PAUSES {
        let mut session = Session::new();
        let before = session.holders();
        session.pause(pause);
        session.leader.table_read(session.revision, session.now);
        session.send_heartbeat(MEMBERS[0]);
        session.revise();
        session.run(Duration::from_secs(5), &MEMBERS);
        assert_eq!(session.holders(), before, "{pause:?}");
    }
}

#[test]
fn a_leader_that_is_paused_repeatedly_reports_no_silent_members() {
    let mut session = Session::new();
    for round in 0..5 {
        session.pause(Duration::from_millis(900));
        session.leader.table_read(session.revision, session.now);
        assert_eq!(session.send_heartbeat(MEMBERS[0]).silent, [], "{round}");
        session.revise();
        session.now += TICK;
    }
}

#[test]
fn a_silent_member_is_reported_while_the_leader_runs() {
    let mut session = Session::new();
    let renewal = session.run(Duration::from_secs(2), &MEMBERS[1..]);
    assert_eq!(renewal.silent, MEMBERS[..1]);
    session.run(LEASE, &MEMBERS[1..]);
    assert!(!session.holders().contains(&MEMBERS[0]), "{:?}", session.holders());
}

#[test]
fn a_member_that_stays_silent_after_the_leader_was_paused_is_reported() {
    for pause in PAUSES {
        let mut session = Session::new();
        session.pause(pause);
        let renewal = session.run(Duration::from_secs(2), &MEMBERS[1..]);
        assert_eq!(renewal.silent, MEMBERS[..1], "{pause:?}");
        session.run(LEASE, &MEMBERS[1..]);
        assert!(!session.holders().contains(&MEMBERS[0]), "{:?}", session.holders());
    }
}

#[test]
fn a_member_that_was_silent_before_the_leader_was_paused_stays_silent() {
    let mut session = Session::new();
    session.run(Duration::from_secs(2), &MEMBERS[1..]);
    session.pause(Duration::from_millis(1_500));
    assert_eq!(session.send_heartbeat(MEMBERS[1]).silent, MEMBERS[..1]);
}

#[test]
fn time_in_the_queue_counts_towards_the_age_of_a_confirmation() {
    let mut session = Session::new();
    let heartbeat = |sent| Heartbeat {
        sent,
        term: 1,
        confirmation_age: Some(Duration::ZERO),
        ..Heartbeat::default()
    };
    // Sent just after the pause began and queued since then: another leader may have been elected.
    let queued = heartbeat(session.now);
    session.pause(LEADER_LEASE + Duration::from_secs(1));
    for id in MEMBERS {
        let renewal =
            session.leader.handle_heartbeat(id, queued.clone(), &session.table, session.now);
        assert_eq!(renewal.lease, Duration::ZERO, "{id}");
    }
    session.now += Duration::from_secs(1);
    let fresh = heartbeat(session.now);
    let renewal = session.leader.handle_heartbeat(MEMBERS[0], fresh, &session.table, session.now);
    assert_eq!(renewal.lease, LEASE);
}

#[test]
fn a_leader_that_is_paused_repeatedly_takes_the_ranges_of_a_member_that_is_gone() {
    for (paused, running) in [(700, 300), (900, 200), (600, 900)] {
        let mut session = Session::new();
        for _ in 0..20 {
            session.pause(Duration::from_millis(paused));
            session.run(Duration::from_millis(running), &MEMBERS[1..]);
        }
        assert!(
            !session.holders().contains(&MEMBERS[0]),
            "{paused} ms paused, {running} ms running"
        );
    }
}

/// Runs rounds of a second in which the leader's read fails and, if `members_reach_store`, the store
/// answers a member. Returns whether the leader has to resign in one of them.
fn resigns(session: &mut Session, rounds: u32, members_reach_store: bool) -> bool {
    (0..rounds).any(|_| {
        session.now += Duration::from_millis(500);
        let confirmation_age = members_reach_store.then_some(Duration::ZERO);
        let heartbeat =
            Heartbeat { sent: session.now, term: 1, confirmation_age, ..Heartbeat::default() };
        session.leader.handle_heartbeat(MEMBERS[0], heartbeat, &session.table, session.now);
        session.now += Duration::from_millis(500);
        session.leader.read_failed(session.now)
    })
}

#[test]
fn a_leader_resigns_if_the_store_answers_members_but_not_the_leader() {
    let mut session = Session::new();
    assert!(!session.leader.read_failed(session.now), "the store may answer again soon");
    assert!(session.leader.must_read_table(session.now));
    session.now += Duration::from_millis(1_200);
    assert!(session.send_heartbeat(MEMBERS[0]).wants_confirmation);
    assert!(resigns(&mut session, 4, true));
}

#[test]
fn a_leader_does_not_resign_while_the_store_answers_nobody() {
    let mut session = Session::new();
    assert!(!resigns(&mut session, 60, false));
}

#[test]
fn a_leader_that_the_store_answers_now_and_then_does_not_resign() {
    let mut session = Session::new();
    for _ in 0..30 {
        assert!(!resigns(&mut session, 1, true));
        session.leader.table_read(session.revision, session.now);
    }
}

#[test]
fn a_leader_whose_last_read_began_before_the_store_recovered_does_not_resign() {
    let mut session = Session::new();
    let asked = session.now;
    session.leader.read_failed(asked);
    for _ in 0..3 {
        assert!(!session.leader.read_failed(asked));
        session.now += Duration::from_secs(1);
        let confirmation_age = Some(Duration::ZERO);
        let heartbeat =
            Heartbeat { sent: session.now, term: 1, confirmation_age, ..Heartbeat::default() };
        session.leader.handle_heartbeat(MEMBERS[0], heartbeat, &session.table, session.now);
    }
    assert!(!session.leader.read_failed(asked));
    session.leader.table_read(session.revision, session.now);
    assert!(!session.leader.must_read_table(session.now));
}

#[test]
fn a_leader_does_not_resign_if_writes_fail_but_reads_are_answered() {
    let mut session = Session::new();
    for _ in 0..10 {
        session.leader.note_store_error();
        assert!(session.leader.must_read_table(session.now));
        session.leader.table_read(session.revision, session.now);
        assert!(!resigns(&mut session, 1, true));
        session.leader.table_read(session.revision, session.now);
    }
}
