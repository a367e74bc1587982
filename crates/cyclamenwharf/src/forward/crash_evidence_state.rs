//! The evidence against requests that crash targets, as it is persisted.

use std::time::Duration;

use bytes::Bytes;
use cw_store::Versioned;
use cw_wire::CrashNews;
use cw_wire::WireError;
use cw_wire::decode;
use cw_wire::encode;
use futures::FutureExt;
use futures::future::BoxFuture;
use log::info;

use super::forward_context::ForwardContext;
use super::state_store::SharedState;

/// The key of the evidence.
pub(super) const CRASHES_KEY: &str = "cyclamenwharf/crashes";

/// The evidence that was read and written last, without the ages of the crashes.
#[derive(Debug, Default)]
pub(super) struct CrashEvidenceState {
    offered: CrashNews,
    written: CrashNews,
}

impl SharedState for CrashEvidenceState {
    fn key(&self) -> &'static str {
        CRASHES_KEY
    }

    fn changed_value(&mut self, context: &ForwardContext) -> Result<Option<Bytes>, WireError> {
        let evidence = context.state().crashes.evidence(context.now());
        self.offered = without_ages(&evidence);
        match self.offered == self.written {
            true => Ok(None),
            false => encode(&evidence).map(Some),
        }
    }

    fn record_written(&mut self) {
        self.written.clone_from(&self.offered);
    }

    fn forget_written(&mut self) {
        self.written = CrashNews::default();
    }

    /// The evidence is read before the first configuration lets requests in.
    fn is_restored_at_start(&self) -> bool {
        false
    }

    fn urgent_change<'a>(&'a self, context: &'a ForwardContext) -> BoxFuture<'a, ()> {
        context.crashes_changed.notified().boxed()
    }

    fn restore(&mut self, context: &ForwardContext, item: &Versioned) -> Result<(), WireError> {
        restore_evidence(context, &item.value)
    }
}

/// Adds the evidence that entries before a restart have written.
///
/// # Errors
///
/// Fails if the value cannot be decoded.
pub(super) fn restore_evidence(context: &ForwardContext, value: &[u8]) -> Result<(), WireError> {
    let evidence: CrashNews = decode(value)?;
    let now = context.now();
    let is_new = context.state().crashes.receive(now, &evidence);
    info!(
        crashes = evidence.crashes.len(),
        new = u64::from(is_new);
        "restored the evidence of requests that crash targets"
    );
    Ok(())
}

/// Returns the evidence with the ages set to zero, since they change all the time.
fn without_ages(evidence: &CrashNews) -> CrashNews {
    let mut evidence = evidence.clone();
    for crash in &mut evidence.crashes {
        crash.age = Duration::ZERO;
    }
    evidence
}
