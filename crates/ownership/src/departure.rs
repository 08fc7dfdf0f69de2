//! Servers that announced that they leave.

use crate::Incarnation;

/// Maximum number of departures that are kept. A server doesn't restart under other names more often
/// than this while an earlier one of its instance still runs.
const MAX_DEPARTURES: usize = 8;

/// The announcement of a server that it leaves. It holds for each incarnation of that name that
/// started up to `born_until`, and for none that starts later.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Departure {
    /// Name of the server.
    pub server: String,
    /// Latest start by the server's clock, in Unix milliseconds.
    pub born_until: u64,
}

impl Departure {
    /// The departure of one incarnation.
    pub fn of(incarnation: &Incarnation) -> Departure {
        Departure { server: incarnation.server.clone(), born_until: incarnation.born }
    }
}

/// The latest departures of the servers of one instance. They are stored, so that a daemon that
/// restarts beside a leaving server sends it nothing.
///
/// ```
/// use cactushold_ownership::{Departure, Departures, Incarnation};
/// let incarnation = |born| Incarnation { born, server: "i-1".to_owned() };
/// let mut departures = Departures::default();
/// departures.record(Departure::of(&incarnation(50)));
/// assert!(departures.covers(&incarnation(50)));
/// assert!(!departures.covers(&incarnation(60)), "the server started again under its name");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Departures(Vec<Departure>);

impl Departures {
    /// Adds a departure. The oldest one is dropped if there are too many.
    pub fn record(&mut self, departure: Departure) {
        match self.0.iter_mut().find(|known| known.server == departure.server) {
            Some(known) => known.born_until = known.born_until.max(departure.born_until),
            None => {
                self.0.push(departure);
                let excess = self.0.len().saturating_sub(MAX_DEPARTURES);
                self.0.drain(..excess);
            }
        }
    }

    /// Adds departures that were recorded before these.
    ///
    /// ```
    /// use cactushold_ownership::{Departure, Departures};
    /// let departure = |server: &str| Departure { server: server.to_owned(), born_until: 7 };
    /// let (mut stored, mut known) = (Departures::default(), Departures::default());
    /// stored.record(departure("i-1"));
    /// known.record(departure("i-2"));
    /// known.add_earlier(&stored);
    /// assert!(known.contains(&departure("i-1")) && known.contains(&departure("i-2")));
    /// ```
    pub fn add_earlier(&mut self, earlier: &Departures) {
        let later = std::mem::replace(&mut self.0, earlier.0.clone());
        later.into_iter().for_each(|departure| self.record(departure));
    }

    /// Whether an incarnation has announced that it leaves.
    pub fn covers(&self, incarnation: &Incarnation) -> bool {
        self.contains(&Departure::of(incarnation))
    }

    /// Whether a departure is known.
    pub fn contains(&self, departure: &Departure) -> bool {
        let includes = |known: &Departure| {
            known.server == departure.server && known.born_until >= departure.born_until
        };
        self.0.iter().any(includes)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
