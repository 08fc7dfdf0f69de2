//! Duration of loans.

use std::time::Duration;

/// Durations that the owner of a bucket and its borrowers agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// How long a borrower may use a loan, counted from the time at which it sent its demand.
    pub term: Duration,
    /// How much longer the owner waits before it considers the loan ended.
    pub margin: Duration,
}

impl Default for LoanTerms {
    fn default() -> LoanTerms {
        LoanTerms { term: Duration::from_secs(4), margin: Duration::from_millis(200) }
    }
}
