//! The lives of the servers beside one daemon, and the order of their reports.

use std::collections::VecDeque;

use crate::{LEASE, Time};

/// Earlier lives whose late reports are told apart; more don't start while a report is on its way.
const EARLIER: usize = 16;

/// One life of a server: its identity and the moment of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Incarnation {
    /// Start by the server's clock, in Unix milliseconds. That clock may be set back.
    pub born: u64,
    /// Identity that the server chose.
    pub server: String,
}

/// What a report means for what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOrder {
    /// The known life goes on.
    InOrder,
    /// Another life began; the known one, if any, holds nothing any more.
    NewIncarnation,
    /// It was overtaken by a later one, of this or a later life.
    Stale,
}

/// The latest known life.
#[derive(Clone, Debug)]
pub struct LatestIncarnation {
    /// The life.
    pub incarnation: Incarnation,
    /// When it last reported.
    pub last_report: Time,
    /// Whether its process is known to have ended.
    pub has_ended: bool,
    seq: u64,
}

impl LatestIncarnation {
    /// Whether nothing granted to it can be held: what the answer to its last report granted lasted
    /// for less than a lease, also on its clock.
    fn is_over(&self, now: Time) -> bool {
        self.has_ended || now >= self.last_report + LEASE
    }
}

/// A life that was replaced.
#[derive(Clone, Debug)]
struct Earlier {
    life: Incarnation,
    /// Its latest report, if it was replaced for its silence alone: it may be heard again.
    silent_since: Option<u64>,
}

/// The lives that reported to one process of a daemon.
///
/// A life begins with its first report if it started later than the known one, or if the known one
/// can't hold anything any more. Reports of earlier lives stay late.
///
/// ```
/// use cactushold_ownership::{ReportOrder, LEASE, Incarnation, Incarnations};
/// use std::time::Duration;
/// let life = |born, server: &str| Incarnation { born, server: server.to_owned() };
/// let now = Duration::from_secs(100);
/// let mut lives = Incarnations::default();
/// assert_eq!(lives.record_report(&life(50, "i-1"), 1, now), ReportOrder::NewIncarnation);
/// assert_eq!(lives.record_report(&life(50, "i-1"), 2, now), ReportOrder::InOrder);
/// // The clock was set back before the next life started.
/// assert_eq!(lives.record_report(&life(20, "i-2"), 1, now), ReportOrder::Stale);
/// assert_eq!(lives.record_report(&life(20, "i-2"), 2, now + LEASE), ReportOrder::NewIncarnation);
/// assert_eq!(lives.record_report(&life(50, "i-1"), 3, now + LEASE), ReportOrder::Stale);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    known: Option<LatestIncarnation>,
    earlier: VecDeque<Earlier>,
}

impl Incarnations {
    /// Takes up a life's report, unless it is late, and tells what it means.
    pub fn record_report(&mut self, life: &Incarnation, seq: u64, now: Time) -> ReportOrder {
        let arrival = self.order(life, seq, now);
        match arrival {
            ReportOrder::Stale => {}
            ReportOrder::InOrder => {
                if let Some(known) = &mut self.known {
                    (known.seq, known.last_report) = (seq, now);
                }
            }
            ReportOrder::NewIncarnation => {
                let next = LatestIncarnation {
                    incarnation: life.clone(),
                    last_report: now,
                    has_ended: false,
                    seq,
                };
                if let Some(before) = self.known.replace(next) {
                    self.retire(before, life);
                }
            }
        }
        arrival
    }

    /// The latest known life.
    pub fn latest(&self) -> Option<&LatestIncarnation> {
        self.known.as_ref()
    }

    /// The latest known life, unless its process has ended.
    pub fn running(&self) -> Option<&LatestIncarnation> {
        self.latest().filter(|known| !known.has_ended)
    }

    /// Notes that a life's process has ended; whether that is news of the known life.
    pub fn mark_ended(&mut self, life: &Incarnation) -> bool {
        let known =
            self.known.as_mut().filter(|known| known.incarnation == *life && !known.has_ended);
        known.map(|known| known.has_ended = true).is_some()
    }

    /// When the known life, or nobody, may take the place of the life that an earlier process of
    /// this daemon announced. That one may live and hold what the earlier process granted, unless
    /// this process, which began at `began`, saw it replaced or its successor started later.
    ///
    /// ```
    /// use cactushold_ownership::{LEASE, Incarnation, Incarnations};
    /// use std::time::Duration;
    /// let life = |born, server: &str| Incarnation { born, server: server.to_owned() };
    /// let began = Duration::from_secs(100);
    /// let mut lives = Incarnations::default();
    /// assert_eq!(lives.replaceable_at(&life(50, "i-1"), began), began + LEASE);
    /// lives.record_report(&life(40, "i-0"), 7, began);
    /// assert_eq!(lives.replaceable_at(&life(50, "i-1"), began), began + LEASE);
    /// lives.record_report(&life(50, "i-1"), 3, began);
    /// lives.record_report(&life(60, "i-2"), 1, began);
    /// assert_eq!(lives.replaceable_at(&life(50, "i-1"), began), Duration::ZERO);
    /// ```
    pub fn replaceable_at(&self, announced: &Incarnation, began: Time) -> Time {
        let is_later = self.latest().is_some_and(|known| known.incarnation.born > announced.born);
        let was_replaced = self.earlier.iter().any(|earlier| earlier.life == *announced);
        if is_later || was_replaced { Time::ZERO } else { began + LEASE }
    }

    fn order(&self, life: &Incarnation, seq: u64, now: Time) -> ReportOrder {
        let Some(known) = &self.known else { return ReportOrder::NewIncarnation };
        if known.incarnation == *life {
            let is_next = seq > known.seq && !known.has_ended;
            return if is_next { ReportOrder::InOrder } else { ReportOrder::Stale };
        }
        let begins = match self.earlier.iter().find(|earlier| earlier.life == *life) {
            Some(earlier) => {
                known.is_over(now) && earlier.silent_since.is_some_and(|last| seq > last)
            }
            None => life.born > known.incarnation.born || known.is_over(now),
        };
        if begins { ReportOrder::NewIncarnation } else { ReportOrder::Stale }
    }

    /// Remembers a life that `next` replaced.
    fn retire(&mut self, before: LatestIncarnation, next: &Incarnation) {
        let has_ended = before.has_ended || next.born > before.incarnation.born;
        self.earlier.retain(|earlier| earlier.life != *next);
        self.earlier.truncate(EARLIER - 1);
        let silent_since = (!has_ended).then_some(before.seq);
        self.earlier.push_front(Earlier { life: before.incarnation, silent_since });
    }
}
