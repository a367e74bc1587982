//! Tracks which requests crash the targets that run them, over all attempts of their callers and
//! over all entries.
//!
//! A request that crashes each target that runs it comes again from its caller, each time with
//! another id and at any entry. So the evidence belongs to the request itself: a [`Fingerprint`] of
//! what all attempts have in common. Entries announce the crashes that they find to each other, and
//! each one decides by the sum of the evidence ([`SuspicionTable`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cw_types::Incarnation;
use cw_types::TargetId;
use cw_types::Time;
use cw_types::ZoneId;
use cw_wire::CrashNews;
use cw_wire::CrashNotice;
use cw_wire::Fingerprint;

use super::target_sends::SendEnd;
use super::target_sends::SendId;
use super::target_sends::TargetSends;
use crate::Crash;
use crate::CrashId;
use crate::CrashSuspicion;
use crate::SuspicionLimits;
use crate::SuspicionTable;

/// The delays between the announcements of one crash. Three of them make up for lost messages, and
/// the first is sent at once.
const ANNOUNCEMENT_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
];

/// The maximum number of suspects in one message, which must fit into a datagram.
const MAX_ANNOUNCED: usize = 4000;

/// How long the completion of a suspected request is kept. A message about an earlier crash arrives
/// within this time, and the request is not suspected again by it.
const CLEARED_TTL: Duration = Duration::from_secs(10);

/// The time between crashes that are found at different entries and belong to one mass failure.
/// Each entry finds a silent target within a second.
const MASS_WINDOW: Duration = Duration::from_secs(1);

/// The maximum number of crashes that are kept. Each has the requests of one engine.
const MAX_CRASHES: usize = 256;

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

/// Tracks which requests crash the targets that run them.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    table: SuspicionTable,
    sends: TargetSends,
    announcements: BTreeMap<CrashId, Announcement>,
    /// The announcement of all evidence, for an entry that has just appeared.
    full_announcement: Option<Announcement>,
    /// The suspected requests that have completed, and when.
    cleared: BTreeMap<Fingerprint, (Time, Announcement)>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            table: SuspicionTable::new(SuspicionLimits {
                mass_window: MASS_WINDOW,
                max_crashes: MAX_CRASHES,
                ..SuspicionLimits::default()
            }),
            sends: TargetSends::default(),
            announcements: BTreeMap::new(),
            full_announcement: None,
            cleared: BTreeMap::new(),
        }
    }
}

impl CrashTracker {
    /// Returns a time on the scale of the table. Other entries and those before a restart tell of
    /// crashes from before this process started, and its clock begins at its start.
    fn table_time(&self, now: Time) -> Time {
        now + self.table.limits().retention
    }

    // ---- The sends of this entry ----

    /// Records that a request is sent to an incarnation of a target.
    pub fn record_send(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        request: Fingerprint,
    ) -> SendId {
        self.sends.record_send(now, target, incarnation, request)
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, now: Time, target: &TargetId, id: SendId, end: SendEnd) {
        self.sends.record_end(now, target, id, end);
    }

    /// Records that a target is up, so that no send that ended before has crashed it.
    pub fn record_alive(&mut self, target: &TargetId) {
        self.sends.record_alive(target);
    }

    /// Records when an incarnation of a target last responded to a request of this entry.
    pub fn record_response(
        &mut self,
        at: Time,
        zone: &ZoneId,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        let at = self.table_time(at);
        self.table.record_response(at, zone, target, incarnation);
    }

    /// Records that an incarnation of a target has crashed. Returns the requests that may be the
    /// cause, as far as this entry has sent them.
    pub fn record_crash(
        &mut self,
        now: Time,
        target: &TargetId,
        incarnation: Incarnation,
        zone: &ZoneId,
    ) -> BTreeSet<Fingerprint> {
        let sent = self.sends.take_suspects(target, incarnation);
        let suspects: BTreeSet<Fingerprint> = sent.keys().copied().collect();
        if !suspects.is_empty() {
            let crash = Crash {
                id: crash_id(target, incarnation),
                zone: zone.clone(),
                at: self.table_time(now),
                suspects: suspects.clone(),
            };
            self.add(now, crash, send_ages(now, sent));
        }
        suspects
    }

    /// Records that a request has completed, or has run for long enough that it did not crash its
    /// target. The crashes so far do not count against it.
    pub fn record_completion(&mut self, now: Time, request: Fingerprint) {
        if self.table.record_completion(request) {
            let announcement = Announcement::new(now);
            let at = self.table_time(now);
            self.cleared.insert(request, (at, announcement));
        }
    }

    // ---- The decision ----

    /// Returns whether a request is not sent any more, because it crashes the targets that run it.
    pub fn is_refused(&self, request: Fingerprint) -> bool {
        self.table.is_refused(request)
    }

    /// Returns how many crashes count against a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        match self.table.assess(request) {
            CrashSuspicion::Unsuspected => 0,
            CrashSuspicion::Suspected { crashes } | CrashSuspicion::Confirmed { crashes } => {
                crashes
            }
        }
    }

    /// Returns how many requests were in flight at the crash of an incarnation that does not count
    /// against them, because it passes for a part of a mass failure.
    pub fn mass_failure_suspects(&self, target: &TargetId, incarnation: Incarnation) -> usize {
        self.table
            .mass_failure_suspects(&crash_id(target, incarnation))
    }

    /// Returns whether a request may be refused if its `undecided` last losses are crashes.
    pub fn may_refuse(&self, request: Fingerprint, undecided: usize) -> bool {
        self.crash_count(request) + undecided >= self.table.limits().refusing_crashes
    }

    /// Returns the time until the evidence against a request begins to expire.
    pub fn refusal_time_left(&self, now: Time, request: Fingerprint) -> Duration {
        self.table.retention_left(self.table_time(now), request)
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
        let mut announced: usize = news.crashes.iter().map(|crash| crash.suspects.len()).sum();
        let mut announcements = std::mem::take(&mut self.announcements);
        for (id, announcement) in &mut announcements {
            let Some(crash) = self.table.crash(id) else {
                continue;
            };
            if announced < MAX_ANNOUNCED && announcement.is_due(now) {
                let suspects = crash.suspects.iter().copied().collect();
                news.crashes.push(self.notice(now, crash, suspects));
                announced += crash.suspects.len();
            }
        }
        announcements.retain(|_, announcement| !announcement.is_over());
        self.announcements = announcements;
        for (request, (_, announcement)) in &mut self.cleared {
            if announcement.is_due(now) {
                news.cleared.push(*request);
            }
        }
        news
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
        for request in &news.cleared {
            is_new |= self.table.record_completion(*request);
            // It is not announced again, but a late message must not suspect it again either.
            let done = Announcement {
                next_at: now,
                made: ANNOUNCEMENT_DELAYS.len(),
            };
            let at = self.table_time(now);
            self.cleared.entry(*request).or_insert((at, done));
        }
        is_new
    }

    /// Returns the evidence that an entry without any needs in order to refuse the same requests:
    /// the crashes of the requests with more than one.
    pub fn evidence(&self, now: Time) -> CrashNews {
        let mut crashes = Vec::new();
        let mut count = 0;
        for crash in self.table.crashes() {
            let is_repeated = |request: &&Fingerprint| {
                self.table.is_repeated(**request) && self.crash_count(**request) > 1
            };
            let suspects: Vec<Fingerprint> =
                crash.suspects.iter().filter(is_repeated).copied().collect();
            count += suspects.len();
            if !suspects.is_empty() && count <= MAX_ANNOUNCED {
                crashes.push(self.notice(now, crash, suspects));
            }
        }
        CrashNews {
            crashes,
            cleared: Vec::new(),
        }
    }

    /// Drops what is outdated.
    pub fn expire(&mut self, now: Time) {
        self.sends.expire(now);
        for id in self.table.find_isolated() {
            self.announcements.insert(id, Announcement::new(now));
        }
        let table_now = self.table_time(now);
        self.table.expire(table_now);
        // An entry without others announces nothing, so these do not end by themselves.
        let table = &self.table;
        self.announcements.retain(|id, _| table.crash(id).is_some());
        self.cleared
            .retain(|_, (at, _)| table_now.since(*at) <= CLEARED_TTL);
    }

    fn receive_notice(&mut self, now: Time, notice: &CrashNotice) -> bool {
        let at = self.table_time(now).before(notice.age);
        let is_cleared = |request: &Fingerprint| {
            self.cleared
                .get(request)
                .is_some_and(|(cleared_at, _)| *cleared_at >= at)
        };
        let told = notice.suspects.iter().copied();
        let mut suspects: BTreeSet<_> = told.filter(|request| !is_cleared(request)).collect();
        let told_ages = notice.send_ages.iter().copied();
        let mut ages: BTreeMap<_, _> = notice.suspects.iter().copied().zip(told_ages).collect();
        let own = self.sends.take_suspects(&notice.target, notice.incarnation);
        let has_own = !own.is_empty();
        suspects.extend(own.keys().copied());
        let crashed_at = now.before(notice.age);
        ages.extend(send_ages(crashed_at, own));
        if suspects.is_empty() {
            return false;
        }
        let crash = Crash {
            id: crash_id(&notice.target, notice.incarnation),
            zone: notice.zone.clone(),
            at,
            suspects,
        };
        let id = crash.id.clone();
        let is_new = match has_own {
            true => self.add(now, crash, ages),
            false => self.record(crash, ages),
        };
        (notice.is_isolated && self.table.record_isolated(&id)) | is_new
    }

    /// Adds a crash, and announces it if anything in it is new.
    fn add(&mut self, now: Time, crash: Crash, ages: BTreeMap<Fingerprint, Duration>) -> bool {
        let id = crash.id.clone();
        let is_new = self.record(crash, ages);
        if is_new {
            self.announcements.insert(id, Announcement::new(now));
        }
        is_new
    }

    fn record(&mut self, crash: Crash, ages: BTreeMap<Fingerprint, Duration>) -> bool {
        let id = crash.id.clone();
        let is_new = self.table.record(crash);
        self.table.record_send_ages(&id, ages) | is_new
    }

    fn notice(&self, now: Time, crash: &Crash, suspects: Vec<Fingerprint>) -> CrashNotice {
        let ages = self.table.send_ages(&crash.id);
        let age = |suspect: &Fingerprint| ages.and_then(|ages| ages.get(suspect)).copied();
        let send_ages: Option<Vec<Duration>> = suspects.iter().map(age).collect();
        CrashNotice {
            target: crash.id.target.clone(),
            zone: crash.zone.clone(),
            incarnation: crash.id.incarnation,
            age: self.table_time(now).since(crash.at),
            send_ages: send_ages.unwrap_or_default(),
            is_isolated: self.table.is_isolated(&crash.id),
            suspects,
        }
    }
}

/// Returns how long before a crash requests had been sent.
fn send_ages(
    crashed_at: Time,
    sent: BTreeMap<Fingerprint, Time>,
) -> BTreeMap<Fingerprint, Duration> {
    let sent = sent.into_iter();
    sent.map(|(request, sent_at)| (request, crashed_at.since(sent_at)))
        .collect()
}

/// Returns the identity of a crash. An incarnation crashes once, so the sequence number is always 0.
fn crash_id(target: &TargetId, incarnation: Incarnation) -> CrashId {
    CrashId {
        target: target.clone(),
        incarnation,
        sequence: 0,
    }
}
