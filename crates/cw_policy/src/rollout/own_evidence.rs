//! What this entry has seen of a roll-out.

use cw_types::RouteName;
use cw_wire::RolloutEvidence;
use cw_wire::RouteEvidence;
use cw_wire::RouteHash;
use cw_wire::SideEvidence;

use super::RunEnd;
use super::RunOutcome;
use super::Side;

/// The maximum number of routes that are told apart. Those beyond count as one, so that a message fits into a
/// datagram.
const MAX_ROUTES: usize = 24;

/// Returns the evidence of one side on a route, which begins empty.
pub(super) fn side_evidence<'a>(
    evidence: &'a mut RolloutEvidence,
    route: &RouteName,
    side: Side,
) -> &'a mut SideEvidence {
    let hash = RouteHash::of_name(route);
    let routes = &mut evidence.routes;
    let known = routes.iter().position(|known| known.route == hash);
    let index = match known {
        Some(index) => index,
        None if routes.len() >= MAX_ROUTES => routes.len() - 1,
        None => {
            routes.push(RouteEvidence {
                route: hash,
                ..RouteEvidence::default()
            });
            routes.len() - 1
        }
    };
    match side {
        Side::Old => &mut routes[index].old,
        Side::New => &mut routes[index].new,
    }
}

/// Counts a run that was sent.
pub(super) fn record_send(evidence: &mut RolloutEvidence, route: &RouteName, side: Side) {
    side_evidence(evidence, route, side).sends += 1;
    *runs(evidence, side) += 1;
}

/// Counts a run that has ended.
pub(super) fn record_outcome(
    evidence: &mut RolloutEvidence,
    route: &RouteName,
    side: Side,
    outcome: RunOutcome,
) {
    let known = side_evidence(evidence, route, side);
    match outcome.end {
        RunEnd::Answered => known.answers += 1,
        RunEnd::Failed => known.failures += 1,
        RunEnd::Lost => known.losses += 1,
        RunEnd::Dropped => {}
    }
    if let Some(first) = outcome.first {
        known.firsts.record(first);
    }
    if let Some(pause) = outcome.pause {
        known.pauses.record(pause);
    }
    let runs = runs(evidence, side);
    *runs = runs.saturating_sub(1);
}

fn runs(evidence: &mut RolloutEvidence, side: Side) -> &mut u32 {
    match side {
        Side::New => &mut evidence.runs_new,
        Side::Old => &mut evidence.runs_old,
    }
}
