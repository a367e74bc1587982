//! When a process that ends closes a connection on which no request is in progress.

use std::time::Duration;

use cw_types::Time;

/// How long nothing must have come before the connection is closed. A caller that has just connected, or has just read an answer,
/// sends its request meanwhile.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// The pause before the next look at a connection on which bytes wait to be read.
const READ_PAUSE: Duration = Duration::from_millis(5);

/// The longest time for which a connection stays open because of bytes that are no whole request.
const MAX_READ_TIME: Duration = Duration::from_secs(1);

/// What a process does next with a connection that is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseStep {
    /// Serve the connection for this long, and look again.
    Serve(Duration),
    /// Close it after the request in progress, if there is one.
    Close,
}

/// When a process that ends closes a connection.
///
/// Bytes that the process has not read, or of which it has not made a request yet, are of a caller that waits for an answer. On a
/// busy host they may have been in the socket for long.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionClose {
    since: Time,
    quiet_since: Time,
}

impl ConnectionClose {
    /// Begins to close a connection.
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            quiet_since: now,
        }
    }

    /// Returns the next step. `has_bytes` says whether bytes have come that belong to no request in progress.
    pub fn next_step(&mut self, now: Time, has_bytes: bool) -> CloseStep {
        if has_bytes {
            self.quiet_since = now;
        }
        if now.since(self.since) >= MAX_READ_TIME {
            return CloseStep::Close;
        }
        match has_bytes {
            true => CloseStep::Serve(READ_PAUSE),
            false if now.since(self.quiet_since) >= QUIET_TIME => CloseStep::Close,
            false => CloseStep::Serve(now.until(self.quiet_since + QUIET_TIME)),
        }
    }
}
