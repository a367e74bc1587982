//! Finds out whether a target that did not answer has crashed, and records what may be the cause.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_policy::forward::Fault;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use log::info;
use log::warn;

use super::forward_context::ForwardContext;
use super::target_connection::ConnectError;
use super::target_connection::TargetConnection;

/// The time from a broken connection to the check. By then the target's other connections have
/// broken too if it has crashed, and its port is closed.
const CHECK_DELAY: Duration = Duration::from_millis(20);

/// The period at which a check waits for another one of the same target.
const WAIT_PERIOD: Duration = Duration::from_millis(5);

/// The maximum number of connection attempts of a check. The second one shows whether a target that
/// broke the first connection has ended.
const CONNECT_ATTEMPTS: u32 = 2;

/// A target that did not answer a request.
pub(super) struct LossCheck {
    pub(super) context: Arc<ForwardContext>,
    pub(super) target: TargetId,
    pub(super) address: SocketAddr,
    /// How the answer was lost.
    pub(super) fault: Fault,
    /// When the request was sent.
    pub(super) sent_at: Time,
}

/// What a check has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    /// The target runs.
    Alive,
    /// The target has ended.
    Crashed,
    /// Neither is certain.
    Unknown,
}

impl LossCheck {
    /// Checks the target, or waits for the end of another check of it.
    pub(super) async fn run(self) {
        if !self
            .context
            .state()
            .checked_targets
            .insert(self.target.clone())
        {
            while self.context.state().checked_targets.contains(&self.target) {
                tokio::time::sleep(WAIT_PERIOD).await;
            }
            return;
        }
        match self.find().await {
            Finding::Alive => self.context.state().crashes.record_alive(&self.target),
            Finding::Crashed => record_crash(&self.context, &self.target, "the connection check"),
            Finding::Unknown => info!(
                target_id = self.target.as_str(),
                fault:? = self.fault;
                "it is not known whether a target that did not answer has crashed"
            ),
        }
        self.context.state().checked_targets.remove(&self.target);
    }

    async fn find(&self) -> Finding {
        tokio::time::sleep(CHECK_DELAY).await;
        if self.has_answered() {
            return Finding::Alive;
        }
        for _ in 0..CONNECT_ATTEMPTS {
            match TargetConnection::connect(self.address).await {
                Ok(connection) => {
                    // A target that is about to end may still have accepted the connection.
                    tokio::time::sleep(CHECK_DELAY).await;
                    if connection.is_ready() {
                        let now = self.context.now();
                        self.context.pool.put(now, &self.target, connection, None);
                        info!(
                            target_id = self.target.as_str();
                            "a target that did not answer accepts connections"
                        );
                        return Finding::Alive;
                    }
                }
                Err(error) if error.is_refused() => return Finding::Crashed,
                Err(ConnectError::Timeout) => return self.find_unreachable(),
                Err(_) => return Finding::Unknown,
            }
        }
        // A target that breaks connections which it has accepted may have too many of them.
        Finding::Unknown
    }

    /// Returns the finding for a target that does not answer a connection attempt: it may have ended,
    /// or this entry may be cut off.
    fn find_unreachable(&self) -> Finding {
        let now = self.context.now();
        match self.context.state().fleet.is_in_contact(now) {
            true => Finding::Crashed,
            false => Finding::Unknown,
        }
    }

    /// Returns whether the target has shown since the loss that it runs, without a new connection.
    fn has_answered(&self) -> bool {
        match self.fault {
            Fault::Broken => self.context.pool.has_ready(&self.target),
            _ => {
                let state = self.context.state();
                state.fleet.has_responded_since(&self.target, self.sent_at)
            }
        }
    }
}

/// Records that a target has crashed, with the requests that this entry had sent to it. `found_by`
/// says in the log how that was found.
pub(super) fn record_crash(context: &ForwardContext, target: &TargetId, found_by: &str) {
    let now = context.now();
    let mut state = context.state();
    let Some(listing) = state
        .fleet
        .listing(target)
        .filter(|listing| !listing.leaving)
    else {
        info!(
            target_id = target.as_str(),
            found_by = found_by;
            "the crash of a target that is leaving or not listed counts against no request"
        );
        return;
    };
    let (incarnation, zone): (_, ZoneId) = (listing.incarnation(), listing.zone.clone());
    let suspects = state.crashes.record_crash(now, target, incarnation, &zone);
    if suspects.is_empty() {
        return;
    }
    context.peer_update.notify_one();
    context.crashes_changed.notify_one();
    let crashes = &state.crashes;
    let on_probation = suspects
        .iter()
        .filter(|suspect| crashes.is_on_probation(**suspect));
    info!(
        target_id = target.as_str(),
        incarnation = incarnation.0,
        zone = zone.as_str(),
        suspects = suspects.len(),
        on_probation = on_probation.count(),
        found_by = found_by;
        "a target crashed with requests in flight"
    );
    for suspect in suspects {
        if crashes.is_on_probation(suspect) {
            warn!(
                suspect = suspect.to_string(),
                crashes = crashes.describe_crashes(now, suspect);
                "requests of a suspect are sent on trial only, or not at all"
            );
        }
    }
}
