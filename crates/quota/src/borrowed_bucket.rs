//! The borrower's side: a local token bucket that ends with its term.

use std::time::Duration;

use crate::LoanTerms;

/// What an owner lends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loan {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be saved up; `fresh` of them come with the loan.
    pub depth: f64,
    /// Tokens that come with the loan.
    pub initial_tokens: f64,
}

/// A borrowed part of a workspace's bucket.
///
/// ```
/// use cactushold_quota::{Loan, BorrowedBucket, LoanTerms};
/// use std::time::Duration;
/// let sent = Duration::from_secs(1);
/// let mut share = BorrowedBucket::default();
/// assert!(!share.take(sent));
/// share.renew(Loan { rate: 10.0, depth: 1.0, initial_tokens: 1.0 }, sent, sent, &LoanTerms::default());
/// assert!(share.take(sent));
/// assert!(!share.take(sent), "the initial token is spent");
/// assert!(share.take(sent + Duration::from_millis(100)), "one came in at the rate");
/// assert!(!share.take(sent + Duration::from_secs(10)), "the term is over");
/// ```
#[derive(Clone, Debug, Default)]
pub struct BorrowedBucket {
    loan: Loan,
    tokens: f64,
    updated: Duration,
    until: Duration,
    sent: Duration,
}

impl BorrowedBucket {
    /// Takes up the answer to a demand that was sent at `sent`; one that was overtaken by the
    /// answer to a later demand is ignored.
    pub fn renew(&mut self, loan: Loan, sent: Duration, now: Duration, terms: &LoanTerms) {
        if sent < self.sent {
            return;
        }
        self.sent = sent;
        self.refill(now);
        self.loan = loan;
        self.until = self.until.max(sent + terms.term);
        self.updated = now;
        self.tokens = (self.tokens + loan.initial_tokens).min(loan.depth);
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let allowed = now < self.until && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// What is still lent at `now`.
    pub fn held(&self, now: Duration) -> Loan {
        if now < self.until { Loan { initial_tokens: 0.0, ..self.loan } } else { Loan::default() }
    }

    fn refill(&mut self, now: Duration) {
        if now >= self.until {
            self.tokens = 0.0;
            self.loan = Loan::default();
        }
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + self.loan.rate * elapsed).min(self.loan.depth);
        self.updated = self.updated.max(now);
    }
}
