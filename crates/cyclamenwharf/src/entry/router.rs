//! The choice of targets, shared by all requests of an entry.

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

/// How many bytes of text are counted as one token.
const TOKEN_BYTES: usize = 4;

/// A view with the index made from it.
#[derive(Debug)]
struct Indexed {
    view: Arc<View>,
    index: TargetIndex,
}

/// The choice of targets, shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Router {
    zone: ZoneId,
    region: RegionId,
    policy: Policy,
    dispatches: Mutex<DispatchLog>,
    indexed: ArcSwapOption<Indexed>,
}

impl Router {
    /// Returns a router for an entry in `zone` of `region`.
    pub(crate) fn new(zone: ZoneId, region: RegionId, policy: Policy) -> Self {
        Self {
            zone,
            region,
            policy,
            dispatches: Mutex::default(),
            indexed: ArcSwapOption::empty(),
        }
    }

    /// Returns what is needed of a target by every attempt of a job.
    pub(crate) fn request(&self, job: &Job) -> RouteRequest {
        let request = RouteRequest::new(
            job.to.clone(),
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
        let indexed = self.indexed(now, view);
        let dispatches = self.dispatches();
        indexed
            .index
            .choose(now, self.policy, &request, &dispatches, &mut rand::rng())
    }

    /// Returns about how many more attempts the targets can take now, if there are any targets.
    pub(crate) fn room(&self, now: Time, view: &Arc<View>, to: &RouteTarget) -> Option<usize> {
        let indexed = self.indexed(now, view);
        indexed.index.spare_capacity(now, to, &self.dispatches())
    }

    /// Records that an attempt was sent to `target`.
    pub(crate) fn sent(&self, now: Time, target: &TargetId, request: &RouteRequest) {
        self.dispatches().record_dispatch(now, target, request);
    }

    /// Learns how much of a prompt `target` had cached; it has all of it now.
    pub(crate) fn accepted(&self, target: &TargetId, request: &RouteRequest, cached: TokenCount) {
        if !request.blocks.is_empty() {
            let mut dispatches = self.dispatches();
            let cache_index = &mut dispatches.cache_index;
            cache_index.learn(target, &request.blocks, cached, request.tokens);
        }
    }

    /// Forgets what `target` had cached, since its engine died.
    pub(crate) fn crashed(&self, target: &TargetId) {
        self.dispatches().cache_index.forget(target);
    }

    /// Records that an attempt has ended, `held` after it was sent.
    pub(crate) fn ended(&self, now: Time, target: &TargetId, held: Duration) {
        self.dispatches().record_end(now, target, held);
    }

    /// Records that a target refused an attempt and asked for `retry` before the next one.
    pub(crate) fn refused(&self, now: Time, target: &TargetId, retry: Duration) {
        self.dispatches().record_refusal(now, target, retry);
    }

    /// Returns the index of `view`, which is made once for each view.
    fn indexed(&self, now: Time, view: &Arc<View>) -> Arc<Indexed> {
        let known = self.indexed.load_full();
        if let Some(known) = known.filter(|known| Arc::ptr_eq(&known.view, view)) {
            return known;
        }
        self.dispatches().observe(now, view);
        let indexed = Arc::new(Indexed {
            view: Arc::clone(view),
            index: TargetIndex::new(view),
        });
        self.indexed.store(Some(Arc::clone(&indexed)));
        indexed
    }

    fn dispatches(&self) -> MutexGuard<'_, DispatchLog> {
        self.dispatches
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns about how many tokens a prompt has.
pub(crate) fn prompt_tokens(work: &Generate) -> usize {
    match &work.prompt {
        Prompt::Ids(ids) => ids.len(),
        Prompt::Text(text) => text.len() / TOKEN_BYTES,
        Prompt::Chat(messages) => {
            let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
            bytes / TOKEN_BYTES
        }
    }
}
