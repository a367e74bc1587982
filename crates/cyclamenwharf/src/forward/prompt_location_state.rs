//! Which targets have read recent prompts, as it is persisted.

use std::time::Duration;

use bytes::Bytes;
use cw_wire::CachedPrompt;
use cw_wire::WireError;
use cw_wire::decode;
use cw_wire::encode;
use futures::FutureExt;
use futures::future::BoxFuture;
use log::info;

use super::forward_context::ForwardContext;
use super::state_store::SharedState;

/// The key of the prompt locations.
const PROMPTS_KEY: &str = "cyclamenwharf/prompts";

/// The maximum number of prompts in the value, which keeps it far below the size limit of the
/// service.
const MAX_PROMPTS: usize = 4096;

/// The maximum age of a prompt in the value, which is the duration of a long stream.
const MAX_AGE: Duration = Duration::from_secs(12);

/// The prompt locations that were read and written last.
#[derive(Debug, Default)]
pub(super) struct PromptLocationState {
    offered: Vec<CachedPrompt>,
    written: Vec<CachedPrompt>,
}

impl SharedState for PromptLocationState {
    fn key(&self) -> &'static str {
        PROMPTS_KEY
    }

    fn changed_value(&mut self, context: &ForwardContext) -> Result<Option<Bytes>, WireError> {
        self.offered = recent_prompts(context);
        match self.offered == self.written {
            true => Ok(None),
            false => encode(&self.offered).map(Some),
        }
    }

    fn record_written(&mut self) {
        self.written.clone_from(&self.offered);
    }

    fn is_restored_at_start(&self) -> bool {
        true
    }

    fn urgent_change<'a>(&'a self, _context: &'a ForwardContext) -> BoxFuture<'a, ()> {
        std::future::pending().boxed()
    }

    fn restore(&mut self, context: &ForwardContext, value: &[u8]) -> Result<(), WireError> {
        let prompts: Vec<CachedPrompt> = decode(value)?;
        info!(prompts = prompts.len(); "restored the prompt locations");
        let now = context.now();
        let mut state = context.state();
        for prompt in prompts {
            state.peer_prompts.record(now, prompt);
        }
        Ok(())
    }
}

fn recent_prompts(context: &ForwardContext) -> Vec<CachedPrompt> {
    let since = context.now().before(MAX_AGE);
    let state = context.state();
    let mut prompts = state.own_prompts.recorded_since(since);
    prompts.extend(state.peer_prompts.recorded_since(since));
    prompts.truncate(MAX_PROMPTS);
    prompts
}
