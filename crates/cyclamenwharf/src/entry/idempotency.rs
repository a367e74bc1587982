//! Starting a request, with or without an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::Claim;
use cw_policy::ClaimState;
use cw_types::ErrorKind;
use cw_wire::Work;
use http::HeaderMap;
use tokio::sync::mpsc;

use super::api_error::ApiError;
use super::claims::RequestClaim;
use super::claims::StoredClaim;
use super::driver::Driver;
use super::entry_context::EntryContext;
use super::job::Job;
use super::job::KeyUse;
use super::output::Output;
use super::output::ServiceAnswer;
use super::router::prompt_tokens;
use super::sent_attempt::SentAttempt;
use super::shared_quotas::QuotaGuard;

/// The request header with the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// How many outputs are buffered for a slow caller before the driver stops reading from its links.
const OUTPUT_BUFFER: usize = 64;

/// The maximum number of tries to claim a key when other calls claim it at the same time.
const MAX_CLAIM_TRIES: u32 = 3;

/// The delay before the next try to claim a key.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request that has produced its first output.
pub(crate) struct StartedRequest {
    /// The accepted request that the output answers.
    pub(crate) job: Arc<Job>,
    /// The first output.
    pub(crate) first: Output,
    /// The channel with the rest of the output.
    pub(crate) rest: mpsc::Receiver<Output>,
}

impl StartedRequest {
    /// Returns the next output, or an internal error when the driver has failed.
    pub(crate) async fn next(outputs: &mut mpsc::Receiver<Output>) -> Output {
        let output = outputs.recv().await;
        output.unwrap_or_else(|| Output::Error(ApiError::new(ErrorKind::Internal)))
    }
}

/// Reads the idempotency key from a request's headers.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] for a key that is empty, too long or not visible ASCII.
pub(crate) fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(ApiError::bad_request)?.trim();
    match (1..=MAX_KEY_BYTES).contains(&key.len()) {
        true => Ok(Some(key.to_owned())),
        false => Err(ApiError::bad_request(format!(
            "{IDEMPOTENCY_KEY_HEADER}: expected 1 to {MAX_KEY_BYTES} characters"
        ))),
    }
}

/// Starts a generation, or joins the one that its key belongs to, and waits for the first output.
///
/// # Errors
///
/// Returns the error of a request that fails before its first output.
pub(crate) async fn start(
    context: &Arc<EntryContext>,
    job: Job,
    key: Option<String>,
) -> Result<StartedRequest, ApiError> {
    let Some(key) = key else {
        return run_generation(context, job).await;
    };
    let key = Claim::key(&job.workspace, &key);
    // The key is not needed if the caller reconnects with an event id, which names the generation.
    if job.plan.running_target.is_some() {
        return run_generation(context, job).await;
    }
    match job.plan.idempotent {
        true => start_idempotent(context, job, key).await,
        false => start_claimed(context, job, key).await,
    }
}

/// Joins the earlier request with the same key in this entry, or starts a new one.
async fn start_idempotent(
    context: &Arc<EntryContext>,
    job: Job,
    key: String,
) -> Result<StartedRequest, ApiError> {
    let found = context.idempotency_cache.find(&key);
    if let Some(found) = found {
        if found.fingerprint != job.fingerprint {
            return Err(ApiError::new(ErrorKind::KeyReused));
        }
        let joined = job.clone().join(found.sent);
        let started = run_generation(context, joined).await;
        if !matches!(&started, Err(error) if error.kind == ErrorKind::GenerationLost) {
            return started;
        }
        context.idempotency_cache.remove(&key);
    }
    run_generation(context, job.with_key(KeyUse::Cached(key))).await
}

/// Claims the key and runs the request, or continues from the claim that the key already has.
async fn start_claimed(
    context: &Arc<EntryContext>,
    job: Job,
    key: String,
) -> Result<StartedRequest, ApiError> {
    for _ in 0..MAX_CLAIM_TRIES {
        let stored = context.claims.read(&key).await.map_err(claim_error)?;
        if stored
            .as_ref()
            .is_some_and(|(claim, _)| claim.fingerprint != job.fingerprint)
        {
            return Err(ApiError::new(ErrorKind::KeyReused));
        }
        let next = match &stored {
            Some((claim, _)) => follow_claim(context, &job, claim),
            None => NextStep::Run(Box::new(job.clone())),
        };
        let job = match next {
            NextStep::Answer(started) => return Ok(*started),
            NextStep::Run(job) => with_claim(context, *job, &key, stored),
        };
        match run_generation(context, job).await {
            Err(error) if error.kind == ErrorKind::InProgress => {
                tokio::time::sleep(CLAIM_RETRY_DELAY).await;
            }
            started => return started,
        }
    }
    Err(ApiError::new(ErrorKind::InProgress))
}

/// How a request continues from the claim that its key already has.
enum NextStep {
    /// Return the stored answer.
    Answer(Box<StartedRequest>),
    /// Run the request; with an existing claim it joins the attempt that the claim names.
    Run(Box<Job>),
}

fn follow_claim(context: &EntryContext, job: &Job, claim: &Claim) -> NextStep {
    let job = job.clone().join(SentAttempt {
        id: claim.attempt,
        target: claim.target.clone(),
        peer: claim.agent,
        stamp: claim.stamp,
        at: context.clock.now(),
    });
    match &claim.state {
        ClaimState::Open => NextStep::Run(Box::new(job.pin_version(claim.version.clone()))),
        ClaimState::Answered(answer) => NextStep::Answer(Box::new(StartedRequest {
            job: Arc::new(job),
            first: Output::Answer(ServiceAnswer {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            }),
            rest: mpsc::channel(1).1,
        })),
    }
}

fn with_claim(context: &EntryContext, job: Job, key: &str, stored: Option<StoredClaim>) -> Job {
    let claim = RequestClaim::new(Arc::clone(&context.claims), key.to_owned(), stored);
    job.with_key(KeyUse::Claimed(Arc::new(claim)))
}

fn claim_error(kind: ErrorKind) -> ApiError {
    ApiError::new(kind).with_ran(cw_types::Ran::No)
}

/// Counts a new request against its workspace's quota.
///
/// A request that joins a running generation is not counted, because it already was at its start.
fn admit_to_quota(context: &EntryContext, job: &Job) -> Result<Option<QuotaGuard>, ApiError> {
    if job.plan.running_target.is_some() {
        return Ok(None);
    }
    let tokens = match &job.work {
        Work::Generate(work) => prompt_tokens(work) as u64,
        Work::Call(_) => 0,
    };
    let (now, view) = (context.clock.now(), context.view.load());
    let guard = context.quotas.admit(now, &view, &job.workspace, tokens);
    guard.map(Some)
}

/// Starts a generation's driver, and waits for its first output.
async fn run_generation(context: &Arc<EntryContext>, job: Job) -> Result<StartedRequest, ApiError> {
    let (output, mut rest) = mpsc::channel(OUTPUT_BUFFER);
    let job = Arc::new(job);
    let quota = admit_to_quota(context, &job)?;
    let driver = Driver::new(Arc::clone(context), Arc::clone(&job), output, quota);
    context.progress.spawn(driver.run());
    match StartedRequest::next(&mut rest).await {
        Output::Error(error) => Err(error),
        first => Ok(StartedRequest { job, first, rest }),
    }
}
