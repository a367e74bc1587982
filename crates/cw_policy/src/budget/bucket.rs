//! One bucket of sends that may be added.

/// A bucket that first tries fill and further sends empty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Bucket {
    level: f64,
}

impl Bucket {
    pub(super) fn full(most: f64) -> Self {
        Self { level: most }
    }

    pub(super) fn fill(&mut self, ratio: f64, most: f64) {
        self.level = (self.level + ratio).min(most);
    }

    pub(super) fn has(&self) -> bool {
        self.level >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.level -= 1.0;
    }
}
