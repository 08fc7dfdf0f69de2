//! Datagrams round-trip through their encoding, and the decoder never panics on malformed input.

use std::time::Duration;

use cactushold_lease::{KnownVersions, LeaseId, Message};
use cactushold_wire::{Body, Datagram};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 5_000;

fn arbitrary_message(g: &mut Gen, from: u64, to: u64, known: KnownVersions) -> Message {
    let epoch = u32::arbitrary(g);
    let sent = Duration::from_micros(u64::arbitrary(g) >> 20);
    let other = u64::arbitrary(g);
    let number = LeaseId { owner: u64::arbitrary(g), epoch };
    let (slice, since) = (u32::arbitrary(g), u64::arbitrary(g));
    match u8::arbitrary(g) % 7 {
        0 => Message::Renew {
            lease: LeaseId { owner: from, epoch },
            other_sponsor: other,
            sent,
            known,
        },
        1 => Message::Renewed { lease: LeaseId { owner: to, epoch }, sent, known },
        2 => Message::Lapsed { lease: number, other_sponsor: other },
        3 => Message::RequestRelease { lease: number },
        4 => {
            let known = KnownVersions { table: u64::arbitrary(g), config: u64::arbitrary(g) };
            Message::Released { lease: number, known }
        }
        5 => Message::Claim { slice, since },
        _ => Message::Yielded { slice, since },
    }
}

fn arbitrary_datagram(seed: u64) -> Datagram {
    let g = &mut Gen::from_size_and_seed(100, seed);
    let (from, to) = (u64::arbitrary(g), u64::arbitrary(g));
    let known = KnownVersions { table: u64::arbitrary(g), config: u64::arbitrary(g) };
    let sent = Duration::from_micros(u64::arbitrary(g) >> 20);
    let body = match u8::arbitrary(g) % 4 {
        0 => Body::Probe(sent),
        1 => Body::Probed(sent),
        _ => Body::Lease(arbitrary_message(g, from, to, known)),
    };
    Datagram { from, to, known, config_age: None, body }
}

#[test]
fn datagrams_round_trip() {
    for seed in 0..CASES {
        let datagram = arbitrary_datagram(seed);
        let decoded = Datagram::decode(&datagram.encode()).expect("a valid datagram");
        assert_eq!(decoded, datagram, "seed {seed}");
    }
}

#[test]
fn decoding_never_reduces_the_config_age() {
    for micros in [0, 1, 999, 1_000, 1_500_000] {
        let config_age = Some(Duration::from_micros(micros));
        let datagram = Datagram { config_age, ..arbitrary_datagram(1) };
        let decoded = Datagram::decode(&datagram.encode()).expect("a valid datagram");
        assert!(decoded.config_age >= config_age, "{:?} for {config_age:?}", decoded.config_age);
    }
}

#[test]
fn corrupted_datagrams_never_panic_the_decoder() {
    let mut rejected = 0;
    for seed in 0..CASES {
        let mut bytes = arbitrary_datagram(seed).encode();
        let mut random = fastrand::Rng::with_seed(seed);
        for _ in 0..random.usize(1..6) {
            let index = random.usize(..bytes.len());
            bytes[index] = random.u8(..);
        }
        bytes.truncate(random.usize(..=bytes.len()));
        rejected += u64::from(Datagram::decode(&bytes).is_err());
    }
    assert!(rejected > CASES / 4, "only {rejected} of {CASES} rejected");
}
