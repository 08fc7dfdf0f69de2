//! Bounds retries and hedges by a fraction of first attempts.

/// A retry budget: first attempts fill it, further ones empty it.
///
/// ```
/// use cactushold_attempt::RetryBudget;
/// let mut budget = RetryBudget::new(0.5, 1.0);
/// assert!(budget.try_spend(), "the reserve allows one");
/// assert!(!budget.try_spend());
/// budget.record_first_attempt();
/// budget.record_first_attempt();
/// assert!(budget.try_spend(), "two first attempts earn one retry");
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    fraction: f64,
    reserve: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Allows `fraction` further attempts a first one, and `reserve` saved up at most.
    pub fn new(fraction: f64, reserve: f64) -> RetryBudget {
        RetryBudget { fraction, reserve, tokens: reserve }
    }

    /// Changes what is allowed; what was saved up is kept as far as the new reserve goes.
    ///
    /// ```
    /// use cactushold_attempt::RetryBudget;
    /// let mut budget = RetryBudget::new(0.5, 3.0);
    /// budget.set_limits(0.5, 1.0);
    /// assert!(budget.try_spend());
    /// assert!(!budget.try_spend());
    /// ```
    pub fn set_limits(&mut self, fraction: f64, reserve: f64) {
        *self = RetryBudget { fraction, reserve, tokens: self.tokens.min(reserve) };
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.reserve);
    }

    /// Takes one further attempt, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
