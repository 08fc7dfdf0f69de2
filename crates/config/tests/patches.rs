//! Racing and repeated patches.

use cactushold_config::{Config, Operation, Patch, Refusal};

fn zone(id: &str, base: u64, name: &str, out: bool) -> Patch {
    let operations = vec![Operation::SetZone { name: name.to_owned(), out }];
    Patch { id: id.to_owned(), base, operations }
}

#[test]
fn racing_operators_never_overwrite_each_other() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut config = Config::default();
        let mut seen = [0; 3];
        let mut accepted = 0;
        for step in 0..60 {
            let operator = random.usize(..3);
            if random.bool() {
                seen[operator] = config.version;
            }
            let patch = zone(&format!("p{step}"), seen[operator], "z", random.bool());
            match config.with_patch(&patch) {
                Ok(next) => {
                    assert_eq!(seen[operator], config.version);
                    assert_eq!(next.version, config.version + 1);
                    accepted += 1;
                    assert_eq!(next.with_patch(&patch).as_ref(), Ok(&next), "idempotent");
                    config = next;
                }
                Err(Refusal::Stale { current, changes }) => {
                    assert_eq!(current, config.version);
                    assert_eq!(changes.len() as u64, config.version - seen[operator]);
                }
                Err(other) => panic!("{other}"),
            }
        }
        assert_eq!(config.version, accepted);
    }
}

#[test]
fn a_patch_is_done_wholly_or_not_at_all() {
    let config = Config::default();
    let mut patch = zone("a", 0, "z", true);
    patch.operations.push(Operation::RemoveWorkspace { name: "nobody".to_owned() });
    assert!(matches!(config.with_patch(&patch), Err(Refusal::Invalid { .. })));
    assert_eq!(config.version, 0);
}

#[test]
fn remembered_changes_are_bounded() {
    let mut config = Config::default();
    for version in 0..300 {
        let patch = zone(&format!("p{version}"), version, "z", version % 2 == 0);
        config = config.with_patch(&patch).expect("a good patch");
    }
    assert_eq!(config.changes.len(), 200);
    assert_eq!(config.version_of_patch("p299"), Some(300));
}
