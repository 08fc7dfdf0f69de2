//! Limits retries and hedged requests to a fraction of the first attempts.

/// A token bucket for retries and hedged requests that is filled by first attempts.
///
/// ```
/// use cactushold_attempt::RetryBudget;
/// let mut budget = RetryBudget::new(0.5, 1.0);
/// assert!(budget.try_spend(), "the budget starts full");
/// assert!(!budget.try_spend());
/// budget.record_first_attempt();
/// budget.record_first_attempt();
/// assert!(budget.try_spend(), "two first attempts earn one retry");
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget that allows `ratio` further attempts per first attempt and saves up at
    /// most `capacity` of them.
    pub fn new(ratio: f64, capacity: f64) -> RetryBudget {
        RetryBudget { ratio, capacity, tokens: capacity }
    }

    /// Changes the limits. Saved-up attempts are kept up to the new capacity.
    ///
    /// ```
    /// use cactushold_attempt::RetryBudget;
    /// let mut budget = RetryBudget::new(0.5, 3.0);
    /// budget.set_limits(0.5, 1.0);
    /// assert!(budget.try_spend());
    /// assert!(!budget.try_spend());
    /// ```
    pub fn set_limits(&mut self, ratio: f64, capacity: f64) {
        *self = RetryBudget { ratio, capacity, tokens: self.tokens.min(capacity) };
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes one further attempt from the budget. Returns whether it is allowed.
    pub fn try_spend(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
