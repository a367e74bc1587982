//! Asks for the trials of requests that may crash their targets, and ends them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_types::HostId;
use cw_wire::Suspect;
use cw_wire::TrialAction;
use cw_wire::TrialAnswer;
use cw_wire::TrialCall;
use cw_wire::TrialEnd;
use http::Method;
use http::StatusCode;
use log::info;
use tokio::runtime::Handle;

use super::exchange_driver::millis;
use super::forward_context::ForwardContext;
use super::peer_api::TRIAL_PATH;

/// Whether and how a request may be sent, by the crashes at which it was in flight.
pub(super) enum SuspectAdmission {
    /// As any other.
    Free,
    /// On trial.
    Trial(TrialGuard),
    /// Not now, since another trial of it is in progress.
    Busy,
    /// Not any more.
    Refused,
}

impl SuspectAdmission {
    /// Returns the name for the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            SuspectAdmission::Free => "free",
            SuspectAdmission::Trial(_) => "trial",
            SuspectAdmission::Busy => "busy",
            SuspectAdmission::Refused => "refused",
        }
    }
}

/// An entry that counts the trials of a suspect.
#[derive(Clone, Debug)]
enum Keeper {
    /// This entry.
    Own,
    /// Another one, with the address at which it answers.
    Other(HostId, SocketAddr),
}

/// A trial in progress. It ends when the guard is dropped.
pub(super) struct TrialGuard {
    context: Arc<ForwardContext>,
    keeper: Keeper,
    pub(super) suspect: Suspect,
    /// How the trial has ended, if it ended now.
    pub(super) end: TrialEnd,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let call = self
            .context
            .trial_call(self.suspect, TrialAction::End(self.end));
        match self.keeper.clone() {
            Keeper::Own => {
                answer_trial(&self.context, &call);
            }
            Keeper::Other(host, address) => {
                // A process that stops has no runtime any more, and its trials end by their time.
                if let Ok(runtime) = Handle::try_current() {
                    let context = Arc::clone(&self.context);
                    runtime.spawn(async move { ask(&context, &host, address, &call).await });
                }
            }
        }
    }
}

impl ForwardContext {
    fn trial_call(&self, suspect: Suspect, action: TrialAction) -> TrialCall {
        TrialCall {
            suspect,
            holder: self.settings.host.clone(),
            action,
        }
    }

    /// Returns the entries that may count the trials of a suspect, in the order in which they are asked. This
    /// one comes last in any case: a request is not held up because others do not answer.
    fn trial_keepers(&self, suspect: Suspect) -> Vec<Keeper> {
        let now = self.now();
        let state = self.state();
        let addresses = state.entry_list.others(now);
        let keepers = state.fleet.trial_keepers(suspect).into_iter();
        let keepers = keepers.filter_map(|host| match host {
            None => Some(Keeper::Own),
            Some(host) => {
                let address = addresses.get(host)?;
                Some(Keeper::Other(host.clone(), *address))
            }
        });
        keepers.chain([Keeper::Own]).collect()
    }
}

/// Begins a trial of a suspect, which takes no longer than `longest`.
pub(super) async fn begin_trial(
    context: &Arc<ForwardContext>,
    suspect: Suspect,
    longest: Duration,
) -> SuspectAdmission {
    let call = context.trial_call(suspect, TrialAction::Begin(longest));
    for keeper in context.trial_keepers(suspect) {
        let answer = match &keeper {
            Keeper::Own => Some(answer_trial(context, &call)),
            Keeper::Other(host, address) => ask(context, host, *address, &call).await,
        };
        match answer {
            Some(TrialAnswer::Granted) => {
                return SuspectAdmission::Trial(TrialGuard {
                    context: Arc::clone(context),
                    keeper,
                    suspect,
                    end: TrialEnd::NotRun,
                });
            }
            Some(TrialAnswer::Busy) => return SuspectAdmission::Busy,
            Some(TrialAnswer::Refused) => return SuspectAdmission::Refused,
            None => {}
        }
    }
    SuspectAdmission::Busy
}

/// Answers a question for a trial of a suspect whose trials this entry counts.
pub(super) fn answer_trial(context: &ForwardContext, call: &TrialCall) -> TrialAnswer {
    let now = context.now();
    let mut state = context.state();
    let answer = state.crashes.answer_trial(now, call);
    if let TrialAction::Begin(longest) = call.action {
        info!(
            suspect = call.suspect.to_string(),
            holder = call.holder.as_str(),
            longest_ms = millis(longest),
            crashes = state.crashes.describe_crashes(now, call.suspect),
            answer:? = answer;
            "answered a question for a trial"
        );
    }
    answer
}

/// Asks another entry, and returns `None` if it does not answer.
async fn ask(
    context: &ForwardContext,
    host: &HostId,
    address: SocketAddr,
    call: &TrialCall,
) -> Option<TrialAnswer> {
    let body = match cw_wire::encode(call) {
        Ok(body) => body,
        Err(error) => {
            info!(entry = host.as_str(); "failed to encode a question for a trial: {error}");
            return None;
        }
    };
    let answer = context
        .keepers
        .call(Method::POST, address, TRIAL_PATH, body)
        .await;
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            match cw_wire::decode::<TrialAnswer>(&answer.body) {
                Ok(answer) => Some(answer),
                Err(error) => {
                    info!(entry = host.as_str(); "failed to decode an answer on a trial: {error}");
                    None
                }
            }
        }
        Ok(answer) => {
            info!(
                entry = host.as_str();
                "an entry answered a question for a trial with status {}", answer.status
            );
            None
        }
        Err(error) => {
            info!(entry = host.as_str(); "failed to ask an entry for a trial: {error}");
            None
        }
    }
}
