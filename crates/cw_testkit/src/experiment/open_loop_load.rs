//! Open-loop load: requests arrive as a Poisson process, regardless of earlier ones' outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_macro::data;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::Caller;
use crate::Completion;
use crate::CompletionRequest;
use crate::FakeEngine;
use crate::ROUTE_LATENCY;
use crate::TestDeployment;
use crate::api_key;

use super::Summary;
use super::Tally;
use super::concurrent_requests::CompletedRequest;
use super::concurrent_requests::ConcurrentRequests;
use super::concurrent_requests::tally;
use super::engine_work::EngineWork;

/// The longest time to the first token that callers accept, according to the design size.
pub(super) const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(1500);

/// The load that callers offer.
#[derive(Clone, Debug)]
pub(super) struct OpenLoopLoad {
    /// The seed of arrival times, documents, entries and questions.
    pub(super) seed: u64,
    /// The mean number of requests per second.
    pub(super) rate: f64,
    /// How long requests are sent.
    pub(super) duration: Duration,
    /// The number of workspaces.
    pub(super) workspaces: usize,
    /// The number of documents of all workspaces together; each has a prompt prefix of its own.
    pub(super) documents: usize,
    /// The number of words in a document.
    pub(super) document_words: usize,
    /// The number of tokens in an output.
    pub(super) output_tokens: u64,
}

/// The results of one run.
#[data]
pub(super) struct LoadRow {
    offered_per_s: f64,
    requests: usize,
    first_token: Summary,
    between_tokens: Summary,
    /// Cached prompt tokens as a fraction of all prompt tokens.
    prefix_hit_rate: f64,
    /// Complete answers per second whose first token came within the limit.
    goodput_per_s: f64,
    /// These answers as a fraction of the requests.
    goodput_of_offered: f64,
    refused: u64,
    /// Generations that reached an engine although the caller was told that they had not run.
    refused_but_run: u64,
    /// Jain's fairness index over the workspaces.
    fairness: f64,
    /// The requests of the busiest engine, relative to the mean.
    max_over_mean: f64,
    /// Prompt and output tokens computed for each token delivered.
    computed_per_delivered: f64,
    tally: Tally,
}

impl OpenLoopLoad {
    /// Sends the requests and returns the results.
    pub(super) async fn run(&self, rig: &TestDeployment) -> LoadRow {
        self.run_with_requests(rig).await.0
    }

    /// Sends the requests and returns the results and each request's outcome.
    pub(super) async fn run_with_requests(
        &self,
        rig: &TestDeployment,
    ) -> (LoadRow, Vec<CompletedRequest>) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let before = EngineWork::of(&rig.engines);
        let ids_before = request_ids(&rig.engines);
        let start = Instant::now();
        let mut due = start;
        let mut concurrent = ConcurrentRequests::default();
        while due < start + self.duration {
            tokio::time::sleep_until(due).await;
            let (caller, ask) = self.random_request(rig, &mut random);
            concurrent.send(caller, ask);
            let share: f64 = random.random();
            due += Duration::from_secs_f64(-(1.0 - share).ln() / self.rate);
        }
        let requests = concurrent.finish().await;
        super::engine_work::wait_idle(&rig.engines).await;
        let work = EngineWork::of(&rig.engines).since(before);
        let received = engine_requests(&rig.engines, &ids_before);
        (self.row(&requests, work, &received), requests)
    }

    /// Draws a request at random; few documents are requested often and many seldom.
    fn random_request(
        &self,
        rig: &TestDeployment,
        random: &mut StdRng,
    ) -> (Caller, CompletionRequest) {
        let share: f64 = random.random();
        let document = (self.documents as f64 * share * share * share) as usize;
        let mut caller = rig.caller(random.random_range(0..rig.entries.len()));
        caller.api_key = api_key(document % self.workspaces);
        let document_text = format!("row-of-{document} ").repeat(self.document_words);
        let question: u32 = random.random();
        let prompt = format!("{document_text} question {question}");
        let ask = CompletionRequest::new(ROUTE_LATENCY, &prompt, self.output_tokens);
        (caller, ask.with_seed(u64::from(question)))
    }

    fn row(
        &self,
        requests: &[CompletedRequest],
        work: EngineWork,
        received: &EngineRequests,
    ) -> LoadRow {
        let tally = tally(requests);
        let seconds = self.duration.as_secs_f64();
        let good = requests.iter().filter(|request| is_good(request)).count() as f64;
        let answered = tally.whole + tally.lost;
        let delivered = tally.delivered.max(1) as f64;
        let computed = (work.output + work.prompt) as f64;
        LoadRow {
            offered_per_s: self.rate,
            requests: requests.len(),
            first_token: Summary::of(requests.iter().filter_map(CompletedRequest::first_token)),
            between_tokens: Summary::of(requests.iter().flat_map(token_gaps)),
            prefix_hit_rate: work.cached as f64 / (work.cached + work.prompt).max(1) as f64,
            goodput_per_s: good / seconds,
            goodput_of_offered: good / requests.len().max(1) as f64,
            refused: tally.refused,
            refused_but_run: received.generations.saturating_sub(answered),
            fairness: fairness(requests),
            max_over_mean: received.max_over_mean,
            computed_per_delivered: computed / delivered,
            tally,
        }
    }
}

/// Returns whether the answer was complete and its first token within the limit.
fn is_good(request: &CompletedRequest) -> bool {
    let whole = request.outcome.as_ref().is_ok_and(Completion::is_complete);
    whole
        && request
            .first_token()
            .is_some_and(|time| time <= FIRST_TOKEN_LIMIT)
}

/// Returns the time between tokens at each arrival; tokens that arrive together share one gap.
fn token_gaps(request: &CompletedRequest) -> Vec<Duration> {
    let Ok(answer) = &request.outcome else {
        return Vec::new();
    };
    let pairs = answer.arrivals.windows(2);
    let gap_per_token = |pair: &[crate::Arrival]| {
        let tokens = u32::try_from(pair[1].tokens - pair[0].tokens).unwrap_or(1);
        (pair[1].at - pair[0].at) / tokens.max(1)
    };
    pairs.map(gap_per_token).collect()
}

/// Returns Jain's fairness index of the share of good answers that each workspace received.
fn fairness(requests: &[CompletedRequest]) -> f64 {
    let mut shares: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for request in requests {
        let share = shares.entry(&request.key).or_default();
        share.0 += f64::from(u8::from(is_good(request)));
        share.1 += 1.0;
    }
    let shares: Vec<f64> = shares.values().map(|(good, all)| good / all).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    match squares > 0.0 {
        true => sum * sum / (shares.len() as f64 * squares),
        false => 0.0,
    }
}

// ---- Requests at the engines

/// The requests that reached the engines during a run.
struct EngineRequests {
    /// The number of distinct generations.
    generations: u64,
    /// The requests of the busiest engine, relative to the mean.
    max_over_mean: f64,
}

/// Returns the ids of all requests that each engine has received.
fn request_ids(engines: &[FakeEngine]) -> Vec<BTreeSet<String>> {
    let ids = |engine: &FakeEngine| engine.counters().requests.into_keys().collect();
    engines.iter().map(ids).collect()
}

/// Returns what reached the engines since `ids_before` was taken.
fn engine_requests(engines: &[FakeEngine], ids_before: &[BTreeSet<String>]) -> EngineRequests {
    let mut generations = BTreeSet::new();
    let mut counts = Vec::new();
    for (now, before) in request_ids(engines).iter().zip(ids_before) {
        let new: Vec<&String> = now.difference(before).collect();
        counts.push(new.len() as f64);
        let generation = |id: &&String| id.split('/').next().map(str::to_owned);
        generations.extend(new.iter().filter_map(generation));
    }
    let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
    let max = counts.into_iter().fold(0.0, f64::max);
    EngineRequests {
        generations: generations.len() as u64,
        max_over_mean: max / mean.max(1.0),
    }
}
