//! What is known of recent runs, as it is persisted: which targets have read their prompts, and which software
//! began their streams.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use cw_macro::data;
use cw_policy::forward::EarlierSoftware;
use cw_policy::forward::RestoredSoftware;
use cw_store::StoreRevision;
use cw_store::Versioned;
use cw_types::StoreEra;
use cw_wire::CachedPrompt;
use cw_wire::SoftwareHash;
use cw_wire::StreamOrigin;
use cw_wire::WireError;
use cw_wire::decode;
use cw_wire::encode;
use futures::FutureExt;
use futures::future::BoxFuture;
use log::info;
use log::warn;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::forward_context::ForwardContext;
use super::state_store::SharedState;

/// The key of the prompt locations.
pub(super) const RUNS_KEY: &str = "cyclamenwharf/prompts";

/// The maximum number of prompts in the value. They save time only, while a stream whose software is not known is refused.
const MAX_PROMPTS: usize = 4096;

/// The maximum age of a prompt in the value. Targets need their cache memory for others later.
const MAX_PROMPT_AGE: Duration = Duration::from_secs(12);

/// The prompts of the last seconds, and the streams that may be in progress.
#[serde_as]
#[data(Default)]
struct RecentRuns {
    prompts: Vec<CachedPrompt>,
    origins: Vec<StreamOrigin>,
    /// The versions that have been the only ones of their services for longer than any stream lives, `None` from
    /// entries of an earlier version.
    #[serde(default)]
    only: Option<BTreeSet<SoftwareHash>>,
    /// The longest life of the streams, `None` from entries of an earlier version.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    life: Option<Duration>,
    /// The newest revision of the key-value service that was known when the value was written, `None` from entries of
    /// an earlier version.
    #[serde(default)]
    as_of: Option<StoreRevision>,
}

/// The runs that were read and written last.
#[derive(Debug, Default)]
pub(super) struct RecentRunState {
    offered: Option<RecentRuns>,
    /// `None` until this entry has written a value: another one may have left any.
    written: Option<RecentRuns>,
    /// Whether streams were left out of the last value.
    is_cut: bool,
}

impl RecentRunState {
    /// Logs once that there are more streams than the value may have, and once that there are not any more.
    fn log_cut(&mut self, streams: usize, left_out: usize) {
        let was_cut = std::mem::replace(&mut self.is_cut, left_out > 0);
        match (was_cut, self.is_cut) {
            (false, true) => warn!(
                streams = streams,
                left_out = left_out;
                "not all streams are persisted: after the loss of all entries the oldest ones are refused"
            ),
            (true, false) => info!(streams = streams; "all streams are persisted again"),
            _ => {}
        }
    }
}

impl SharedState for RecentRunState {
    fn key(&self) -> &'static str {
        RUNS_KEY
    }

    fn changed_value(&mut self, context: &ForwardContext) -> Result<Option<Bytes>, WireError> {
        let (runs, left_out) = recent_runs(context);
        self.log_cut(runs.origins.len(), left_out);
        // The revision rises with each write, so it is no change of the runs.
        let as_of = runs.as_of;
        self.offered = (runs.only.is_some()).then_some(RecentRuns {
            as_of: None,
            ..runs
        });
        match &self.offered {
            Some(runs) if self.offered != self.written => {
                let runs = runs.clone();
                encode(&RecentRuns { as_of, ..runs }).map(Some)
            }
            _ => Ok(None),
        }
    }

    fn record_written(&mut self) {
        self.written.clone_from(&self.offered);
    }

    fn forget_written(&mut self) {
        self.written = None;
    }

    /// The runs are read before the first configuration lets requests in.
    fn is_restored_at_start(&self) -> bool {
        false
    }

    /// What began the streams before a change of the versions is not certain any more.
    fn urgent_change<'a>(&'a self, context: &'a ForwardContext) -> BoxFuture<'a, ()> {
        context.software_changed.notified().boxed()
    }

    fn restore(&mut self, context: &ForwardContext, item: &Versioned) -> Result<(), WireError> {
        restore_runs(context, item, "as the writer")
    }
}

/// Adds the runs that entries before this one have written. `reading` says in the log which of the readings of the key
/// this is.
///
/// # Errors
///
/// Fails if the value cannot be decoded.
pub(super) fn restore_runs(
    context: &ForwardContext,
    item: &Versioned,
    reading: &str,
) -> Result<(), WireError> {
    let runs = match decode::<RecentRuns>(&item.value) {
        Ok(runs) => runs,
        // Entries of an earlier version write the prompts alone.
        Err(_) => RecentRuns {
            prompts: decode(&item.value)?,
            ..RecentRuns::default()
        },
    };
    let written_in = runs.as_of.unwrap_or_default().era();
    info!(
        reading = reading,
        prompts = runs.prompts.len(),
        streams = runs.origins.len(),
        only:? = runs.only,
        life:? = runs.life,
        written_in = written_in.0,
        era = item.modified.era().0;
        "restored the recent runs"
    );
    let now = context.now();
    let mut state = context.state();
    state.record_era(now, item.modified);
    if let Some(life) = runs.life {
        state.stream_life.record_earlier(now, life);
    }
    if let Some(only) = runs.only {
        state.fleet.restore_software(RestoredSoftware {
            software: EarlierSoftware::Only(only),
            written_in,
            read_at: now,
        });
    }
    for prompt in runs.prompts {
        state.peer_prompts.record(now, prompt);
    }
    for origin in runs.origins {
        state.origins.record_restored(now, origin, written_in);
    }
    Ok(())
}

/// Records that no runs are persisted as of a revision. In any era but the first, the service may have lost them.
pub(super) fn restore_no_runs(context: &ForwardContext, revision: StoreRevision) {
    info!(era = revision.era().0; "no recent runs are persisted");
    let now = context.now();
    let mut state = context.state();
    state.record_era(now, revision);
    state.fleet.restore_software(RestoredSoftware {
        software: EarlierSoftware::Nothing,
        written_in: StoreEra::default(),
        read_at: now,
    });
}

/// Returns the runs to persist, and the number of streams that are left out.
fn recent_runs(context: &ForwardContext) -> (RecentRuns, usize) {
    let now = context.now();
    let since = now.before(MAX_PROMPT_AGE);
    let mut state = context.state();
    let life = state.stream_life.longest(now);
    state.origins.set_life(life);
    let mut prompts = state.own_prompts.recorded_since(since);
    prompts.extend(state.peer_prompts.recorded_since(since));
    prompts.truncate(MAX_PROMPTS);
    let persisted = state.origins.to_persist(now);
    // As long as no stream has begun, the value that entries before this one have left, or its absence, says so.
    let has_begun = !(prompts.is_empty() && persisted.origins.is_empty());
    let is_mixed = state.fleet.is_any_mixed();
    let only = state.fleet.only_versions(now, life);
    let only = only.filter(|only| has_begun || is_mixed || !only.is_empty());
    let newest = StoreRevision(state.directory_log.newest());
    // A value that names streams of an earlier era is of that era, so that the next reader does not go by their requests.
    let written_in = persisted.written_in.unwrap_or(newest.era());
    let as_of = newest.min(StoreRevision::latest_of(written_in));
    let runs = RecentRuns {
        prompts,
        origins: persisted.origins,
        only,
        life: Some(life),
        as_of: Some(as_of),
    };
    (runs, persisted.left_out)
}
