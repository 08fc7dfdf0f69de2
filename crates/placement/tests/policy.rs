//! The placement policy under joins, losses and zones that go out of service.

use std::collections::{BTreeMap, BTreeSet};

use cactushold_lease::{Incarnation, Peer, Table};
use cactushold_placement::{ClusterView, imbalance, moved_share, revise};

const SERVICE: &str = "lookup";
const MAX_REVISIONS: usize = 200;

struct Fleet {
    table: Table,
    view: ClusterView,
    next: Incarnation,
}

fn peer(id: Incarnation) -> Peer {
    let address = ([127, 0, 0, 1], 7_000).into();
    Peer {
        instance: format!("i{id}"),
        zone: format!("z{}", id % 3),
        service: SERVICE.to_owned(),
        address,
        admin: address,
        leaving: false,
    }
}

impl Fleet {
    fn new(servers: Incarnation) -> Fleet {
        let mut fleet = Fleet {
            table: Table::default(),
            view: ClusterView { max_moving_slices: 16, ..ClusterView::default() },
            next: 1,
        };
        (0..servers).for_each(|_| fleet.join());
        fleet.settle();
        fleet
    }

    fn join(&mut self) {
        self.view.registered.insert(self.next, peer(self.next));
        self.next += 1;
    }

    fn lose(&mut self, id: Incarnation) {
        self.view.gone.insert(id);
        self.view.registered.remove(&id);
    }

    /// Revises the table until nothing changes. Every holder reports at once.
    fn settle(&mut self) {
        for _ in 0..MAX_REVISIONS {
            for (id, replica) in &self.table.members {
                self.view.confirmed_epochs.insert(*id, replica.grant.epoch);
            }
            let held: Vec<_> = self.table.slices().map(|s| (s.id, s.current.since)).collect();
            for (slice, since) in held {
                self.table.confirm_assignment(slice, since);
            }
            match revise(&self.table, &self.view) {
                Some(next) => self.table = next,
                None => return,
            }
        }
        panic!("still changing after {MAX_REVISIONS} revisions");
    }

    fn counts(&self) -> BTreeMap<Incarnation, usize> {
        let mut counts = BTreeMap::new();
        for slice in &self.table.services[SERVICE] {
            *counts.entry(slice.current.owner).or_default() += 1;
        }
        counts
    }

    /// Checks that owners, successors and sponsors are live and slices evenly spread.
    fn check(&self) {
        let live: BTreeSet<Incarnation> = self.view.registered.keys().copied().collect();
        for slice in self.table.slices() {
            assert!(live.contains(&slice.current.owner), "{slice:?}");
            assert!(live.contains(&slice.current.successor), "{slice:?}");
            assert_ne!(slice.current.owner, slice.current.successor);
        }
        for id in &live {
            let grant = self.table.members[id].grant;
            assert!(grant.sponsors.iter().all(|s| live.contains(s) && s != id), "{id}: {grant:?}");
            assert_ne!(grant.sponsors[0], grant.sponsors[1]);
        }
        let counts = self.counts();
        let (most, least) = (counts.values().max(), counts.values().min());
        assert!(most.zip(least).is_some_and(|(m, l)| m - l <= 1), "{counts:?}");
    }
}

#[test]
fn random_joins_and_losses_end_balanced_with_live_owners_successors_and_sponsors() {
    for seed in 0..60 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(9);
        for _ in 0..12 {
            let live: Vec<Incarnation> = fleet.view.registered.keys().copied().collect();
            match random.u8(..3) {
                0 => fleet.join(),
                1 if live.len() > 5 => fleet.lose(live[random.usize(..live.len())]),
                _ => {
                    fleet.lose(live[random.usize(..live.len())]);
                    fleet.join();
                }
            }
            fleet.settle();
            fleet.check();
        }
    }
}

#[test]
fn slices_of_a_lost_server_go_to_many_others() {
    let mut fleet = Fleet::new(30);
    let owned: Vec<_> = fleet.table.services[SERVICE]
        .iter()
        .filter(|slice| slice.current.owner == 7)
        .map(|slice| slice.current.successor)
        .collect();
    let successors: BTreeSet<Incarnation> = owned.iter().copied().collect();
    assert!(successors.len() * 2 >= owned.len().min(20), "{successors:?}");
    fleet.lose(7);
    fleet.settle();
    fleet.check();
}

#[test]
fn sponsors_are_in_other_zones_and_evenly_spread() {
    let fleet = Fleet::new(30);
    let mut counts: BTreeMap<Incarnation, usize> = BTreeMap::new();
    for (id, replica) in &fleet.table.members {
        for sponsor in replica.grant.sponsors {
            *counts.entry(sponsor).or_default() += 1;
            assert_ne!(fleet.table.members[&sponsor].peer.zone, replica.peer.zone, "{id}");
        }
        let zones = replica.grant.sponsors.map(|s| fleet.table.members[&s].peer.zone.clone());
        assert_ne!(zones[0], zones[1]);
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 4, "{counts:?}");
}

#[test]
fn churn_stays_near_the_minimum() {
    for servers in [9, 30] {
        let mut fleet = Fleet::new(servers);
        let before = fleet.table.clone();
        fleet.join();
        fleet.settle();
        let joined = moved_share(&before, &fleet.table, SERVICE);
        let least = 1.0 / (servers + 1) as f64;
        assert!(joined <= least * 1.5, "join of {servers}: {joined} against {least}");
        let before = fleet.table.clone();
        fleet.lose(2);
        fleet.settle();
        let lost = moved_share(&before, &fleet.table, SERVICE);
        let least = 1.0 / (servers + 1) as f64;
        assert!(lost <= least * 1.7, "loss of {servers}: {lost} against {least}");
        let found = imbalance(&fleet.table, SERVICE).expect("slices");
        assert!(found.max_over_mean < 1.35, "{found:?}");
    }
}

#[test]
fn no_more_slices_move_at_the_same_time_than_allowed() {
    let mut fleet = Fleet::new(9);
    fleet.view.zones_out.insert("z1".to_owned());
    let next = revise(&fleet.table, &fleet.view).expect("moves");
    let moving = next.slices().filter(|slice| slice.previous.is_some());
    let owner_changes = moving
        .filter(|s| s.previous.is_some_and(|p| p.assignment.owner != s.current.owner))
        .count();
    assert!(owner_changes <= fleet.view.max_moving_slices, "{owner_changes}");
}
