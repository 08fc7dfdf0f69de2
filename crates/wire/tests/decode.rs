//! Datagrams survive the way there and back, and nothing that arrives makes the decoder fail.

use std::time::Duration;

use cactushold_lease::{Known, Message, Number};
use cactushold_wire::{Body, Datagram};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 5_000;

fn message(g: &mut Gen, from: u64, to: u64, known: Known) -> Message {
    let epoch = u32::arbitrary(g);
    let sent = Duration::from_micros(u64::arbitrary(g) >> 20);
    let other = u64::arbitrary(g);
    let number = Number { owner: u64::arbitrary(g), epoch };
    let (slice, since) = (u32::arbitrary(g), u64::arbitrary(g));
    match u8::arbitrary(g) % 7 {
        0 => Message::Renew { number: Number { owner: from, epoch }, other, sent, known },
        1 => Message::Renewed { number: Number { owner: to, epoch }, sent, known },
        2 => Message::Lapsed { number, other },
        3 => Message::Ask { number },
        4 => {
            let known = Known { table: u64::arbitrary(g), config: u64::arbitrary(g) };
            Message::Released { number, known }
        }
        5 => Message::Claim { slice, since },
        _ => Message::Yielded { slice, since },
    }
}

fn datagram(seed: u64) -> Datagram {
    let g = &mut Gen::from_size_and_seed(100, seed);
    let (from, to) = (u64::arbitrary(g), u64::arbitrary(g));
    let known = Known { table: u64::arbitrary(g), config: u64::arbitrary(g) };
    let sent = Duration::from_micros(u64::arbitrary(g) >> 20);
    let body = match u8::arbitrary(g) % 4 {
        0 => Body::Probe(sent),
        1 => Body::Probed(sent),
        _ => Body::Lease(message(g, from, to, known)),
    };
    Datagram { from, to, known, config_age: None, body }
}

#[test]
fn every_datagram_comes_back_as_it_was() {
    for seed in 0..CASES {
        let datagram = datagram(seed);
        let decoded = Datagram::decode(&datagram.encode()).expect("a valid datagram");
        assert_eq!(decoded, datagram, "seed {seed}");
    }
}

#[test]
fn a_datagram_never_looks_fresher_than_it_is() {
    for micros in [0, 1, 999, 1_000, 1_500_000] {
        let config_age = Some(Duration::from_micros(micros));
        let datagram = Datagram { config_age, ..datagram(1) };
        let decoded = Datagram::decode(&datagram.encode()).expect("a valid datagram");
        let decoded_age = decoded.config_age;
        assert!(decoded_age >= config_age, "{decoded_age:?} for {config_age:?}");
    }
}

#[test]
fn mutilated_datagrams_are_refused_or_read_but_never_crash() {
    let mut refused = 0;
    for seed in 0..CASES {
        let mut bytes = datagram(seed).encode();
        let mut random = fastrand::Rng::with_seed(seed);
        for _ in 0..random.usize(1..6) {
            let at = random.usize(..bytes.len());
            bytes[at] = random.u8(..);
        }
        bytes.truncate(random.usize(..=bytes.len()));
        refused += u64::from(Datagram::decode(&bytes).is_err());
    }
    assert!(refused > CASES / 4, "{refused}");
}
