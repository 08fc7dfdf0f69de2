//! Prints the size of a table, and of what its changes send, for a number of members.

use std::io::Write as _;

use cactushold_ownership::{History, Member, Table};

/// Servers per member of keyed services, and ranges per server.
const KEYED_FRACTION: f64 = 0.37;
const RANGES_PER_SERVER: u64 = 4;

fn member(id: u64) -> Member {
    let address = ([10, (id >> 8) as u8, id as u8, 7], 7_440).into();
    Member {
        instance: format!("sidecar-bayanzurkh-{id}"),
        zone: "bayanzurkh".to_owned(),
        service: "ziti35a".to_owned(),
        address,
        admin: address,
        serves: true,
    }
}

fn table(members: u64) -> Table {
    let mut table = Table { version: members * 2, term: 1, ..Table::default() };
    table.members = (1..=members).map(|id| (id, member(id))).collect();
    let servers = (members as f64 * KEYED_FRACTION) as u64;
    let ranges: Vec<u64> = (0..servers * RANGES_PER_SERVER).map(|n| n % servers + 1).collect();
    table.divide_evenly("ziti35a", &ranges);
    table.divide_evenly("_quota", &(1..=members).collect::<Vec<_>>());
    table
}

fn deflated(bytes: &[u8]) -> usize {
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(bytes).expect("written to memory");
    encoder.finish().expect("written to memory").len()
}

fn sent(old: &Table, new: &Table) -> usize {
    let mut history = History::default();
    history.record(old, new);
    deflated(&history.encode_since(old.version, new))
}

fn main() {
    let mut out = std::io::stdout();
    writeln!(out, "members  JSON  whole, sent  one join  one loss  a tenth rejoined").ok();
    for members in [30, 100, 295, 730, 943] {
        let old = table(members);
        let next = || Table { version: old.version + 1, ..old.clone() };
        let (mut join, mut loss, mut many) = (next(), next(), next());
        join.members.insert(members + 1, member(members + 1));
        loss.members.remove(&3);
        for range in loss.services.values_mut().flatten().filter(|range| range.holder == 3) {
            (range.holder, range.fence) = (4, old.version + 1);
        }
        for id in 1..=members / 10 {
            let replaced = many.members.remove(&id).expect("a member");
            many.members.insert(members + id, replaced);
            for range in many.services.values_mut().flatten().filter(|r| r.holder == id) {
                (range.holder, range.fence) = (members + id, old.version + 1);
            }
        }
        let json = serde_json::to_vec(&old).expect("encodes").len();
        let whole = deflated(&History::default().encode_since(0, &old));
        let [join, loss, many] = [join, loss, many].map(|new| sent(&old, &new));
        writeln!(out, "{members:7} {json:6} {whole:11} {join:9} {loss:9} {many:17}").ok();
    }
}
