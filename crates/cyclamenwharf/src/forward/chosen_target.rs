//! Chooses the target of a send, which may have to be waited for.

use std::time::Duration;

use cw_policy::forward::ExchangeEvent;
use cw_policy::forward::Placement;
use cw_policy::forward::Resume;
use cw_policy::forward::Slot;
use cw_types::Time;
use log::info;

use super::exchange_driver::ExchangeDriver;
use super::exchange_driver::millis;
use super::guards::SlotGuard;
use super::placement_choice::PlacementChoice;
use super::trial_guard::SuspectAdmission;
use super::trial_guard::TrialGuard;

/// The longest time after which a request that waits for a slot looks for another target. One may have started or
/// recovered meanwhile.
const SLOT_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// The target that was selected for a send.
pub(super) struct ChosenTarget {
    pub(super) placement: Placement,
    /// Whether the target resumes from a copy.
    pub(super) resumed: bool,
    /// The slot in which the target takes the request.
    pub(super) slot: Option<SlotGuard>,
    /// The trial, if the request may be sent only on trial.
    pub(super) trial: Option<TrialGuard>,
}

impl ExchangeDriver {
    /// Selects the target of the next send, and waits while all are at the limits that they name, if one takes the
    /// request in time. All questions are asked again after each wait.
    pub(super) async fn choose(&mut self, resume: &Resume) -> Result<ChosenTarget, ExchangeEvent> {
        let deadline = self.exchange.plan().deadline;
        let mut kept: Option<SlotGuard> = None;
        loop {
            if self.context.now() >= deadline {
                return Err(ExchangeEvent::Expired);
            }
            let trial = match self.admit_suspect().await {
                SuspectAdmission::Free => None,
                SuspectAdmission::Trial(trial) => Some(trial),
                SuspectAdmission::Busy => return Err(ExchangeEvent::TrialInProgress),
                SuspectAdmission::Refused => return Err(ExchangeEvent::CrashesTargets),
            };
            let now = self.context.now();
            let slot = kept.as_ref().map(SlotGuard::slot);
            match self.place(now, resume, trial.is_some(), slot) {
                PlacementChoice::Send(placement, resumed) => {
                    let kept = kept.filter(|kept| kept.slot().target == placement.target);
                    return Ok(ChosenTarget {
                        slot: kept.or_else(|| SlotGuard::acquire(&self.context, &placement.target)),
                        placement,
                        resumed,
                        trial,
                    });
                }
                PlacementChoice::Wait(slot) => {
                    // A trial that waits would hold up the other requests of its suspect.
                    drop(trial);
                    kept = match kept {
                        Some(kept) if *kept.slot() == slot => Some(kept),
                        _ => self.keep_slot(now, &slot),
                    };
                    let check_at = (now + SLOT_CHECK_PERIOD).min(slot.at).min(deadline);
                    tokio::time::sleep_until(self.context.clock.instant(check_at)).await;
                }
                PlacementChoice::NoTarget => return Err(ExchangeEvent::NoTarget),
                PlacementChoice::VersionGone => return Err(ExchangeEvent::VersionGone),
                PlacementChoice::Crowded(after) => {
                    self.retry_after = Some(after);
                    return Err(ExchangeEvent::Crowded);
                }
            }
        }
    }

    /// Keeps a slot, in which the request waits for a target.
    fn keep_slot(&self, now: Time, slot: &Slot) -> Option<SlotGuard> {
        info!(
            request = self.request.head.id.as_str(),
            target_id = slot.target.as_str(),
            after_ms = millis(now.until(slot.at)),
            after_rest = u64::from(slot.after_rest),
            progress:? = self.exchange.progress();
            "a request waits for a target that takes it later"
        );
        SlotGuard::acquire(&self.context, &slot.target)
    }
}
