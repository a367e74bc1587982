//! Target selection, shared by all requests of an entry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cw_policy::View;
use cw_policy::prefix::blocks;
use cw_policy::routing::Choice;
use cw_policy::routing::DispatchLog;
use cw_policy::routing::Policy;
use cw_policy::routing::RouteRequest;
use cw_policy::routing::TargetIndex;
use cw_types::RegionId;
use cw_types::RouteTarget;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::ZoneId;
use cw_wire::Generate;
use cw_wire::Prompt;
use cw_wire::Work;

use super::job::Job;

/// The number of bytes of text that count as one token in estimates of prompt length.
const BYTES_PER_TOKEN: usize = 4;

/// A view together with the target index built from it.
#[derive(Debug)]
struct IndexedView {
    view: Arc<View>,
    index: TargetIndex,
}

/// Selects targets for attempts, with state shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Router {
    zone: ZoneId,
    region: RegionId,
    policy: Policy,
    dispatches: Mutex<DispatchLog>,
    indexed_view: ArcSwapOption<IndexedView>,
}

impl Router {
    /// Creates a router for an entry in the availability zone `zone` of `region`.
    pub(crate) fn new(zone: ZoneId, region: RegionId, policy: Policy) -> Self {
        Self {
            zone,
            region,
            policy,
            dispatches: Mutex::default(),
            indexed_view: ArcSwapOption::empty(),
        }
    }

    /// Returns the routing request for the attempts of `job`.
    pub(crate) fn route_request(&self, job: &Job) -> RouteRequest {
        let request = RouteRequest::new(
            job.destination.clone(),
            job.workspace.clone(),
            self.zone.clone(),
            self.region.clone(),
        );
        let Work::Generate(work) = &job.work else {
            return request;
        };
        let blocks = blocks(
            &job.workspace,
            &work.model,
            &work.version,
            work.adapter.as_ref(),
            &work.prompt,
        );
        request.with_prompt(blocks, TokenCount(prompt_tokens(work) as u64))
    }

    /// Chooses a target that is not in `excluded`.
    pub(crate) fn choose(
        &self,
        now: Time,
        view: &Arc<View>,
        request: &RouteRequest,
        excluded: &BTreeSet<TargetId>,
    ) -> Choice {
        let mut request = request.clone();
        request.excluded.extend(excluded.iter().cloned());
        let indexed = self.indexed_view(now, view);
        let dispatches = self.dispatches();
        indexed
            .index
            .choose(now, self.policy, &request, &dispatches, &mut rand::rng())
    }

    /// Estimates how many more attempts the targets can take now; `None` when there are no targets.
    pub(crate) fn capacity(&self, now: Time, view: &Arc<View>, to: &RouteTarget) -> Option<usize> {
        let indexed = self.indexed_view(now, view);
        indexed.index.spare_capacity(now, to, &self.dispatches())
    }

    /// Records that an attempt was sent to `target`.
    pub(crate) fn record_dispatch(&self, now: Time, target: &TargetId, request: &RouteRequest) {
        self.dispatches().record_dispatch(now, target, request);
    }

    /// Records how much of a prompt `target` had cached; from now on it has the whole prompt
    /// cached.
    pub(crate) fn record_accepted(
        &self,
        target: &TargetId,
        request: &RouteRequest,
        cached: TokenCount,
    ) {
        if !request.blocks.is_empty() {
            let mut dispatches = self.dispatches();
            let cache_index = &mut dispatches.cache_index;
            cache_index.learn(target, &request.blocks, cached, request.tokens);
        }
    }

    /// Discards what is known of the prompt cache of `target`, because its engine has crashed.
    pub(crate) fn record_crash(&self, target: &TargetId) {
        self.dispatches().cache_index.forget(target);
    }

    /// Records that an attempt has ended, `elapsed` after it was sent.
    pub(crate) fn record_end(&self, now: Time, target: &TargetId, elapsed: Duration) {
        self.dispatches().record_end(now, target, elapsed);
    }

    /// Records that a target refused an attempt and asked to wait `retry` before the next one.
    pub(crate) fn record_refusal(&self, now: Time, target: &TargetId, retry: Duration) {
        self.dispatches().record_refusal(now, target, retry);
    }

    /// Returns `view` with its index, which is built once for each view.
    fn indexed_view(&self, now: Time, view: &Arc<View>) -> Arc<IndexedView> {
        let known = self.indexed_view.load_full();
        if let Some(known) = known.filter(|known| Arc::ptr_eq(&known.view, view)) {
            return known;
        }
        self.dispatches().observe(now, view);
        let indexed = Arc::new(IndexedView {
            view: Arc::clone(view),
            index: TargetIndex::new(view),
        });
        self.indexed_view.store(Some(Arc::clone(&indexed)));
        indexed
    }

    fn dispatches(&self) -> MutexGuard<'_, DispatchLog> {
        self.dispatches
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the number of tokens of a prompt, which is an estimate for text and chat.
pub(crate) fn prompt_tokens(work: &Generate) -> usize {
    match &work.prompt {
        Prompt::Ids(ids) => ids.len(),
        Prompt::Text(text) => text.len() / BYTES_PER_TOKEN,
        Prompt::Chat(messages) => {
            let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
            bytes / BYTES_PER_TOKEN
        }
    }
}
