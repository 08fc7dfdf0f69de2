//! Messages between the members and the leader.

use std::time::Duration;

use crate::{HolderId, Release, Sample, Term, Time, Version};

/// Sent by a member to the leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// The sender's clock when it sent the heartbeat.
    pub sent: Time,
    /// Newest term that the sender knows. It accepts no renewals from earlier terms.
    pub term: Term,
    /// Newest version of the table that the sender knows.
    pub table: Version,
    /// Time since the store confirmed to the sender that this term is current.
    pub confirmation_age: Option<Duration>,
    /// Ranges that the sender's server released.
    pub releases: Vec<Release>,
    /// Incarnations of the sender's server that have ended.
    pub ended: Vec<HolderId>,
    /// Recent load of the sender's server.
    pub sample: Sample,
    /// Time until the next report of the sender's server. Only in the answer to a report can keys
    /// be granted or revoked.
    pub next_report_in: Option<Duration>,
}

/// The leader's answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    /// Copied from the heartbeat: the member's clock when it sent it.
    pub sent: Time,
    /// Duration of the renewed lease; zero if the lease wasn't renewed.
    pub lease: Duration,
    /// Whether the answering process is the leader.
    pub leads: bool,
    /// Whether the member should ask the store to confirm the leader's term.
    pub wants_confirmation: bool,
    /// Members that the leader hasn't heard from recently.
    pub silent: Vec<HolderId>,
}
