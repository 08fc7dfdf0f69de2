//! What members and the leader tell each other.

use std::time::Duration;

use crate::{HolderId, Release, Sample, Term, Time};

/// What a member tells the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// Reading of the sender's clock.
    pub sent: Time,
    /// Newest term known to the sender: it takes renewals of no earlier one.
    pub term: Term,
    /// Age of the store's word that the sender's newest term is in force.
    pub confirmation_age: Option<Duration>,
    /// Ranges that the sender's server released.
    pub releases: Vec<Release>,
    /// Incarnations of the server beside the sender that have ended.
    pub ended: Vec<HolderId>,
    /// What its server was asked for lately.
    pub sample: Sample,
    /// Time until its server's next report is due, at which it can be granted or revoked keys.
    pub next_report_in: Option<Duration>,
}

/// What the leader answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    /// The member's reading of its clock when it asked.
    pub sent: Time,
    /// For how long it was renewed; zero if it wasn't.
    pub lease: Duration,
    /// Whether the answering process leads.
    pub leads: bool,
    /// Whether it wants to hear the store's word on its term.
    pub wants_confirmation: bool,
    /// Members not heard lately.
    pub silent: Vec<HolderId>,
}
