//! Rates and bursts that hold across all instances together.
//!
//! One owner keeps a workspace's [`Bucket`] and lends parts of it, rate and depth, to daemons for
//! a term. Lent and kept parts never add up to more than the whole, so that a lost answer, a cut
//! or a lost owner can waste tokens but never mint them.

mod bucket;
mod part;
mod share;
mod terms;

pub use crate::{
    bucket::{ADVANCE, Bucket, Demand, Limits, State},
    part::Part,
    share::{Loan, Share},
    terms::Terms,
};

/// Identifies a borrowing daemon.
pub type Borrower = u64;
