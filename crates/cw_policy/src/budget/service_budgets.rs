//! Budgets that all entries share, one for each service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cw_types::ServiceName;
use cw_types::Time;

/// How many spans a window is counted in.
const SPANS: u32 = 20;

/// How much may be sent to a service beyond the first send of each request, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// Further sends as a part of the requests of a window.
    pub ratio: f64,
    /// Further sends beside those, in each window.
    pub slack: f64,
    /// The length of the window, which may begin at any moment.
    pub window: Duration,
}

/// This entry's part of the budgets of all services.
///
/// Each entry counts its own requests and has a part of the slack, so the sum over all entries keeps
/// to the shared budget in any window, whatever the others know.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    budget: SharedBudget,
    entries: u32,
    services: BTreeMap<ServiceName, Counts>,
}

/// What one span of a window has seen.
#[derive(Clone, Copy, Debug)]
struct Span {
    begin: Time,
    firsts: u32,
    further: u32,
}

/// What the last window has seen.
#[derive(Clone, Debug, Default)]
struct Counts {
    spans: VecDeque<Span>,
}

impl ServiceBudgets {
    /// Returns the part of one among `entries` entries.
    pub fn new(budget: SharedBudget, entries: u32) -> Self {
        Self {
            budget,
            entries: entries.max(1),
            services: BTreeMap::new(),
        }
    }

    /// Sets how many entries share the budgets.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Records the first send of a request.
    pub fn record_first(&mut self, now: Time, service: &ServiceName) {
        self.span(now, service).firsts += 1;
    }

    /// Returns whether a further send is allowed, and counts it if so.
    pub fn try_spend(&mut self, now: Time, service: &ServiceName) -> bool {
        let budget = self.budget;
        let slack = budget.slack / f64::from(self.entries);
        self.span(now, service);
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        let allowed = slack + budget.ratio * f64::from(counts.firsts(now.before(budget.window)));
        let spent = f64::from(counts.further());
        let is_allowed = spent + 1.0 <= allowed;
        if is_allowed && let Some(span) = counts.spans.back_mut() {
            span.further += 1;
        }
        is_allowed
    }

    /// Forgets the services that are no more.
    pub fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|name, _| keep(name));
    }

    /// Returns the span of the present moment.
    fn span(&mut self, now: Time, service: &ServiceName) -> &mut Span {
        let length = self.budget.window / SPANS;
        // One span more than the window has: the oldest one may reach into it.
        let memory = self.budget.window + length;
        let counts = self.services.entry(service.clone()).or_default();
        while let Some(oldest) = counts.spans.front()
            && now.since(oldest.begin) > memory
        {
            counts.spans.pop_front();
        }
        let is_new = counts
            .spans
            .back()
            .is_none_or(|span| now.since(span.begin) >= length);
        if is_new {
            counts.spans.push_back(Span {
                begin: now,
                firsts: 0,
                further: 0,
            });
        }
        let last = counts.spans.len() - 1;
        &mut counts.spans[last]
    }
}

impl Counts {
    /// Returns the first sends that surely lie within the window that begins at `begin`.
    fn firsts(&self, begin: Time) -> u32 {
        let spans = self.spans.iter().filter(|span| span.begin >= begin);
        spans.map(|span| span.firsts).sum()
    }

    /// Returns the further sends that may lie within the window.
    fn further(&self) -> u32 {
        self.spans.iter().map(|span| span.further).sum()
    }
}
