//! Concurrent and repeated patches to a configuration.

use cactushold_config::{Config, Operation, Patch, Refusal};

fn zone_patch(id: &str, base: u64, name: &str, out: bool) -> Patch {
    let operations = vec![Operation::SetZone { name: name.to_owned(), out }];
    Patch { id: id.to_owned(), base, operations }
}

#[test]
fn concurrent_operators_never_overwrite_each_other() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut config = Config::default();
        let mut seen_versions = [0; 3];
        let mut accepted = 0;
        for step in 0..60 {
            let operator = random.usize(..3);
            if random.bool() {
                seen_versions[operator] = config.version;
            }
            let patch =
                zone_patch(&format!("p{step}"), seen_versions[operator], "z", random.bool());
            match config.with_patch(&patch) {
                Ok(next) => {
                    assert_eq!(seen_versions[operator], config.version);
                    assert_eq!(next.version, config.version + 1);
                    accepted += 1;
                    assert_eq!(next.with_patch(&patch).as_ref(), Ok(&next), "idempotent");
                    config = next;
                }
                Err(Refusal::Stale { current, changes }) => {
                    assert_eq!(current, config.version);
                    assert_eq!(changes.len() as u64, config.version - seen_versions[operator]);
                }
                Err(other) => panic!("{other}"),
            }
        }
        assert_eq!(config.version, accepted);
    }
}

#[test]
fn a_patch_is_applied_atomically() {
    let config = Config::default();
    let mut patch = zone_patch("a", 0, "z", true);
    patch.operations.push(Operation::RemoveWorkspace { name: "nobody".to_owned() });
    assert!(matches!(config.with_patch(&patch), Err(Refusal::Invalid { .. })));
    assert_eq!(config.version, 0);
}

#[test]
fn recorded_changes_are_bounded() {
    let mut config = Config::default();
    for version in 0..300 {
        let patch = zone_patch(&format!("p{version}"), version, "z", version % 2 == 0);
        config = config.with_patch(&patch).expect("a valid patch");
    }
    assert_eq!(config.changes.len(), 200);
    assert_eq!(config.version_of_patch("p299"), Some(300));
}
