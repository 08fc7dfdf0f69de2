//! Finds a leader when none is heard: the first one ever, or after all its heirs were lost.

use std::rc::Rc;
use std::time::Duration;

use cactushold_lease::{Slice, Table};
use cactushold_placement::{CONTROL, ClusterView, revise};
use cactushold_platform::{Error, Precondition};

use crate::clock;
use crate::control::Control;
use crate::control::leader::{CONFIG, INSTANCES, Leader, TABLE, own};

/// A leader that isn't heard of for this long is looked for in the platform.
const SILENCE: Duration = Duration::from_secs(2);
/// Bounds of the pause between two looks.
const PAUSE: std::ops::Range<u64> = 200..800;

impl Control {
    fn hears_leader(&self) -> bool {
        let now = clock::now();
        self.fresh.get().is_some_and(|fresh| now < fresh.at + SILENCE)
    }

    /// One look, if no leader is heard. Without the platform there is nothing to be done.
    pub(super) async fn recover(self: &Rc<Self>) -> Result<(), Error> {
        if self.hears_leader() || self.id() == 0 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(fastrand::u64(PAUSE))).await;
        if self.hears_leader() {
            return Ok(());
        }
        let object = self.platform.get(own(TABLE)).await?;
        let expected =
            object.as_ref().map_or(Precondition::Absent, |found| Precondition::At(found.revision));
        let stored = object.and_then(|object| serde_json::from_str::<Table>(&object.value).ok());
        if let Some(table) = &stored {
            self.learn_table(table.clone());
        }
        self.read_config().await?;
        let mut known = Leader::default();
        known.list(&self.platform.list(INSTANCES).await?.objects);
        let table = stored.unwrap_or_default();
        let Some(view) = self.recovery_view(&table, &known) else { return Ok(()) };
        match revise(&table, &view) {
            Some(next) => self.store_table(next, expected).await,
            None => Ok(()),
        }
    }

    async fn read_config(&self) -> Result<(), Error> {
        if self.config.borrow().version == 0
            && let Some(object) = self.platform.get(own(CONFIG)).await?
            && let Ok(config) = serde_json::from_str(&object.value)
        {
            self.learn_config(config);
        }
        Ok(())
    }

    /// What a new leader would know, if this daemon is the one to name it: somebody who might lead
    /// is gone, and no registered daemon is older. Others who might lead may live without the
    /// releases that they need, as sponsors may be lost as well.
    fn recovery_view(&self, table: &Table, known: &Leader) -> Option<ClusterView> {
        let mut gone = known.replaced(table);
        gone.extend(self.config.borrow().retired.iter().copied());
        let registered = known.registered();
        let eldest = registered.keys().find(|id| !gone.contains(*id));
        if eldest != Some(&self.id()) {
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
