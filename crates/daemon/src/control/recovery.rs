//! Assigns a leader when none is heard: the first one of the cluster, or a replacement after the
//! leader and its possible successors were lost.

use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Slice, Table};
use cactushold_placement::{CONTROL, ClusterView, revise};
use cactushold_platform::{Error, Precondition};

use crate::clock;
use crate::control::Control;
use crate::control::leader::{
    CONFIG_OBJECT, INSTANCE_KIND, LeaderState, TABLE_OBJECT, internal_key,
};

/// Time without a sign of a leader after which the slice table is read from the platform.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Range of the random delay before the platform is read, in milliseconds.
const READ_DELAY_MS: std::ops::Range<u64> = 200..800;

impl Control {
    fn has_recent_leader(&self) -> bool {
        let now = clock::now();
        self.freshness.get().is_some_and(|fresh| now < fresh.current_at + LEADER_SILENCE_LIMIT)
    }

    /// If no leader is heard, reads the platform and stores a table with a new leader where this
    /// daemon is the one to do so.
    ///
    /// # Errors
    ///
    /// The platform can't be reached; without it no leader can be assigned.
    pub(super) async fn recover_leader(self: &Rc<Self>) -> Result<(), Error> {
        if self.has_recent_leader() || self.id() == 0 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(fastrand::u64(READ_DELAY_MS))).await;
        if self.has_recent_leader() {
            return Ok(());
        }
        let object = self.platform.get(internal_key(TABLE_OBJECT)).await?;
        let expected =
            object.as_ref().map_or(Precondition::Absent, |found| Precondition::At(found.revision));
        let stored = object.and_then(|object| serde_json::from_str::<Table>(&object.value).ok());
        if let Some(table) = &stored {
            self.apply_table(table.clone());
        }
        self.read_missing_config().await?;
        let mut state = LeaderState::default();
        state.add_registrations(&self.platform.list(INSTANCE_KIND).await?.objects);
        let table = stored.unwrap_or_default();
        let Some(view) = self.recovery_view(&table, &state) else { return Ok(()) };
        match revise(&table, &view) {
            Some(next) => self.store_table(next, expected).await,
            None => Ok(()),
        }
    }

    async fn read_missing_config(&self) -> Result<(), Error> {
        if self.config.borrow().version == 0
            && let Some(object) = self.platform.get(internal_key(CONFIG_OBJECT)).await?
            && let Ok(config) = serde_json::from_str(&object.value)
        {
            self.apply_config(config);
        }
        Ok(())
    }

    /// Returns the cluster view for assigning a new leader, or `None` unless this daemon should do
    /// so: at least one possible leader is gone, and this daemon is the oldest registered one that
    /// isn't gone. It is enough that one is gone: the other possible leaders may be alive but
    /// unable to take over, because sponsors whose releases they need may be lost as well.
    fn recovery_view(&self, table: &Table, state: &LeaderState) -> Option<ClusterView> {
        let mut gone = state.replaced_incarnations(table);
        gone.extend(self.config.borrow().retired.iter().copied());
        let registered = state.latest_incarnations();
        let oldest = registered.keys().find(|id| !gone.contains(*id));
        if oldest != Some(&self.id()) {
            return None;
        }
        let holders = table.locate(CONTROL, 0).map(Slice::possible_holders);
        let is_lost = holders.is_none_or(|holders| !holders.is_disjoint(&gone));
        is_lost.then(|| ClusterView {
            registered,
            gone,
            max_moving_slices: 0,
            ..ClusterView::default()
        })
    }
}
