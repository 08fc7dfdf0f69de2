//! What may be tried again, what may be said to a caller, and where a request goes.

mod balance;
mod budget;
mod idempotency;
mod kind;
mod percentile;
mod retry;

pub use crate::{
    balance::{Candidate, Choice, Score},
    budget::Budget,
    idempotency::{Entry, Recorded, Records, created_at},
    kind::{Advice, Kind, Ran},
    percentile::Percentile,
    retry::{Backoff, Phase, Verdict, may_retry, outweighs},
};
