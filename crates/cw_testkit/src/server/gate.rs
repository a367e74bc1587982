//! The gate that pauses a fake.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

#[derive(Debug, Default)]
struct State {
    closed: bool,
    wakers: Vec<Waker>,
}

/// A gate that all parts of a fake share: while it is closed, none of them makes progress.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

impl Gate {
    /// Pauses everything behind the gate. Sockets stay open.
    pub fn close(&self) {
        self.state.lock().expect("no panic under this lock").closed = true;
    }

    /// Resumes everything behind the gate.
    pub fn open(&self) {
        let mut state = self.state.lock().expect("no panic under this lock");
        state.closed = false;
        state.wakers.drain(..).for_each(Waker::wake);
    }

    /// Polls for the gate to be open, and registers the task to be woken otherwise.
    pub fn poll_open(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.lock().expect("no panic under this lock");
        if !state.closed {
            return Poll::Ready(());
        }
        if !state.wakers.iter().any(|known| known.will_wake(cx.waker())) {
            state.wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Waits until the gate is open.
    pub async fn wait_open(&self) {
        poll_fn(|cx| self.poll_open(cx)).await;
    }
}
