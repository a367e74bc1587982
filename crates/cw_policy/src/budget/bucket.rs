//! A token bucket for extra sends.

/// A token bucket that first sends fill and extra sends drain; a token is one extra send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Bucket {
    level: f64,
}

impl Bucket {
    pub(super) fn full(capacity: f64) -> Self {
        Self { level: capacity }
    }

    pub(super) fn fill(&mut self, ratio: f64, capacity: f64) {
        self.level = (self.level + ratio).min(capacity);
    }

    pub(super) fn has_token(&self) -> bool {
        self.level >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.level -= 1.0;
    }
}
