//! The retries that a rank may still make.

/// Retries that are allowed before any request has earned one.
const INITIAL_RETRIES: f64 = 10.0;

/// Retries that can be saved up, so that a long calm does not allow a storm of retries.
const SAVED_RETRIES_MAX: f64 = 100.0;

/// A budget that each request adds a share of a retry to.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Makes a budget of `percent` retries for each hundred requests.
    pub fn new(percent: u64) -> Self {
        Self {
            share: percent as f64 / 100.0,
            balance: if percent == 0 { 0.0 } else { INITIAL_RETRIES },
        }
    }

    /// Changes the share and keeps what was saved up, unless retries are switched off.
    pub fn set_percent(&mut self, percent: u64) {
        self.share = percent as f64 / 100.0;
        if percent == 0 {
            self.balance = 0.0;
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.share).min(SAVED_RETRIES_MAX);
    }

    /// Takes one retry, or returns `false` if the budget is spent.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
