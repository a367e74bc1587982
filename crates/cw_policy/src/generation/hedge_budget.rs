//! The budget of hedges.

/// The share of requests that may be hedged in the long run.
const FRACTION: f64 = 0.1;

/// The most hedges that may follow each other without requests between them.
const BURST: f64 = 20.0;

/// How many hedges may still be sent: a fraction of the requests of one entry.
///
/// When many targets are lost at once, all their generations resume, but only so many twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeBudget {
    left: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { left: BURST }
    }
}

impl HedgeBudget {
    /// Counts one request.
    pub fn on_request(&mut self) {
        self.left = (self.left + FRACTION).min(BURST);
    }

    /// Takes one hedge out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
