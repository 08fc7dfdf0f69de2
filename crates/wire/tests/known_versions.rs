//! Which documents are newer by the versions that a daemon tells.

use cactushold_wire::schema::Document;
use cactushold_wire::signal::KnownVersions;
use quickcheck::{TestResult, quickcheck};

quickcheck! {
    fn a_newer_table_is_no_newer_configuration(own: (u64, u64, u64), table: u64) -> TestResult {
        let (old_table, config, zones) = own;
        let before = KnownVersions { term: 1, table: old_table, config, zones };
        let after = KnownVersions { term: 2, table, ..before };
        if table <= old_table {
            return TestResult::discard();
        }
        TestResult::from_bool(
            after.has_newer(Document::Table, before) && !after.has_newer(Document::Config, before),
        )
    }

    fn newer_zones_are_a_newer_configuration(own: (u64, u64, u64), zones: u64) -> TestResult {
        let (table, config, old_zones) = own;
        let before = KnownVersions { term: 1, table, config, zones: old_zones };
        let after = KnownVersions { zones, ..before };
        if zones <= old_zones {
            return TestResult::discard();
        }
        TestResult::from_bool(
            after.has_newer(Document::Config, before) && !after.has_newer(Document::Table, before),
        )
    }
}
