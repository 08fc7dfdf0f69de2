//! The successive incarnations of one daemon's server, and the order of their reports.

use std::collections::VecDeque;

use crate::{LEASE, Time};

/// Number of replaced incarnations whose delayed reports are still recognized. A server doesn't
/// restart more often than this while a report is in transit.
const MAX_REPLACED: usize = 16;

/// Identifies one incarnation of a server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Incarnation {
    /// Start time by the server's clock, in Unix milliseconds. That clock may be set back.
    pub born: u64,
    /// Name that the server chose for this incarnation.
    pub server: String,
}

/// How a report relates to the latest incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOrder {
    /// The next report of the latest incarnation.
    InOrder,
    /// The first report of another incarnation. The one known until now, if any, holds nothing any
    /// more.
    NewIncarnation,
    /// A report that was overtaken by a later one of the same or a later incarnation.
    Stale,
}

/// The latest incarnation that has reported.
#[derive(Clone, Debug)]
pub struct LatestIncarnation {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// When its last report arrived.
    pub last_report: Time,
    /// Whether its process is known to have ended.
    pub has_ended: bool,
    seq: u64,
}

impl LatestIncarnation {
    /// Whether all its grants have expired. The answer to its last report granted ranges for less
    /// than a lease, even by a slow clock.
    fn is_over(&self, now: Time) -> bool {
        self.has_ended || now >= self.last_report + LEASE
    }
}

/// An incarnation that was replaced by another one.
#[derive(Clone, Debug)]
struct Replaced {
    incarnation: Incarnation,
    /// Sequence number of its last report if it was replaced only because it was silent: such an
    /// incarnation may come back.
    last_seq_if_silent: Option<u64>,
}

/// The incarnations that have reported to one process of a daemon.
///
/// An incarnation becomes the latest with its first report if it started later than the latest one,
/// or if the latest one can no longer hold anything. Reports of replaced incarnations are stale.
///
/// ```
/// use cactushold_ownership::{Incarnation, Incarnations, LEASE, ReportOrder};
/// use std::time::Duration;
/// let incarnation = |born, server: &str| Incarnation { born, server: server.to_owned() };
/// let (first, second) = (incarnation(50, "i-1"), incarnation(20, "i-2"));
/// let now = Duration::from_secs(100);
/// let mut incarnations = Incarnations::default();
/// assert_eq!(incarnations.record_report(&first, 1, now), ReportOrder::NewIncarnation);
/// assert_eq!(incarnations.record_report(&first, 2, now), ReportOrder::InOrder);
/// // The clock was set back before the second incarnation started.
/// assert_eq!(incarnations.record_report(&second, 1, now), ReportOrder::Stale);
/// assert_eq!(incarnations.record_report(&second, 2, now + LEASE), ReportOrder::NewIncarnation);
/// assert_eq!(incarnations.record_report(&first, 3, now + LEASE), ReportOrder::Stale);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    latest: Option<LatestIncarnation>,
    /// Most recently replaced first.
    replaced: VecDeque<Replaced>,
}

impl Incarnations {
    /// Records a report unless it is stale, and returns how it relates to the latest incarnation.
    /// `seq` is its number among the reports of `incarnation`.
    pub fn record_report(&mut self, incarnation: &Incarnation, seq: u64, now: Time) -> ReportOrder {
        let order = self.order(incarnation, seq, now);
        match order {
            ReportOrder::Stale => {}
            ReportOrder::InOrder => {
                if let Some(latest) = &mut self.latest {
                    (latest.seq, latest.last_report) = (seq, now);
                }
            }
            ReportOrder::NewIncarnation => {
                let next = LatestIncarnation {
                    incarnation: incarnation.clone(),
                    last_report: now,
                    has_ended: false,
                    seq,
                };
                if let Some(before) = self.latest.replace(next) {
                    self.remember(before, incarnation);
                }
            }
        }
        order
    }

    /// The latest incarnation.
    pub fn latest(&self) -> Option<&LatestIncarnation> {
        self.latest.as_ref()
    }

    /// The latest incarnation, unless its process has ended.
    pub fn running(&self) -> Option<&LatestIncarnation> {
        self.latest().filter(|latest| !latest.has_ended)
    }

    /// Records that an incarnation's process has ended. Returns true if this is the latest
    /// incarnation and its end wasn't known.
    pub fn mark_ended(&mut self, incarnation: &Incarnation) -> bool {
        let latest = self
            .latest
            .as_mut()
            .filter(|latest| latest.incarnation == *incarnation && !latest.has_ended);
        latest.map(|latest| latest.has_ended = true).is_some()
    }

    /// When the incarnation that an earlier process of this daemon announced may be replaced by the
    /// latest one, or by none. Until then it may still run and hold what the earlier process
    /// granted. It may be replaced at once if this process, which started at `began`, saw it
    /// replaced, or if the latest one started later.
    ///
    /// ```
    /// use cactushold_ownership::{Incarnation, Incarnations, LEASE};
    /// use std::time::Duration;
    /// let incarnation = |born, server: &str| Incarnation { born, server: server.to_owned() };
    /// let announced = incarnation(50, "i-1");
    /// let began = Duration::from_secs(100);
    /// let mut incarnations = Incarnations::default();
    /// assert_eq!(incarnations.replaceable_at(&announced, began), began + LEASE);
    /// incarnations.record_report(&incarnation(40, "i-0"), 7, began);
    /// assert_eq!(incarnations.replaceable_at(&announced, began), began + LEASE);
    /// incarnations.record_report(&announced, 3, began);
    /// incarnations.record_report(&incarnation(60, "i-2"), 1, began);
    /// assert_eq!(incarnations.replaceable_at(&announced, began), Duration::ZERO);
    /// ```
    pub fn replaceable_at(&self, announced: &Incarnation, began: Time) -> Time {
        let is_later = self.latest().is_some_and(|latest| latest.incarnation.born > announced.born);
        let was_replaced = self.replaced.iter().any(|replaced| replaced.incarnation == *announced);
        if is_later || was_replaced { Time::ZERO } else { began + LEASE }
    }

    fn order(&self, incarnation: &Incarnation, seq: u64, now: Time) -> ReportOrder {
        let Some(latest) = &self.latest else { return ReportOrder::NewIncarnation };
        if latest.incarnation == *incarnation {
            let is_next = seq > latest.seq && !latest.has_ended;
            return if is_next { ReportOrder::InOrder } else { ReportOrder::Stale };
        }
        let replaces = match self.replaced.iter().find(|r| r.incarnation == *incarnation) {
            Some(replaced) => {
                latest.is_over(now) && replaced.last_seq_if_silent.is_some_and(|last| seq > last)
            }
            None => incarnation.born > latest.incarnation.born || latest.is_over(now),
        };
        if replaces { ReportOrder::NewIncarnation } else { ReportOrder::Stale }
    }

    /// Remembers an incarnation that `next` replaced.
    fn remember(&mut self, before: LatestIncarnation, next: &Incarnation) {
        let has_ended = before.has_ended || next.born > before.incarnation.born;
        self.replaced.retain(|replaced| replaced.incarnation != *next);
        self.replaced.truncate(MAX_REPLACED - 1);
        let last_seq_if_silent = (!has_ended).then_some(before.seq);
        self.replaced.push_front(Replaced { incarnation: before.incarnation, last_seq_if_silent });
    }
}
