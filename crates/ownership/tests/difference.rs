//! Differences of the table lead to the same table as the whole, and never panic on other input.

use cactushold_ownership::{Difference, History, Member, Range, Table, apply_encoded};

const CASES: u64 = 2_000;
/// Versions in a case.
const VERSIONS: u64 = 40;

fn member(random: &mut fastrand::Rng) -> Member {
    let address = ([127, 0, 0, 1], random.u16(1..)).into();
    Member {
        instance: format!("i-{}", random.u8(..20)),
        zone: format!("z-{}", random.u8(..3)),
        service: "s".to_owned(),
        address,
        admin: address,
        serves: random.bool(),
    }
}

/// A later version of a table, with a few changes.
fn next(table: &Table, random: &mut fastrand::Rng) -> Table {
    let mut next = table.clone();
    next.version += 1;
    if random.u8(..10) == 0 {
        next.term += 1;
        next.leader = format!("i-{}", random.u8(..20));
        next.run = random.u64(..);
    }
    for _ in 0..random.u8(..4) {
        let id = random.u64(1..30);
        match random.bool() {
            true => drop(next.members.insert(id, member(random))),
            false => drop(next.members.remove(&id)),
        }
    }
    for _ in 0..random.u8(..3) {
        let service = format!("s-{}", random.u8(..3));
        match random.u8(..6) {
            0 => drop(next.services.remove(&service)),
            1 => next.divide_evenly(&service, &[random.u64(1..30), random.u64(1..30)]),
            2 => next.merge_adjacent(&service),
            _ => {
                let first = random.u16(..);
                next.split_around(&service, first, first.saturating_add(random.u16(..5_000)));
                let fence = next.version;
                let ranges = next.services.get_mut(&service).into_iter().flatten();
                for range in ranges.filter(|range| range.first == first) {
                    *range = Range { holder: random.u64(1..30), fence, ..*range };
                }
            }
        }
    }
    next
}

/// Successive versions of a table.
fn versions(random: &mut fastrand::Rng) -> Vec<Table> {
    let mut tables = vec![Table { version: 1, term: 1, ..Table::default() }];
    for _ in 1..VERSIONS {
        let last = tables.last().expect("the first one");
        tables.push(next(last, random));
    }
    tables
}

#[test]
fn a_difference_leads_from_the_earlier_to_the_later_table() {
    for seed in 0..CASES {
        let mut random = fastrand::Rng::with_seed(seed);
        let tables = versions(&mut random);
        let (old, new) = (random.usize(..tables.len()), random.usize(..tables.len()));
        let (old, new) = (&tables[old.min(new)], &tables[old.max(new)]);
        let difference = Difference::between(old, new);
        let expected = (old.version < new.version).then(|| new.clone());
        assert_eq!(difference.apply(old), expected, "seed {seed}");
    }
}

#[test]
fn a_difference_that_does_not_fit_is_refused() {
    for seed in 0..CASES {
        let mut random = fastrand::Rng::with_seed(seed);
        let tables = versions(&mut random);
        let difference = Difference::between(&tables[10], &tables[11]);
        for table in tables.iter().filter(|table| table.version != tables[10].version) {
            assert_eq!(difference.apply(table), None, "seed {seed}");
        }
    }
}

#[test]
fn a_member_gets_the_newest_table_from_whatever_version_it_has() {
    for seed in 0..CASES {
        let mut random = fastrand::Rng::with_seed(seed);
        let tables = versions(&mut random);
        let mut history = History::default();
        // A provider that missed versions itself.
        let seen: Vec<&Table> = tables.iter().filter(|_| random.u8(..4) > 0).collect();
        for pair in seen.windows(2) {
            history.record(pair[0], pair[1]);
        }
        let newest = seen.last().expect("some");
        let have = if random.bool() { Table::default() } else { tables[random.usize(..5)].clone() };
        let encoded = history.encode_since(have.version, newest);
        assert_eq!(apply_encoded(&encoded, &have).as_ref(), Some(*newest), "seed {seed}");
    }
}

#[test]
fn other_bytes_never_panic() {
    for seed in 0..CASES * 10 {
        let mut random = fastrand::Rng::with_seed(seed);
        let tables = versions(&mut fastrand::Rng::with_seed(seed % 10));
        let mut history = History::default();
        history.record(&tables[10], &tables[11]);
        let mut bytes = history.encode_since(tables[10].version, &tables[11]);
        for _ in 0..random.u8(1..5) {
            let at = random.usize(..bytes.len());
            bytes[at] = random.u8(..);
        }
        bytes.truncate(random.usize(..=bytes.len()));
        if let Some(table) = apply_encoded(&bytes, &tables[10]) {
            table.check(u64::MAX).expect("a valid table");
        }
    }
}

#[test]
fn a_change_costs_its_own_size_at_a_thousand_members() {
    let mut table = Table { version: 1, term: 1, ..Table::default() };
    let mut random = fastrand::Rng::with_seed(1);
    table.members = (1..=1_000).map(|id| (id, member(&mut random))).collect();
    let holders: Vec<u64> = (1..=1_000).collect();
    table.divide_evenly("s", &holders);
    let mut next = table.clone();
    next.version += 1;
    next.members.insert(1_001, member(&mut random));
    next.members.remove(&5);
    next.services.get_mut("s").expect("divided")[4].holder = 1_001;
    let mut history = History::default();
    history.record(&table, &next);
    let (change, whole) =
        (history.encode_since(1, &next).len(), history.encode_since(0, &next).len());
    assert!(change < 200, "{change} bytes");
    assert!(whole < 70 * 1_000, "{whole} bytes");
}
