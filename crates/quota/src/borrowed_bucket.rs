//! The borrower's side: a local token bucket that expires with the loan's term.

use std::time::Duration;

use crate::LoanTerms;

/// The part of a bucket that its owner lends to a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Loan {
    /// Tokens per second.
    pub rate: f64,
    /// Depth of the borrowed bucket: the number of tokens that may be saved up.
    pub depth: f64,
    /// Tokens that come with the loan and are added to the borrowed bucket at once.
    pub initial_tokens: f64,
}

/// A part of a workspace's bucket that is borrowed from its owner.
///
/// ```
/// use cactushold_quota::{Loan, BorrowedBucket, LoanTerms};
/// use std::time::Duration;
/// let sent = Duration::from_secs(1);
/// let mut borrowed = BorrowedBucket::default();
/// assert!(!borrowed.take(sent));
/// borrowed.renew(Loan { rate: 10.0, depth: 1.0, initial_tokens: 1.0 }, sent, sent, &LoanTerms::default());
/// assert!(borrowed.take(sent));
/// assert!(!borrowed.take(sent), "the initial token is spent");
/// assert!(borrowed.take(sent + Duration::from_millis(100)), "one was added at the rate");
/// assert!(!borrowed.take(sent + Duration::from_secs(10)), "the term is over");
/// ```
#[derive(Clone, Debug, Default)]
pub struct BorrowedBucket {
    loan: Loan,
    tokens: f64,
    refilled_at: Duration,
    expires_at: Duration,
    /// When the demand behind the current loan was sent.
    demanded_at: Duration,
}

impl BorrowedBucket {
    /// Applies the answer to a demand that was sent at `sent`. It is ignored if a later demand has
    /// already been answered.
    pub fn renew(&mut self, loan: Loan, sent: Duration, now: Duration, terms: &LoanTerms) {
        if sent < self.demanded_at {
            return;
        }
        self.demanded_at = sent;
        self.refill(now);
        self.loan = loan;
        self.expires_at = self.expires_at.max(sent + terms.term);
        self.refilled_at = now;
        self.tokens = (self.tokens + loan.initial_tokens).min(loan.depth);
    }

    /// Takes a token. Returns whether one was available.
    pub fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let is_allowed = now < self.expires_at && self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// The loan in force at `now`, without initial tokens.
    pub fn held(&self, now: Duration) -> Loan {
        if now < self.expires_at {
            Loan { initial_tokens: 0.0, ..self.loan }
        } else {
            Loan::default()
        }
    }

    fn refill(&mut self, now: Duration) {
        if now >= self.expires_at {
            self.tokens = 0.0;
            self.loan = Loan::default();
        }
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.loan.rate * elapsed).min(self.loan.depth);
        self.refilled_at = self.refilled_at.max(now);
    }
}
