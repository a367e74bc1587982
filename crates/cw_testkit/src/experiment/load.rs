//! Requests that come at random moments, whatever becomes of earlier ones.

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
use super::drive::Drive;
use super::drive::Stream;
use super::drive::tally;
use super::work::Work;

/// Callers wait no longer for a first token, as the size to design for says.
pub(super) const FIRST_TOKEN: Duration = Duration::from_millis(1500);

/// What callers ask for.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// The seed of everything random.
    pub(super) seed: u64,
    /// Requests a second.
    pub(super) rate: f64,
    /// How long requests come.
    pub(super) span: Duration,
    /// The workspaces.
    pub(super) workspaces: usize,
    /// The documents of all workspaces, each with a prompt of its own.
    pub(super) documents: usize,
    /// The words of each document.
    pub(super) words: usize,
    /// The tokens of each output.
    pub(super) tokens: u64,
}

/// What became of the requests of one run.
#[data]
pub(super) struct LoadRow {
    offered_per_s: f64,
    requests: usize,
    first_token: Summary,
    between_tokens: Summary,
    prefix_hit_rate: f64,
    goodput_per_s: f64,
    goodput_of_offered: f64,
    refused: u64,
    refused_but_run: u64,
    fairness: f64,
    max_over_mean: f64,
    computed_per_delivered: f64,
    tally: Tally,
}

impl Demand {
    /// Sends the requests and returns what became of them.
    pub(super) async fn run(&self, rig: &TestDeployment) -> LoadRow {
        self.run_streams(rig).await.0
    }

    /// Sends the requests and returns what became of them, all together and one by one.
    pub(super) async fn run_streams(&self, rig: &TestDeployment) -> (LoadRow, Vec<Stream>) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let before = Work::of(&rig.engines);
        let known = requests(&rig.engines);
        let start = Instant::now();
        let mut due = start;
        let mut drive = Drive::default();
        while due < start + self.span {
            tokio::time::sleep_until(due).await;
            let (caller, ask) = self.request(rig, &mut random);
            drive.send(caller, ask);
            let share: f64 = random.random();
            due += Duration::from_secs_f64(-(1.0 - share).ln() / self.rate);
        }
        let streams = drive.finish().await;
        super::work::wait_idle(&rig.engines).await;
        let work = Work::of(&rig.engines).since(before);
        let run = ran(&rig.engines, &known);
        (self.row(&streams, work, &run), streams)
    }

    /// Draws one request: few documents are asked for often, many seldom.
    fn request(&self, rig: &TestDeployment, random: &mut StdRng) -> (Caller, CompletionRequest) {
        let share: f64 = random.random();
        let document = (self.documents as f64 * share * share * share) as usize;
        let mut caller = rig.caller(random.random_range(0..rig.entries.len()));
        caller.api_key = api_key(document % self.workspaces);
        let words = format!("row-of-{document} ").repeat(self.words);
        let question: u32 = random.random();
        let prompt = format!("{words} question {question}");
        let ask = CompletionRequest::new(ROUTE_LATENCY, &prompt, self.tokens);
        (caller, ask.with_seed(u64::from(question)))
    }

    fn row(&self, streams: &[Stream], work: Work, run: &Ran) -> LoadRow {
        let tally = tally(streams);
        let seconds = self.span.as_secs_f64();
        let good = streams.iter().filter(|stream| is_good(stream)).count() as f64;
        let answered = tally.whole + tally.lost;
        let delivered = tally.delivered.max(1) as f64;
        let computed = (work.output + work.prompt) as f64;
        LoadRow {
            offered_per_s: self.rate,
            requests: streams.len(),
            first_token: Summary::of(streams.iter().filter_map(Stream::first_token)),
            between_tokens: Summary::of(streams.iter().flat_map(gaps)),
            prefix_hit_rate: work.cached as f64 / (work.cached + work.prompt).max(1) as f64,
            goodput_per_s: good / seconds,
            goodput_of_offered: good / streams.len().max(1) as f64,
            refused: tally.refused,
            refused_but_run: run.generations.saturating_sub(answered),
            fairness: fairness(streams),
            max_over_mean: run.max_over_mean,
            computed_per_delivered: computed / delivered,
            tally,
        }
    }
}

/// Returns whether a whole answer came, its first token in time.
fn is_good(stream: &Stream) -> bool {
    let whole = stream.outcome.as_ref().is_ok_and(Completion::is_complete);
    whole && stream.first_token().is_some_and(|time| time <= FIRST_TOKEN)
}

fn gaps(stream: &Stream) -> Vec<Duration> {
    let Ok(answer) = &stream.outcome else {
        return Vec::new();
    };
    let pairs = answer.arrivals.windows(2);
    let each = |pair: &[crate::Arrival]| {
        let tokens = u32::try_from(pair[1].tokens - pair[0].tokens).unwrap_or(1);
        (pair[1].at - pair[0].at) / tokens.max(1)
    };
    pairs.map(each).collect()
}

/// Returns Jain's index over the share of its requests that each workspace got answered in time.
fn fairness(streams: &[Stream]) -> f64 {
    let mut shares: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for stream in streams {
        let share = shares.entry(&stream.key).or_default();
        share.0 += f64::from(u8::from(is_good(stream)));
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

// ---- What ran

/// What reached the engines.
struct Ran {
    generations: u64,
    max_over_mean: f64,
}

/// Returns the ids of all requests, for each engine.
fn requests(engines: &[FakeEngine]) -> Vec<BTreeSet<String>> {
    let ids = |engine: &FakeEngine| engine.counters().requests.into_keys().collect();
    engines.iter().map(ids).collect()
}

fn ran(engines: &[FakeEngine], known: &[BTreeSet<String>]) -> Ran {
    let mut generations = BTreeSet::new();
    let mut counts = Vec::new();
    for (now, before) in requests(engines).iter().zip(known) {
        let new: Vec<&String> = now.difference(before).collect();
        counts.push(new.len() as f64);
        let generation = |id: &&String| id.split('/').next().map(str::to_owned);
        generations.extend(new.iter().filter_map(generation));
    }
    let mean = counts.iter().sum::<f64>() / counts.len().max(1) as f64;
    let max = counts.into_iter().fold(0.0, f64::max);
    Ran {
        generations: generations.len() as u64,
        max_over_mean: max / mean.max(1.0),
    }
}
