//! Rate limits of workspaces that hold across all instances together.
//!
//! One owner keeps a workspace's [`Bucket`] and lends parts of its rate and depth to daemons for a
//! limited term. The lent and remaining parts never add up to more than the whole, so that a lost
//! answer, a network partition or a lost owner can waste tokens but never create any.

mod borrowed_bucket;
mod bucket;
mod even_share;
mod loan_terms;

pub use crate::{
    borrowed_bucket::{BorrowedBucket, Loan},
    bucket::{Bucket, BucketState, Demand, MAX_ADVANCE, RateLimit},
    even_share::EvenShare,
    loan_terms::LoanTerms,
};

/// Identifies a daemon that borrows from a bucket.
pub type BorrowerId = u64;
