//! Messages between members. Each fits in a datagram and may be lost, delayed or duplicated.

use crate::{ConfigVersion, Incarnation, LeaseId, SliceId, TableVersion, Time};

/// The newest table and configuration versions known to a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KnownVersions {
    /// Newest version of the slice table.
    pub table: TableVersion,
    /// Newest version of the configuration.
    pub config: ConfigVersion,
}

impl KnownVersions {
    /// Returns the newer version of each kind.
    ///
    /// ```
    /// use cactushold_lease::KnownVersions;
    /// let a = KnownVersions { table: 3, config: 1 };
    /// let b = KnownVersions { table: 2, config: 5 };
    /// assert_eq!(a.merge(b), KnownVersions { table: 3, config: 5 });
    /// ```
    pub fn merge(self, other: KnownVersions) -> KnownVersions {
        KnownVersions { table: self.table.max(other.table), config: self.config.max(other.config) }
    }
}

/// One message of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Owner to sponsor: renew the lease.
    Renew {
        /// Lease to renew.
        lease: LeaseId,
        /// The lease's other sponsor.
        other_sponsor: Incarnation,
        /// Owner's clock when the renewal was sent.
        sent: Time,
        /// Newest versions known to the owner.
        known: KnownVersions,
    },
    /// Sponsor to owner: the lease was renewed.
    Renewed {
        /// Lease that was renewed.
        lease: LeaseId,
        /// `sent` of the renewal.
        sent: Time,
        /// Newest versions that the sponsor will report when it releases the lease.
        known: KnownVersions,
    },
    /// Sponsor to successors and leader: the lease has expired here and a release may be
    /// requested.
    Lapsed {
        /// Lease that expired.
        lease: LeaseId,
        /// The lease's other sponsor.
        other_sponsor: Incarnation,
    },
    /// Successor or leader to sponsor: release the lease permanently.
    RequestRelease {
        /// Lease to release.
        lease: LeaseId,
    },
    /// Sponsor: the lease is released permanently.
    Released {
        /// Lease that was released.
        lease: LeaseId,
        /// Newest versions known to the sponsor when it released the lease.
        known: KnownVersions,
    },
    /// New holder to previous holder: give up the slice, which the table assigns to the sender.
    Claim {
        /// Slice claimed.
        slice: SliceId,
        /// Table version of the assignment.
        since: TableVersion,
    },
    /// Previous holder: the sender doesn't hold the slice under any table version up to `since`
    /// and never will.
    Yielded {
        /// Slice that was given up.
        slice: SliceId,
        /// Table version of the newest assignment for which it was given up.
        since: TableVersion,
    },
}

/// A message with its sender and receiver. A receiver ignores messages for other incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Sender.
    pub from: Incarnation,
    /// Receiver.
    pub to: Incarnation,
    /// Payload.
    pub message: Message,
}
