//! Signals between the attempt table and the tasks around one attempt.

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Signals of one attempt.
#[derive(Debug, Default)]
pub(super) struct Signal {
    /// Changes when readers should look again.
    pub(super) output: watch::Sender<()>,
    /// Wakes the runner that waits for room.
    pub(super) resume: Notify,
    /// Stops the runner.
    pub(super) abort: CancellationToken,
}
