//! Limit on the share of calls that may be hedged.

/// Maximum number of unused hedges that are saved, so that a quiet period can't pay for a burst.
const MAX_SAVED_HEDGES: u32 = 10;

/// Price of one hedge; each call adds the percentage of hedges to the balance.
const HEDGE_COST: u32 = 100;

/// Allows hedges for up to a percentage of the calls; unused hedges are saved for a short burst.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    percent: u32,
    balance: u32,
}

impl HedgeBudget {
    /// A budget without saved hedges; `max_percent` is capped at 100.
    pub fn new(max_percent: u8) -> Self {
        HedgeBudget {
            percent: u32::from(max_percent.min(100)),
            balance: 0,
        }
    }

    /// Counts one call that may be hedged.
    pub fn on_call(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_SAVED_HEDGES * HEDGE_COST);
    }

    /// Takes one hedge from the budget if there is one.
    pub fn try_hedge(&mut self) -> bool {
        if self.balance < HEDGE_COST {
            return false;
        }
        self.balance -= HEDGE_COST;
        true
    }
}
