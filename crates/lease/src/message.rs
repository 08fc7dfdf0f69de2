//! Messages between members. Each fits a datagram, may be lost, delayed or duplicated.

use crate::{ConfigVersion, Incarnation, LeaseId, SliceId, TableVersion, Time};

/// The newest versions that a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct KnownVersions {
    /// Newest slice table.
    pub table: TableVersion,
    /// Newest configuration.
    pub config: ConfigVersion,
}

impl KnownVersions {
    /// Keeps the newer of each pair of versions.
    ///
    /// ```
    /// use cactushold_lease::KnownVersions;
    /// let a = KnownVersions { table: 3, config: 1 };
    /// assert_eq!(a.merge(KnownVersions { table: 2, config: 5 }), KnownVersions { table: 3, config: 5 });
    /// ```
    pub fn merge(self, other: KnownVersions) -> KnownVersions {
        KnownVersions { table: self.table.max(other.table), config: self.config.max(other.config) }
    }
}

/// One message of the lease protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Owner to sponsor: keep my lease.
    Renew {
        /// Lease to keep.
        lease: LeaseId,
        /// The second sponsor under this number.
        other_sponsor: Incarnation,
        /// Reading of the owner's clock at sending.
        sent: Time,
        /// Newest versions known to the owner.
        known: KnownVersions,
    },
    /// Sponsor to owner: kept.
    Renewed {
        /// Lease kept.
        lease: LeaseId,
        /// Echo of the renewal's `sent`.
        sent: Time,
        /// Newest versions that the sponsor now answers for.
        known: KnownVersions,
    },
    /// Sponsor to successor and leader: the lease has run out here and isn't released yet.
    Lapsed {
        /// Lease that ran out.
        lease: LeaseId,
        /// The second sponsor under this number.
        other_sponsor: Incarnation,
    },
    /// Successor or leader to sponsor: release the lease for good.
    RequestRelease {
        /// Lease to release.
        lease: LeaseId,
    },
    /// Sponsor: released for good.
    Released {
        /// Lease released.
        lease: LeaseId,
        /// Newest versions known when it was released.
        known: KnownVersions,
    },
    /// New holder to old holder: give up the slice that the table assigns to me.
    Claim {
        /// Slice claimed.
        slice: SliceId,
        /// Table version of the assignment.
        since: TableVersion,
    },
    /// Old holder: I don't hold the slice under any table up to `since` and never will.
    Yielded {
        /// Slice given up.
        slice: SliceId,
        /// Table version of the assignment that was claimed.
        since: TableVersion,
    },
}

/// A message with its two ends. A receiver ignores what is addressed to another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope {
    /// Sender.
    pub from: Incarnation,
    /// Receiver.
    pub to: Incarnation,
    /// Content.
    pub message: Message,
}
