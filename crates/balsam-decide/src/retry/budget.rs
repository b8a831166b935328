//! The retry budget of a rank.

/// The number of retries that are allowed before any request has added to the budget.
const INITIAL_BALANCE: f64 = 10.0;

/// The maximum balance, so that a long time without retries does not allow a burst of them.
const BALANCE_MAX: f64 = 100.0;

/// A budget to which each request adds a share of a retry, and from which each retry takes one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred requests.
    pub fn new(percent: u64) -> Self {
        Self {
            share: percent as f64 / 100.0,
            balance: if percent == 0 { 0.0 } else { INITIAL_BALANCE },
        }
    }

    /// Changes the share; keeps the balance unless retries are switched off.
    pub fn set_percent(&mut self, percent: u64) {
        self.share = percent as f64 / 100.0;
        if percent == 0 {
            self.balance = 0.0;
        }
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share).min(BALANCE_MAX);
    }

    /// Takes one retry, or returns `false` if the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
