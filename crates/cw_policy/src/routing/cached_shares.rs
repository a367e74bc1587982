//! The shares of one prompt that candidates have cached.

/// The maximum number of candidates with a known or assumed share of one prompt.
const MAX_SHARES: usize = 8;

/// The shares of one prompt that candidates have cached, in an array of fixed size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CachedShares {
    items: [Option<(usize, f64)>; MAX_SHARES],
}

impl CachedShares {
    /// Records a candidate's share of the prompt, from 0 to 1, and keeps the larger of two.
    ///
    /// A further candidate is ignored when all slots are taken.
    pub(super) fn add(&mut self, position: usize, share: f64) {
        let slot = self
            .items
            .iter_mut()
            .find(|slot| slot.is_none_or(|item| item.0 == position));
        if let Some(slot) = slot {
            let known = slot.map_or(0.0, |item| item.1);
            *slot = Some((position, share.max(known)));
        }
    }

    /// Returns a candidate's share of the prompt, or zero if none is known.
    pub(super) fn get(&self, position: usize) -> f64 {
        self.items
            .iter()
            .flatten()
            .find(|item| item.0 == position)
            .map_or(0.0, |item| item.1)
    }

    /// Returns whether no share is known.
    pub(super) fn is_empty(&self) -> bool {
        self.items[0].is_none()
    }

    /// Returns the positions of the candidates that have a share.
    pub(super) fn iter(&self) -> impl Iterator<Item = usize> {
        self.items.iter().flatten().map(|item| item.0)
    }
}
