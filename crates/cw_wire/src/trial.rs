//! Sends of requests that may crash their targets, for which an entry asks another one.

use std::time::Duration;

use cw_macro::data;
use cw_types::HostId;

use crate::Suspect;

/// What an entry tells the keeper of a suspect whose requests are sent only on trial.
#[data(Eq)]
pub struct TrialCall {
    /// The suspect.
    pub suspect: Suspect,
    /// The entry that asks.
    pub holder: HostId,
    /// What it asks for.
    pub action: TrialAction,
}

/// What an entry asks the keeper of a suspect for.
#[data(Copy, Eq)]
pub enum TrialAction {
    /// To begin a trial, which takes no longer than this.
    Begin(Duration),
    /// To end the trial that it has.
    End(TrialEnd),
}

/// How a trial ended.
#[data(Copy, Eq)]
pub enum TrialEnd {
    /// The request has reached no target, or its target has not run it.
    NotRun,
    /// The target did not answer.
    Lost,
    /// The request has run on, so it does not crash its target.
    RanOn,
}

/// The answer of the keeper of a suspect.
#[data(Copy, Eq)]
pub enum TrialAnswer {
    /// The trial may begin, or has been ended.
    Granted,
    /// Another trial is in progress.
    Busy,
    /// Requests of the suspect are not sent any more.
    Refused,
}
