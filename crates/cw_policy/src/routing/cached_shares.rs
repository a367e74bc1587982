//! How much of a prompt some candidates have cached.

/// The most candidates whose caches are known or guessed for one prompt.
const SHARES_MAX: usize = 8;

/// How much of a prompt some candidates have cached, without allocation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Shares {
    items: [Option<(usize, f64)>; SHARES_MAX],
}

impl Shares {
    /// Adds that a candidate has a share of the prompt; of two shares the greater one counts.
    pub(super) fn add(&mut self, at: usize, share: f64) {
        let slot = self
            .items
            .iter_mut()
            .find(|slot| slot.is_none_or(|item| item.0 == at));
        if let Some(slot) = slot {
            let known = slot.map_or(0.0, |item| item.1);
            *slot = Some((at, share.max(known)));
        }
    }

    /// Returns the share of the prompt that a candidate has.
    pub(super) fn get(&self, at: usize) -> f64 {
        self.items
            .iter()
            .flatten()
            .find(|item| item.0 == at)
            .map_or(0.0, |item| item.1)
    }

    /// Returns whether nothing is known.
    pub(super) fn is_empty(&self) -> bool {
        self.items[0].is_none()
    }

    /// Returns the candidates.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> {
        self.items.iter().flatten().map(|item| item.0)
    }
}
