//! Rates and bursts that hold across all instances together.
//!
//! One owner keeps a workspace's [`Bucket`] and lends parts of it, rate and depth, to daemons for
//! a term. Lent and kept parts never add up to more than the whole, so that a lost answer, a cut
//! or a lost owner can waste tokens but never mint them.

mod bucket;
mod even_share;
mod borrowed_bucket;
mod loan_terms;

pub use crate::{
    borrowed_bucket::{BorrowedBucket, Loan},
    bucket::{Bucket, BucketState, Demand, MAX_ADVANCE, RateLimit},
    even_share::EvenShare,
    loan_terms::LoanTerms,
};

/// Identifies a borrowing daemon.
pub type BorrowerId = u64;
