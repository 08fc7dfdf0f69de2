//! How long loans last.

use std::time::Duration;

/// The intervals that owners and borrowers agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// How long a borrower may use a loan, counted from the moment it sent its demand.
    pub term: Duration,
    /// What the owner waits on top before it counts the loan as ended.
    pub margin: Duration,
}

impl Default for LoanTerms {
    fn default() -> LoanTerms {
        LoanTerms { term: Duration::from_secs(4), margin: Duration::from_millis(200) }
    }
}
