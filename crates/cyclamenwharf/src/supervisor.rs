//! Supervision of background tasks.

use std::future::Future;
use std::time::Duration;

use log::error;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The delay before a task is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// A node of the supervisor tree, which restarts its tasks when they end and stops them together.
#[derive(Clone, Debug, Default)]
pub struct Supervisor {
    name: String,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Supervisor {
    /// Returns the root of a supervisor tree.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    /// Returns a child node, which stops together with this node.
    #[must_use]
    pub fn child(&self, name: &str) -> Self {
        Self {
            name: format!("{}/{name}", self.name),
            stop: self.stop.child_token(),
            tasks: self.tasks.clone(),
        }
    }

    /// Runs a task until the node stops, and restarts it when it panics or returns. A panic is
    /// logged with the path of the task in the tree, which ends in `name`.
    pub fn supervise<F, T>(&self, name: &str, mut start: F)
    where
        F: FnMut() -> T + Send + 'static,
        T: Future<Output = ()> + Send + 'static,
    {
        let name = format!("{}/{name}", self.name);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            while !stop.is_cancelled() {
                let mut task = tokio::spawn(start());
                tokio::select! {
                    () = stop.cancelled() => task.abort(),
                    result = &mut task => {
                        if let Err(join_error) = result {
                            error!(task = name.as_str(); "a supervised task failed: {join_error}");
                        }
                        tokio::time::sleep(RESTART_DELAY).await;
                    }
                }
            }
        });
    }

    /// Runs a task once, and drops it when the node stops.
    pub fn spawn<T>(&self, task: T)
    where
        T: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Returns the token that is cancelled when the node stops.
    pub fn token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Stops the tasks of this node and of all its descendants.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
