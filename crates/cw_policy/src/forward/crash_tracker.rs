//! Tracks which requests may crash the targets that run them, over all attempts of their callers and over
//! all entries.
//!
//! A request that crashes each target that runs it comes again from its caller, each time with
//! another id and at any entry. So the evidence belongs to the request itself: a [`Fingerprint`] of
//! what all attempts have in common. Entries announce the crashes that they find to each other.
//!
//! Why a target crashed does not decide whether a request may be sent: after a few crashes it is sent on
//! trial only, once at a time over all entries, until it runs on past the moment at which such a request ends its
//! target ([`Standing`], [`CrashTracker::answer_trial`]). A request that was in flight by chance runs on at its
//! first trial, and the number of sends of any other is bounded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::CrashNews;
use cw_wire::CrashNotice;
use cw_wire::PartHash;
use cw_wire::Suspect;
use cw_wire::TrialAction;
use cw_wire::TrialAnswer;
use cw_wire::TrialCall;
use cw_wire::TrialEnd;

use super::lost_sends::LostSends;
use super::suspect_keys::SuspectKeys;
use super::suspect_ledger::Standing;
use super::suspect_ledger::SuspectCrash;
use super::suspect_ledger::SuspectLedger;
use super::target_sends::SendEnd;
use super::target_sends::SendId;
use super::target_sends::TargetSends;
use super::trials::TrialBook;
use crate::CrashId;

/// The delays between the announcements of one crash. Three of them make up for lost messages, and
/// the first is sent at once.
const ANNOUNCEMENT_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
];

/// The maximum number of suspects in one message, which must fit into a datagram.
const MAX_ANNOUNCED: usize = 4000;

/// The maximum number of crashes in the evidence for an entry without any, which must fit into a datagram too.
const MAX_EVIDENCE: usize = 256;

/// The maximum number of crashes of a suspect in a line of the log. Fewer decide.
const MAX_DESCRIBED: usize = 8;

/// How long a target sends events of a request until the request has run on. Requests that crash their
/// targets end them within 120 ms of the first event in the users' records.
const RUN_ON_TIME: Duration = Duration::from_millis(250);

/// How long the completion of a suspected request is kept. A message about an earlier crash arrives
/// within this time, and the request is not suspected again by it.
const CLEARED_TTL: Duration = Duration::from_secs(10);

/// The number of crashes of a request after which the platform's rules count each send of it, whatever becomes of
/// that send.
const COUNTED_CRASHES: usize = 3;

/// What the answer of a target says about a request that may crash its targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The target has run the request to its end.
    Complete,
    /// The target reports an error, perhaps before the moment at which the request would have crashed it.
    Failure,
    /// The target has turned the request away without running it.
    Refusal,
}

/// The remaining announcements of something.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    next_at: Time,
    /// How many announcements have been made.
    made: usize,
}

impl Announcement {
    fn new(now: Time) -> Self {
        Self {
            next_at: now,
            made: 0,
        }
    }

    /// Returns whether the announcement is due, and moves on to the next one.
    fn is_due(&mut self, now: Time) -> bool {
        if self.is_over() || now < self.next_at {
            return false;
        }
        self.made += 1;
        let delay = ANNOUNCEMENT_DELAYS.get(self.made).copied();
        self.next_at = now + delay.unwrap_or_default();
        true
    }

    fn is_over(&self) -> bool {
        self.made >= ANNOUNCEMENT_DELAYS.len()
    }
}

/// Tracks which requests may crash the targets that run them.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    ledger: SuspectLedger,
    sends: TargetSends,
    /// The trials of the requests whose keeper this entry is.
    trials: TrialBook,
    announcements: BTreeMap<CrashId, Announcement>,
    /// The announcement of all evidence, for an entry that has just appeared.
    full_announcement: Option<Announcement>,
    /// The suspects of which a request has run on, and when.
    cleared: BTreeMap<Suspect, (Time, Announcement)>,
}

/// Returns a time on the scale of the ledger. Other entries and those before a restart tell of crashes
/// from before this process started, and its clock begins at its start.
fn ledger_time(now: Time) -> Time {
    now + SuspectLedger::retention()
}

impl CrashTracker {
    // ---- The sends of this entry ----

    /// Records that a request is sent to an incarnation of a target.
    pub fn record_send(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        keys: impl Into<SuspectKeys>,
    ) -> SendId {
        let keys = keys.into();
        let is_lost = |suspect| {
            matches!(suspect, Suspect::Request(_))
                && (self.ledger.crash_count(suspect) > 0 || self.sends.has_unanswered(suspect))
        };
        let is_repeat = keys.iter().any(is_lost);
        (self.sends).record_send(now, target, incarnation, keys, is_repeat)
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, now: Time, target: &TargetId, id: SendId, end: SendEnd) {
        self.sends.record_end(now, target, id, end);
    }

    /// Records that a target is up, so that no send that ended before has crashed it.
    pub fn record_alive(&mut self, target: &TargetId) {
        self.sends.record_alive(target);
    }

    /// Returns whether a request has run past the moment at which one that crashes its target ends it, given
    /// the times of the first and of the last event.
    pub fn has_run_on(first_event: Time, last_event: Time) -> bool {
        last_event.since(first_event) >= RUN_ON_TIME
    }

    /// Records that a request has run at a target past the moment at which a request that crashes its target
    /// ends it. Neither the crashes so far nor a later one of this target count against it. Returns the suspects
    /// that are cleared by that, each with the number of its crashes.
    pub fn record_run_on(
        &mut self,
        now: Time,
        target: &TargetId,
        id: SendId,
        keys: impl Into<SuspectKeys>,
    ) -> Vec<(Suspect, usize)> {
        self.sends.record_run_on(target, id);
        self.record_completion(now, keys)
    }

    /// Returns how a trial ends whose target has answered. Only a complete answer shows that the request does not crash
    /// its targets. Any other one says nothing about that, and uses up a trial once the rules count the sends.
    pub fn trial_end(&self, suspect: Suspect, answer: AnswerKind) -> TrialEnd {
        match answer {
            AnswerKind::Complete => TrialEnd::RanOn,
            AnswerKind::Failure | AnswerKind::Refusal => {
                match self.ledger.crash_count(suspect) < COUNTED_CRASHES {
                    true => TrialEnd::NotRun,
                    false => TrialEnd::Lost,
                }
            }
        }
    }

    /// Records that an incarnation of a target has crashed. Returns the requests that may be the
    /// cause, as far as this entry has sent them.
    pub fn record_crash(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        zone: &ZoneId,
    ) -> BTreeSet<Suspect> {
        let lost = self.sends.take_lost(target, incarnation);
        let suspects = lost.suspects.clone();
        if !suspects.is_empty() {
            let crash = SuspectCrash {
                id: crash_id(target, incarnation),
                zone: zone.clone(),
                at: ledger_time(now),
                lost,
            };
            self.add(now, crash);
        }
        suspects
    }

    /// Records that a request has completed, so that the crashes so far do not count against it. Returns the suspects
    /// that are cleared by that, each with the number of its crashes.
    pub fn record_completion(
        &mut self,
        now: Time,
        keys: impl Into<SuspectKeys>,
    ) -> Vec<(Suspect, usize)> {
        let mut cleared = Vec::new();
        for suspect in keys.into().iter() {
            let crashes = self.ledger.crash_count(suspect);
            self.ledger.record_sound(suspect);
            if self.ledger.clear(suspect) {
                self.trials.clear(suspect);
                let announcement = Announcement::new(now);
                self.cleared
                    .insert(suspect, (ledger_time(now), announcement));
                cleared.push((suspect, crashes));
            }
        }
        cleared
    }

    // ---- The decision ----

    /// Returns whether and how a request may be sent.
    pub fn standing(&self, keys: impl Into<SuspectKeys>) -> Standing {
        self.ledger.standing(&keys.into())
    }

    /// Returns whether a request is not sent any more.
    pub fn is_refused(&self, keys: impl Into<SuspectKeys>) -> bool {
        self.standing(keys) == Standing::Refused
    }

    /// Returns what decides that a request is sent on trial only: one of the suspects that it has in common with
    /// others, `None` if it may be sent as any other.
    pub fn probation_suspect(&self, keys: &SuspectKeys) -> Option<Suspect> {
        self.ledger.probation_suspect(keys)
    }

    /// Returns whether requests of a suspect are sent on trial only, or not at all.
    pub fn is_on_probation(&self, suspect: Suspect) -> bool {
        self.ledger.is_repeated(suspect)
    }

    /// Returns the number of crashes at which a suspect was in flight since one of its requests last ran on.
    pub fn crash_count(&self, suspect: impl Into<Suspect>) -> usize {
        self.ledger.crash_count(suspect.into())
    }

    /// Returns the crashes that count against a request, for the log: the suspect, and the target, the age and the
    /// weight of each crash.
    pub fn describe_evidence(&self, now: Time, keys: &SuspectKeys) -> String {
        let suspects = keys.iter().filter(|suspect| self.is_on_probation(*suspect));
        let texts: Vec<String> = suspects
            .map(|suspect| format!("{suspect}: {}", self.describe_crashes(now, suspect)))
            .collect();
        texts.join("; ")
    }

    /// Returns the first crashes that count against a suspect, for the log.
    pub fn describe_crashes(&self, now: Time, suspect: Suspect) -> String {
        let now = ledger_time(now);
        let crashes = self.ledger.weighted_crashes(suspect);
        let texts: Vec<String> = crashes
            .take(MAX_DESCRIBED)
            .map(|(crash, weight)| {
                let age = now.since(crash.at).as_millis();
                format!("{} {age} ms ago, weight {weight}", crash.id.target)
            })
            .collect();
        texts.join(", ")
    }

    /// Returns whether a request may be on probation if its `undecided` last losses are crashes.
    pub fn may_be_suspect(&self, keys: &SuspectKeys, undecided: usize) -> bool {
        self.ledger.may_be_suspect(keys, undecided)
    }

    /// Returns the time until a request is not refused any more.
    pub fn refusal_time_left(&self, now: Time, keys: impl Into<SuspectKeys>) -> Duration {
        let keys = keys.into();
        self.ledger.refusal_time_left(ledger_time(now), &keys)
    }

    /// Returns the targets that a request is better kept away from, as far as this entry knows: those that
    /// run a trial, and for a trial those that run any request that was lost before. A crash then tells
    /// which of them was the cause, and a request that crashes its target ends no others.
    pub fn targets_to_avoid(&self, keys: impl Into<SuspectKeys>) -> BTreeSet<TargetId> {
        if !self.ledger.has_repeated() {
            return BTreeSet::new();
        }
        let keys = keys.into();
        let is_trial = self.standing(keys.clone()) != Standing::Clear;
        let is_suspect = |other| match other {
            _ if keys.contains(&other) => false,
            Suspect::Request(_) if is_trial => self.ledger.crash_count(other) > 0,
            // Parts that many requests share are in flight at most crashes.
            Suspect::Request(_) | Suspect::Part(_) => self.is_on_probation(other),
        };
        self.sends.targets_of(is_suspect).cloned().collect()
    }

    /// Answers an entry that asks for the trial of a suspect whose keeper this entry is.
    pub fn answer_trial(&mut self, now: Time, call: &TrialCall) -> TrialAnswer {
        let TrialCall {
            suspect,
            holder,
            action,
        } = call;
        match action {
            TrialAction::Begin(_) if self.ledger.is_refused(*suspect) => TrialAnswer::Refused,
            TrialAction::Begin(longest) => self.trials.begin(now, *suspect, holder, *longest),
            TrialAction::End(end) => {
                self.trials.end(now, *suspect, holder, *end);
                TrialAnswer::Granted
            }
        }
    }

    // ---- The other entries ----

    /// Returns what to tell the other entries now.
    pub fn news(&mut self, now: Time) -> CrashNews {
        let is_full = self
            .full_announcement
            .as_mut()
            .is_some_and(|full| full.is_due(now));
        let mut news = match is_full {
            true => self.evidence(now),
            false => CrashNews::default(),
        };
        let told = news.crashes.iter();
        let mut announced: usize = told.map(suspect_count).sum();
        let mut announcements = std::mem::take(&mut self.announcements);
        for (id, announcement) in &mut announcements {
            let Some(crash) = self.ledger.crash(id) else {
                continue;
            };
            if announced < MAX_ANNOUNCED && announcement.is_due(now) {
                news.crashes.push(notice(now, crash, |_| true));
                announced += crash.lost.suspects.len();
            }
        }
        announcements.retain(|_, announcement| !announcement.is_over());
        self.announcements = announcements;
        for (suspect, (_, announcement)) in &mut self.cleared {
            if announcement.is_due(now) {
                match suspect {
                    Suspect::Request(request) => news.cleared.push(*request),
                    Suspect::Part(part) => news.cleared_parts.push(*part),
                }
            }
        }
        news
    }

    /// Returns when the next announcement is due, `None` if nothing has to be told. A message goes out then,
    /// however seldom the regular ones are.
    pub fn next_announcement(&self) -> Option<Time> {
        let crashes = self.announcements.iter();
        let crashes = crashes.filter(|(id, _)| self.ledger.crash(id).is_some());
        let cleared = self.cleared.values();
        crashes
            .map(|(_, announcement)| announcement)
            .chain(cleared.map(|(_, announcement)| announcement))
            .chain(&self.full_announcement)
            .filter(|announcement| !announcement.is_over())
            .map(|announcement| announcement.next_at)
            .min()
    }

    /// Returns the time from a crash being found until it has been told for the last time.
    pub fn announcement_time() -> Duration {
        ANNOUNCEMENT_DELAYS.iter().sum()
    }

    /// Records that another entry has appeared, which may know nothing.
    pub fn record_new_entry(&mut self, now: Time) {
        self.full_announcement = Some(Announcement::new(now));
    }

    /// Processes what another entry tells, or what the entries before a restart have written.
    /// Returns whether anything in it is new.
    pub fn receive(&mut self, now: Time, news: &CrashNews) -> bool {
        let mut is_new = false;
        for notice in &news.crashes {
            is_new |= self.receive_notice(now, notice);
        }
        let requests = news.cleared.iter().copied().map(Suspect::Request);
        let parts = news.cleared_parts.iter().copied().map(Suspect::Part);
        for suspect in requests.chain(parts) {
            self.ledger.record_sound(suspect);
            is_new |= self.ledger.clear(suspect);
            self.trials.clear(suspect);
            // It is not announced again, but a late message must not suspect it again either.
            let done = Announcement {
                next_at: now,
                made: ANNOUNCEMENT_DELAYS.len(),
            };
            let at = ledger_time(now);
            self.cleared.entry(suspect).or_insert((at, done));
        }
        is_new
    }

    /// Returns the evidence that an entry without any needs in order to refuse the same requests:
    /// the crashes of the requests with more than one.
    pub fn evidence(&self, now: Time) -> CrashNews {
        let mut crashes = Vec::new();
        let mut count = 0;
        for crash in self.ledger.crashes().rev() {
            let told = notice(now, crash, |suspect| self.crash_count(suspect) > 1);
            let suspects = suspect_count(&told);
            count += suspects;
            let has_room = count <= MAX_ANNOUNCED && crashes.len() < MAX_EVIDENCE;
            if suspects > 0 && has_room {
                crashes.push(told);
            }
        }
        CrashNews {
            crashes,
            ..CrashNews::default()
        }
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Time) {
        self.sends.expire(now);
        self.trials.expire(now);
        let ledger_now = ledger_time(now);
        self.ledger.expire(ledger_now);
        // An entry without others announces nothing, so these do not end by themselves.
        let ledger = &self.ledger;
        self.announcements
            .retain(|id, _| ledger.crash(id).is_some());
        self.cleared
            .retain(|_, (at, _)| ledger_now.since(*at) <= CLEARED_TTL);
    }

    fn receive_notice(&mut self, now: Time, notice: &CrashNotice) -> bool {
        let at = ledger_time(now).before(notice.age);
        let is_cleared = |suspect: &Suspect| {
            self.cleared
                .get(suspect)
                .is_some_and(|(cleared_at, _)| *cleared_at >= at)
        };
        let requests = notice.suspects.iter().copied().map(Suspect::Request);
        let told = requests.chain(notice.parts.iter().copied().map(Suspect::Part));
        let repeats: BTreeSet<Suspect> = (notice.repeats.iter().copied())
            .map(Suspect::Request)
            .collect();
        let mut lost = LostSends::default();
        for suspect in told.filter(|suspect| !is_cleared(suspect)) {
            lost.insert(suspect, repeats.contains(&suspect));
        }
        let own = self.sends.take_lost(&notice.target, notice.incarnation);
        let has_own = !own.suspects.is_empty();
        lost.merge(&own);
        if lost.suspects.is_empty() {
            return false;
        }
        let crash = SuspectCrash {
            id: crash_id(&notice.target, notice.incarnation),
            zone: notice.zone.clone(),
            at,
            lost,
        };
        match has_own {
            true => self.add(now, crash),
            false => self.ledger.record(crash),
        }
    }

    /// Adds a crash, and announces it if anything in it is new.
    fn add(&mut self, now: Time, crash: SuspectCrash) -> bool {
        let id = crash.id.clone();
        let is_new = self.ledger.record(crash);
        if is_new {
            self.announcements.insert(id, Announcement::new(now));
        }
        is_new
    }
}

/// Returns the message about a crash, with the suspects that are to be told.
fn notice(now: Time, crash: &SuspectCrash, is_told: impl Fn(Suspect) -> bool) -> CrashNotice {
    let told = crash
        .lost
        .suspects
        .iter()
        .copied()
        .filter(|other| is_told(*other));
    let mut suspects = Vec::new();
    let mut repeats = Vec::new();
    let mut parts: Vec<PartHash> = Vec::new();
    for suspect in told {
        match suspect {
            Suspect::Request(request) => {
                suspects.push(request);
                repeats.extend(crash.lost.repeats.contains(&suspect).then_some(request));
            }
            Suspect::Part(part) => parts.push(part),
        }
    }
    CrashNotice {
        target: crash.id.target.clone(),
        zone: crash.zone.clone(),
        incarnation: crash.id.incarnation,
        age: ledger_time(now).since(crash.at),
        suspects,
        repeats,
        parts,
    }
}

fn suspect_count(notice: &CrashNotice) -> usize {
    notice.suspects.len() + notice.parts.len()
}

/// Returns the identity of a crash. An incarnation crashes once, so the sequence number is always 0.
fn crash_id(target: &TargetId, incarnation: Incarnation) -> CrashId {
    CrashId {
        target: target.clone(),
        incarnation,
        sequence: 0,
    }
}
