//! The supervisor tree.

use std::future::Future;
use std::time::Duration;

use log::error;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The pause before a failed task is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// A node of the supervisor tree: it restarts its tasks when they fail and stops them together.
#[derive(Clone, Debug, Default)]
pub struct Supervisor {
    name: String,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Supervisor {
    /// Returns the root of a tree.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    /// Returns a child, which stops when its parent does.
    #[must_use]
    pub fn child(&self, name: &str) -> Self {
        Self {
            name: format!("{}/{name}", self.name),
            stop: self.stop.child_token(),
            tasks: self.tasks.clone(),
        }
    }

    /// Runs a task until the tree stops; a task that panics or returns is started again.
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
                    end = &mut task => {
                        if let Err(fault) = end {
                            error!(task = name.as_str(); "a supervised task failed: {fault}");
                        }
                        tokio::time::sleep(RESTART_PAUSE).await;
                    }
                }
            }
        });
    }

    /// Runs a task once; it is dropped when the tree stops.
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

    /// Returns the token that is cancelled when the tree stops.
    pub fn token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Stops this node and everything below it.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
