//! Signals from the attempt table to the tasks of an attempt.

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The signals of an attempt.
#[derive(Debug, Default)]
pub(super) struct AttemptSignals {
    /// Notifies readers of new output or of the end.
    pub(super) output: watch::Sender<()>,
    /// Wakes the runner that waits for space in the output buffer.
    pub(super) resume: Notify,
    /// Stops the runner of the attempt.
    pub(super) abort: CancellationToken,
}
