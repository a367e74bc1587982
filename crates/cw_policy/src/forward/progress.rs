//! How far a request has come.

/// How far a request has come.
///
/// A request that is new is refused early, so that its caller can go elsewhere in time. One that was accepted is waited for:
/// its caller cannot begin again without losing what it has. Each wait and each end of a request goes by this.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// It has not been sent.
    #[default]
    New,
    /// It has been sent, and its caller has no part of an answer.
    Sent,
    /// Its caller has the beginning of a stream from an earlier try, and takes it up.
    TakenUp,
    /// A part of the answer has been passed on.
    Begun,
}

impl Progress {
    /// Returns whether the caller has a part of the answer.
    pub fn has_part(self) -> bool {
        matches!(self, Progress::TakenUp | Progress::Begun)
    }
}
