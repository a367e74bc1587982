//! Requests with an idempotency key, and requests without.

use std::sync::Arc;
use std::time::Duration;

use cw_policy::Claim;
use cw_policy::ClaimState;
use cw_types::ErrorKind;
use cw_wire::Work;
use http::HeaderMap;
use tokio::sync::mpsc;

use super::claims::ClaimSlot;
use super::claims::Held;
use super::driver::Driver;
use super::frontend::Frontend;
use super::job::Job;
use super::job::KeyUse;
use super::output::Output;
use super::output::ServiceAnswer;
use super::quota_gate::QuotaGuard;
use super::refusal::Refusal;
use super::router::prompt_tokens;
use super::sent::Sent;

/// The header that names a request's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The longest idempotency key, in bytes.
const KEY_MAX: usize = 255;

/// How many pieces of output wait for a slow caller before its links are not read any more.
const OUTPUTS: usize = 64;

/// How often a key is looked up again when another call claims it at the same time.
const CLAIM_TRIES: u32 = 3;

/// The pause before the key is looked up again.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);

/// A generation that has begun.
pub(crate) struct Started {
    /// What it is made from.
    pub(crate) job: Arc<Job>,
    /// Its first output.
    pub(crate) first: Output,
    /// The rest of its output.
    pub(crate) rest: mpsc::Receiver<Output>,
}

impl Started {
    /// Returns the next output; a driver that failed counts as one that refuses.
    pub(crate) async fn next(outputs: &mut mpsc::Receiver<Output>) -> Output {
        let output = outputs.recv().await;
        output.unwrap_or_else(|| Output::Refusal(Refusal::new(ErrorKind::Internal)))
    }
}

/// Reads a request's idempotency key.
///
/// # Errors
///
/// Refuses a key that is empty, too long or not visible text.
pub(crate) fn key_of(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(Refusal::bad_request)?.trim();
    match (1..=KEY_MAX).contains(&key.len()) {
        true => Ok(Some(key.to_owned())),
        false => Err(Refusal::bad_request(format!(
            "{KEY_HEADER}: expected 1 to {KEY_MAX} characters"
        ))),
    }
}

/// Starts a generation, or finds the one that its key belongs to, and waits for its first output.
///
/// # Errors
///
/// Refuses a request that ends before its first output.
pub(crate) async fn start(
    front: &Arc<Frontend>,
    job: Job,
    key: Option<String>,
) -> Result<Started, Refusal> {
    let Some(key) = key else {
        return run(front, job).await;
    };
    let key = Claim::key(&job.workspace, &key);
    // A caller that comes back by an event's id has found its generation already.
    if job.plan.running_target.is_some() {
        return run(front, job).await;
    }
    match job.plan.idempotent {
        true => start_shared(front, job, key).await,
        false => start_claimed(front, job, key).await,
    }
}

/// Attaches to the request of the same key in this entry, if there is one.
async fn start_shared(front: &Arc<Frontend>, job: Job, key: String) -> Result<Started, Refusal> {
    let found = front.keys.find(&key);
    if let Some(found) = found {
        if found.fingerprint != job.fingerprint {
            return Err(Refusal::new(ErrorKind::KeyReused));
        }
        let joined = job.clone().join(found.sent);
        let started = run(front, joined).await;
        if !matches!(&started, Err(refusal) if refusal.kind == ErrorKind::GenerationLost) {
            return started;
        }
        front.keys.forget(&key);
    }
    run(front, job.with_key(KeyUse::Shared(key))).await
}

/// Claims the key, or follows the claim that is there.
async fn start_claimed(front: &Arc<Frontend>, job: Job, key: String) -> Result<Started, Refusal> {
    for _ in 0..CLAIM_TRIES {
        let held = front.claims.read(&key).await.map_err(not_claimed)?;
        if held
            .as_ref()
            .is_some_and(|(claim, _)| claim.fingerprint != job.fingerprint)
        {
            return Err(Refusal::new(ErrorKind::KeyReused));
        }
        let next = match &held {
            Some((claim, _)) => follow(front, &job, claim),
            None => Follow::Run(Box::new(job.clone())),
        };
        let job = match next {
            Follow::Answer(started) => return Ok(*started),
            Follow::Run(job) => claimed(front, *job, &key, held),
        };
        match run(front, job).await {
            Err(refusal) if refusal.kind == ErrorKind::InProgress => {
                tokio::time::sleep(CLAIM_PAUSE).await;
            }
            started => return started,
        }
    }
    Err(Refusal::new(ErrorKind::InProgress))
}

/// What a claim that is there leads to.
enum Follow {
    /// The kept answer.
    Answer(Box<Started>),
    /// The attempt that it names.
    Run(Box<Job>),
}

fn follow(front: &Frontend, job: &Job, claim: &Claim) -> Follow {
    let job = job.clone().join(Sent {
        id: claim.attempt,
        target: claim.target.clone(),
        peer: claim.agent,
        stamp: claim.stamp,
        at: front.clock.now(),
    });
    match &claim.state {
        ClaimState::Open => Follow::Run(Box::new(job.pinned(claim.version.clone()))),
        ClaimState::Answered(answer) => Follow::Answer(Box::new(Started {
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

fn claimed(front: &Frontend, job: Job, key: &str, held: Option<Held>) -> Job {
    let slot = ClaimSlot::new(Arc::clone(&front.claims), key.to_owned(), held);
    job.with_key(KeyUse::Claimed(Arc::new(slot)))
}

fn not_claimed(kind: ErrorKind) -> Refusal {
    Refusal::new(kind).with_ran(cw_types::Ran::No)
}

/// Counts a new request against its workspace's quota; one that was begun before counts already.
fn admit(front: &Frontend, job: &Job) -> Result<Option<QuotaGuard>, Refusal> {
    if job.plan.running_target.is_some() {
        return Ok(None);
    }
    let tokens = match &job.work {
        Work::Generate(work) => prompt_tokens(work) as u64,
        Work::Call(_) => 0,
    };
    let (now, view) = (front.clock.now(), front.view.load());
    let guard = front.quotas.admit(now, &view, &job.workspace, tokens);
    guard.map(Some)
}

/// Starts a generation's driver, and waits for its first output.
async fn run(front: &Arc<Frontend>, job: Job) -> Result<Started, Refusal> {
    let (out, mut rest) = mpsc::channel(OUTPUTS);
    let job = Arc::new(job);
    let quota = admit(front, &job)?;
    let driver = Driver::new(Arc::clone(front), Arc::clone(&job), out, quota);
    front.progress.spawn(driver.run());
    match Started::next(&mut rest).await {
        Output::Refusal(refusal) => Err(refusal),
        first => Ok(Started { job, first, rest }),
    }
}
