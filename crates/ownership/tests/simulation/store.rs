//! A store of one object with a revision and of entries, whose writes can be lost or delayed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactushold_ownership::{HolderId, Incarnation, Table, Time};

/// The outcome of a write as the writer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done(u64),
    Conflict,
    Lost,
}

#[derive(Debug)]
struct LateWrite {
    at: Time,
    expected: u64,
    table: Table,
}

/// The table's object and the members' entries.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    /// Revision of the table.
    table_revision: u64,
    table: Arc<Table>,
    entries: BTreeMap<usize, (HolderId, Incarnation)>,
    ended: Vec<HolderId>,
    late: Vec<LateWrite>,
    /// Whether another writer replaced the table by something that can't be read.
    is_garbled: bool,
    down_until: Time,
    lossy_until: Time,
}

impl Store {
    pub fn table(&self) -> &Table {
        &self.table
    }

    pub fn is_reachable(&self, now: Time) -> bool {
        now >= self.down_until
    }

    pub fn disturb(&mut self, until: Time, random: &mut fastrand::Rng) {
        if random.bool() {
            self.down_until = until;
        } else {
            self.lossy_until = until;
        }
    }

    /// The revision of the table, and the table if it can be read.
    pub fn read(&self) -> (u64, Option<Arc<Table>>) {
        (self.table_revision, (!self.is_garbled).then(|| Arc::clone(&self.table)))
    }

    /// Another writer replaces the table by something that can't be read.
    pub fn garble_table(&mut self) {
        self.revision += 1;
        self.table_revision = self.revision;
        self.is_garbled = true;
    }

    /// Another writer removes an entry, or replaces it by something that can't be read.
    pub fn remove_entry(&mut self, instance: usize) {
        self.entries.remove(&instance);
    }

    /// Writes the entry of an incarnation that was registered before.
    pub fn restore_entry(&mut self, instance: usize, id: HolderId, incarnation: Incarnation) {
        self.entries.insert(instance, (id, incarnation));
    }

    pub fn entries(&self) -> Vec<(usize, HolderId)> {
        self.entries.iter().map(|(instance, (id, _))| (*instance, *id)).collect()
    }

    /// The incarnation that an instance announced.
    pub fn announced(&self, instance: usize) -> Option<(HolderId, &Incarnation)> {
        self.entries.get(&instance).map(|(id, incarnation)| (*id, incarnation))
    }

    /// Records that an incarnation has ended.
    pub fn mark_ended(&mut self, id: HolderId) {
        self.ended.push(id);
    }

    pub fn has_ended(&self, id: HolderId) -> bool {
        self.ended.contains(&id)
    }

    /// Registers an incarnation and returns its ID. The latest one keeps its ID.
    pub fn register(&mut self, instance: usize, incarnation: Incarnation) -> HolderId {
        if let Some((id, known)) = self.entries.get(&instance)
            && *known == incarnation
        {
            return *id;
        }
        self.revision += 1;
        self.entries.insert(instance, (self.revision, incarnation));
        self.revision
    }

    pub fn write(
        &mut self,
        table: Table,
        expected: u64,
        now: Time,
        random: &mut fastrand::Rng,
    ) -> Outcome {
        if now < self.lossy_until {
            match random.u32(..4) {
                0 => {
                    let delay = Duration::from_millis(random.u64(500..6_000));
                    self.late.push(LateWrite { at: now + delay, expected, table });
                    return Outcome::Lost;
                }
                1 => {
                    self.apply(table, expected);
                    return Outcome::Lost;
                }
                2 => return Outcome::Lost,
                _ => {}
            }
        }
        if self.apply(table, expected) {
            Outcome::Done(self.table_revision)
        } else {
            Outcome::Conflict
        }
    }

    fn apply(&mut self, table: Table, expected: u64) -> bool {
        if expected != self.table_revision {
            return false;
        }
        self.revision += 1;
        self.table_revision = self.revision;
        self.table = Arc::new(table);
        self.is_garbled = false;
        true
    }

    pub fn next_late(&self) -> Option<Time> {
        self.late.iter().map(|late| late.at).min()
    }

    pub fn apply_late(&mut self, now: Time) {
        let (due, pending) = std::mem::take(&mut self.late).into_iter().partition(|l| l.at <= now);
        self.late = pending;
        let due: Vec<LateWrite> = due;
        for late in due {
            self.apply(late.table, late.expected);
        }
    }
}
