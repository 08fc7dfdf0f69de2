//! Prints the size of the slice table for a number of daemons and the time to compute and encode it:
//! `cargo run --release -p cactushold-placement --example capacity -- 730`.
#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use cactushold_lease::{Incarnation, Peer, Table};
use cactushold_placement::{ClusterView, revise};

const ZONES: u64 = 4;
const SERVERS_PER_SERVICE: u64 = 100;

fn peer(id: Incarnation) -> Peer {
    let address = ([10, 0, (id >> 8) as u8, id as u8], 7_000).into();
    Peer {
        instance: format!("instance-{id}"),
        zone: format!("zone-{}", id % ZONES),
        service: format!("service-{}", id / SERVERS_PER_SERVICE),
        address,
        admin: address,
        leaving: false,
    }
}

/// Confirms all assignments and sponsor sets, as if every member had reported.
fn settle(table: &mut Table, view: &mut ClusterView) {
    for (id, replica) in &table.members {
        view.confirmed_epochs.insert(*id, replica.grant.epoch);
    }
    let held: Vec<_> = table.slices().map(|slice| (slice.id, slice.current.since)).collect();
    for (slice, since) in held {
        table.confirm_assignment(slice, since);
    }
}

fn revise_until_done(table: &mut Table, view: &mut ClusterView) -> (u32, Duration) {
    let (mut rounds, mut longest) = (0, Duration::ZERO);
    loop {
        let started = Instant::now();
        let next = revise(table, view);
        longest = longest.max(started.elapsed());
        let Some(next) = next else { return (rounds, longest) };
        rounds += 1;
        *table = next;
        settle(table, view);
    }
}

fn main() {
    let daemons = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(730);
    let mut view = ClusterView { max_moving_slices: 256, ..ClusterView::default() };
    view.registered = (1..=daemons).map(|id| (id, peer(id))).collect();
    let mut table = Table::default();
    let (rounds, longest) = revise_until_done(&mut table, &mut view);
    let size = serde_json::to_vec(&table).map(|bytes| bytes.len()).unwrap_or(0);
    let slices = table.slices().count();
    println!("{daemons} daemons, {slices} slices, table of {size} bytes");
    println!("first division: {rounds} revisions, longest {} ms", longest.as_millis());
    println!("bytes a slice, members included: {:.1}", size as f64 / slices as f64);

    view.gone.insert(7);
    view.registered.remove(&7);
    let (rounds, longest) = revise_until_done(&mut table, &mut view);
    println!("one loss: {rounds} revisions, longest {} ms", longest.as_millis());

    let started = Instant::now();
    let encoded = serde_json::to_vec(&table).unwrap_or_default();
    let encode = started.elapsed();
    let started = Instant::now();
    let decoded: Result<Table, _> = serde_json::from_slice(&encoded);
    let decode = started.elapsed();
    let is_same = decoded.is_ok_and(|decoded| decoded == table);
    println!("encode {} ms, decode {} ms, same: {is_same}", encode.as_millis(), decode.as_millis());
}
