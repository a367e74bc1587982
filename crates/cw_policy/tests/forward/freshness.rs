//! Tests that an acknowledged change is in force in time at each entry that the store answers, whichever other
//! entries are cut off, slow, paused or killed.

use std::time::Duration;

use cw_policy::forward::Fleet;
use cw_policy::forward::FleetLimits;
use cw_policy::forward::Freshness;
use cw_policy::forward::FreshnessLimits;
use cw_policy::forward::FreshnessStep;
use cw_policy::forward::ReadPatience;
use cw_policy::forward::ReadStep;
use cw_policy::forward::Topic;
use cw_types::HostId;
use cw_types::Incarnation;
use cw_types::Time;
use cw_wire::CrashNews;
use cw_wire::DirectoryUpdate;
use cw_wire::OutstandingWork;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use crate::fixtures::at;
use crate::fixtures::name;

/// The time within which a change must be in force, by the platform's rules, in milliseconds.
const BOUND: u64 = 2000;

/// The length of a step of the simulation, in milliseconds.
const STEP: u64 = 10;

/// How long the store holds a watch open, in milliseconds.
const WATCH_WAIT: u64 = 1000;

/// The time after which a watch without an answer fails, in milliseconds.
const WATCH_TIMEOUT: u64 = 1350;

/// The longest time that the store takes for an answer, in milliseconds.
const CHECK_TIME: u64 = 350;

/// The longest time until the first byte of an answer at a narrow link, whose transfer takes longer, in milliseconds.
const SMALL_CHECK_TIME: u64 = 100;

/// The time between two messages of an entry, in milliseconds.
const MESSAGE_PERIOD: u64 = 200;

/// How long an entry must have been sound until the bound holds for it, by the platform's rules, in milliseconds.
const STABLE_WINDOW: u64 = 3000;

/// The pause after a failed check, in milliseconds.
const RETRY_PAUSE: u64 = 400;

#[test]
fn the_steps_until_a_change_is_in_force_add_up_to_the_bound() {
    let limits = FreshnessLimits::default();

    assert_eq!(
        limits.max_age + limits.check_timeout + limits.reserve,
        limits.in_force_time()
    );
    assert!(limits.in_force_time() <= Duration::from_millis(BOUND));
    // A watching entry in a sound deployment is never taken for one that is too old: a watch that has just been
    // answered, and a message that is sent some time later.
    let usual_age = Duration::from_millis(WATCH_WAIT + MESSAGE_PERIOD);
    assert!(usual_age < limits.max_age);
    for bound in [500, 1000, 2000, 5000].map(Duration::from_millis) {
        assert!(FreshnessLimits::within(bound).in_force_time() <= bound);
    }
}

#[test]
fn knowledge_that_is_too_old_is_checked() {
    let mut freshness = Freshness::default();
    let first = freshness.next_step(at(0), false);
    freshness.confirm_told(at(100));

    let due = at(100) + FreshnessLimits::default().max_age;

    assert_eq!(first, FreshnessStep::Check);
    assert_eq!(
        freshness.next_step(at(200), false),
        FreshnessStep::Rest(due)
    );
    assert_eq!(freshness.next_step(due, false), FreshnessStep::Check);
    assert_eq!(freshness.next_step(at(200), true), FreshnessStep::Check);
    assert_eq!(
        freshness.own_age(at(200)),
        None,
        "the word of another entry is not told on"
    );
}

#[test]
fn a_failed_check_is_repeated_after_a_pause() {
    let mut freshness = Freshness::default();
    freshness.confirm(at(0));

    freshness.record_failure(at(2000), Duration::from_millis(400));

    assert_eq!(
        freshness.next_step(at(2100), true),
        FreshnessStep::Rest(at(2400))
    );
    assert_eq!(freshness.next_step(at(2400), true), FreshnessStep::Check);
    assert_eq!(freshness.own_age(at(100)), None);
}

/// Guards against a read that is given up although its bytes come, and against one whose bytes never end.
#[test]
fn a_read_ends_by_silence_and_at_the_latest_after_a_while() {
    let silence = Duration::from_millis(500);
    let mut patience = ReadPatience::new(at(0), silence);
    let mut bytes = 0;

    let first = patience.next_step(at(0));
    let mut last = 0;
    while patience.next_step(at(last)) != ReadStep::GiveUp && last < 60_000 {
        last += 400;
        bytes += 1;
        patience.record_bytes(at(last), bytes);
    }
    let mut silent = ReadPatience::new(at(0), silence);
    silent.record_bytes(at(400), 1);
    let is_more = silent.record_bytes(at(800), 1);

    assert_eq!(first, ReadStep::Wait(at(500)));
    assert_eq!(last, 10_000, "a read takes no longer");
    assert!(!is_more);
    assert_eq!(silent.next_step(at(899)), ReadStep::Wait(at(900)));
    assert_eq!(silent.next_step(at(900)), ReadStep::GiveUp);
}

/// What an entry has asked the store.
#[derive(Clone, Copy, Debug)]
enum Call {
    /// A question that has been answered at the end of its time, or is given up then.
    Check {
        sent: u64,
        ends: u64,
        /// The version in the answer, `None` if there is none in time.
        version: Option<u64>,
    },
    /// A watch.
    Watch { sent: u64, ends: u64 },
}

/// An entry of the simulation.
struct Entry {
    host: HostId,
    incarnation: u64,
    sequence: u64,
    fleet: Fleet,
    freshness: Freshness,
    version: u64,
    check: Option<Call>,
    watch: Option<Call>,
    /// As of when the store has last told all changes to this entry.
    confirmed_at: u64,
    sends_at: u64,
    /// Until when the store does not answer this entry.
    cut_until: u64,
    /// Until when the process stands still.
    paused_until: u64,
    /// How long its messages are under way.
    delay: u64,
    /// Since when the store answers it and the process runs.
    sound_since: u64,
    /// How long its link takes for the configuration.
    transfer: u64,
}

fn new_entry(number: usize, incarnation: u64, sim: &Setting) -> Entry {
    let (now, count) = (sim.now, sim.count);
    let limits = FreshnessLimits::within(Duration::from_millis(sim.bound));
    let mut fleet = Fleet::new(FleetLimits::default());
    let host: HostId = name(&format!("entry-{number:03}"));
    let others = (0..count).filter(|other| *other != number);
    let others = others.map(|other| name(&format!("entry-{other:03}")));
    fleet.set_entries(&host, others);
    Entry {
        host,
        incarnation,
        sequence: 0,
        fleet,
        freshness: Freshness::new(limits),
        version: 0,
        check: None,
        watch: None,
        confirmed_at: 0,
        sends_at: now,
        cut_until: 0,
        paused_until: 0,
        delay: 1,
        sound_since: now,
        // A third of the links are wide.
        transfer: if number % 3 == 2 { 0 } else { sim.transfer },
    }
}

/// A message under way.
struct Datagram {
    arrives: u64,
    to: usize,
    message: OutstandingWork,
}

/// What the entries of a simulation have in common.
#[derive(Clone, Copy, Debug)]
struct Setting {
    now: u64,
    count: usize,
    /// The time within which a change must be in force.
    bound: u64,
    /// How long narrow links take for the configuration.
    transfer: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            now: 0,
            count: 4,
            bound: BOUND,
            transfer: 0,
        }
    }
}

/// A store, entries that keep up with its configuration, and what goes wrong with them.
struct Simulation {
    rng: SmallRng,
    setting: Setting,
    entries: Vec<Entry>,
    datagrams: Vec<Datagram>,
    /// The version of the store, and when it was acknowledged.
    versions: Vec<(u64, u64)>,
    /// The version that the store gives back, which may be an older one.
    stored: u64,
    message_loss: f64,
    calls: usize,
}

/// What a simulation has shown.
#[derive(Debug, Default)]
struct Outcome {
    /// The longest time from an acknowledgement until a change was in force at an entry that ran and that the store
    /// answered all the while.
    longest: u64,
    calls: usize,
    changes: usize,
}

impl Simulation {
    fn new(seed: u64, count: usize, message_loss: f64) -> Self {
        let setting = Setting {
            count,
            ..Setting::default()
        };
        Self::of_setting(seed, setting, message_loss)
    }

    fn of_setting(seed: u64, setting: Setting, message_loss: f64) -> Self {
        let entries = (0..setting.count).map(|number| new_entry(number, 1, &setting));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            setting,
            entries: entries.collect(),
            datagrams: Vec::new(),
            versions: vec![(1, 0)],
            stored: 1,
            message_loss,
            calls: 0,
        }
    }

    /// Plays `steps` steps, in each of which something goes wrong with the probability `trouble`.
    fn play(&mut self, steps: u64, trouble: f64) -> Outcome {
        let mut outcome = Outcome::default();
        let mut next_change = 3000;
        for step in 0..steps {
            let now = step * STEP;
            if now > 4000 && self.rng.random_bool(trouble) {
                self.break_something(now);
            }
            if now >= next_change {
                let version = self.versions.len() as u64 + 1;
                self.versions.push((version, now));
                self.stored = version;
                next_change = now + self.rng.random_range(300..4000);
            }
            self.deliver(now);
            for number in 0..self.entries.len() {
                if self.entries[number].paused_until <= now {
                    self.run_entry(now, number);
                }
            }
            outcome.longest = outcome.longest.max(self.longest_delay(now));
        }
        outcome.calls = self.calls;
        outcome.changes = self.versions.len() - 1;
        outcome
    }

    fn break_something(&mut self, now: u64) {
        let count = self.entries.len();
        // The entries that watch are hit most often.
        let number = match self.rng.random_bool(0.7) {
            true => self.rng.random_range(0..count.min(6)),
            false => self.rng.random_range(0..count),
        };
        let until = now + self.rng.random_range(500..6000);
        let entry = &mut self.entries[number];
        match self.rng.random_range(0..5) {
            0 | 1 => entry.cut_until = until,
            2 => entry.paused_until = until,
            3 => {
                let incarnation = entry.incarnation + 1;
                let setting = Setting {
                    now,
                    ..self.setting
                };
                *entry = new_entry(number, incarnation, &setting);
            }
            _ => entry.delay = self.rng.random_range(1..900),
        }
    }

    fn deliver(&mut self, now: u64) {
        let (arrived, waiting) =
            std::mem::take(&mut self.datagrams)
                .into_iter()
                .partition(|datagram| {
                    datagram.arrives <= now && self.entries[datagram.to].paused_until <= now
                });
        self.datagrams = waiting;
        for datagram in arrived {
            let entry = &mut self.entries[datagram.to];
            let message = &datagram.message;
            if !entry.fleet.receive_peer(at(now), message) {
                continue;
            }
            if let Some(update) = &message.directory
                && update.config <= entry.version
                && let Some(as_of) = entry.fleet.confirmation(&message.host, Topic::Config)
            {
                entry.freshness.confirm_told(as_of);
            }
        }
    }

    fn run_entry(&mut self, now: u64, number: usize) {
        self.end_calls(now, number);
        let is_cut = self.entries[number].cut_until > now;
        let entry = &mut self.entries[number];
        if is_cut || entry.paused_until + STEP > now {
            entry.sound_since = now;
        }
        entry.fleet.expire_peers(at(now));
        let is_behind = entry.version < entry.fleet.newest_config();
        let step = entry.freshness.next_step(at(now), is_behind);
        if step == FreshnessStep::Check && entry.check.is_none() {
            self.calls += 1;
            let timeout = u64::try_from(entry.freshness.check_timeout().as_millis()).unwrap();
            // The store takes its time, up to the timeout of the first check.
            let time = match entry.transfer {
                0 => self.rng.random_range(STEP..CHECK_TIME),
                transfer => transfer + self.rng.random_range(STEP..SMALL_CHECK_TIME),
            };
            entry.check = Some(Call::Check {
                sent: now,
                ends: now + if is_cut { timeout } else { time },
                version: (!is_cut).then_some(self.stored),
            });
        }
        let is_watcher = entry.fleet.is_watcher(at(now), Topic::Config);
        let is_fresh = entry.freshness.own_age(at(now)).is_some();
        if is_watcher && is_fresh && entry.watch.is_none() {
            self.calls += 1;
            // The age of the last confirmation never exceeds the longest wait.
            let wait = WATCH_WAIT.saturating_sub(now - entry.confirmed_at.min(now));
            let ends = now + if is_cut { WATCH_TIMEOUT } else { wait };
            entry.watch = Some(Call::Watch { sent: now, ends });
        }
        if now >= entry.sends_at {
            entry.sends_at = now + MESSAGE_PERIOD;
            self.send(now, number);
        }
    }

    fn end_calls(&mut self, now: u64, number: usize) {
        let stored = self.stored;
        let entry = &mut self.entries[number];
        let is_cut = entry.cut_until > now;
        if let Some(Call::Check {
            sent,
            ends,
            version,
        }) = entry.check
            && now >= ends
        {
            entry.check = None;
            // An answer that takes long tells what the store had when it began.
            let version = version.filter(|_| !is_cut);
            let version = version.map(|sent| if entry.transfer == 0 { stored } else { sent });
            entry.version = entry.version.max(version.unwrap_or_default());
            match version {
                None => entry
                    .freshness
                    .record_failure(at(now), Duration::from_millis(RETRY_PAUSE)),
                Some(_) => {
                    entry.freshness.record_success();
                    let time = Duration::from_millis(now - sent);
                    entry.freshness.record_read_time(time);
                    entry.confirmed_at = sent;
                    entry.freshness.confirm(at(sent));
                }
            }
        }
        let Some(Call::Watch { sent, ends }) = entry.watch else {
            return;
        };
        if !is_cut && entry.version < stored {
            // A change comes with the whole configuration.
            let index = usize::try_from(entry.version).unwrap();
            let acked = self.versions.get(index).map_or(0, |(_, acked)| *acked);
            if now >= sent.max(acked) + entry.transfer {
                entry.version = match entry.transfer {
                    0 => stored,
                    _ => entry.version + 1,
                };
                entry.watch = None;
                entry.confirmed_at = sent;
                entry.freshness.confirm(at(sent));
            }
        } else if now >= ends && !is_cut {
            entry.watch = None;
            entry.confirmed_at = ends.min(now);
            entry.freshness.confirm(at(entry.confirmed_at));
        } else if now >= sent + WATCH_TIMEOUT {
            entry.watch = None;
            entry.freshness.expire();
        }
    }

    fn send(&mut self, now: u64, number: usize) {
        let entry = &mut self.entries[number];
        entry.sequence += 1;
        let is_watcher = entry.fleet.is_any_watcher(at(now));
        let directory = is_watcher.then(|| DirectoryUpdate {
            up: true,
            trusted: true,
            config: entry.version,
            newest: 1,
            changes: Vec::new(),
            known: 1,
            config_age: entry.freshness.own_age(at(now)),
            targets_age: entry.freshness.own_age(at(now)),
        });
        let message = OutstandingWork {
            host: entry.host.clone(),
            incarnation: Incarnation(entry.incarnation),
            sequence: entry.sequence,
            shares: Vec::new(),
            lost: Vec::new(),
            prompts: Vec::new(),
            crashes: CrashNews::default(),
            limits: Vec::new(),
            demands: None,
            rollouts: Vec::new(),
            // The clocks of entries have different origins.
            origins: Vec::new(),
            clock: Some(Duration::from_millis(now + 7000 * number as u64)),
            config: entry.version,
            directory,
        };
        let arrives = now + entry.delay;
        for to in (0..self.entries.len()).filter(|to| *to != number) {
            if !self.rng.random_bool(self.message_loss) {
                let message = message.clone();
                self.datagrams.push(Datagram {
                    arrives,
                    to,
                    message,
                });
            }
        }
    }

    /// Returns how long the oldest change that is not in force at an entry has been acknowledged while the bound
    /// holds for that entry.
    fn longest_delay(&self, now: u64) -> u64 {
        let delay = |entry: &Entry| {
            let missing = self
                .versions
                .iter()
                .find(|(version, _)| *version > entry.version);
            missing.map_or(0, |(_, acked)| {
                now.saturating_sub(*acked.max(&(entry.sound_since + STABLE_WINDOW)))
            })
        };
        let running = self
            .entries
            .iter()
            .filter(|entry| entry.paused_until <= now);
        running.map(delay).max().unwrap_or_default()
    }
}

/// Guards against entries that rely on those that watch the store: any of these may be cut off, paused, killed or
/// slow, together and one after the other, and their messages late or lost.
///
/// `CW_FRESHNESS_SEED` and `CW_FRESHNESS_COUNT` choose other seeds.
#[test]
fn a_change_is_in_force_in_time_in_random_histories() {
    let number = |name: &str, default: u64| {
        let value = std::env::var(name).ok();
        value.map_or(default, |value| value.parse().expect("a number"))
    };
    let first = number("CW_FRESHNESS_SEED", 1);
    let mut longest = 0;

    for seed in first..first + number("CW_FRESHNESS_COUNT", 40) {
        let count = [2, 4, 4, 9, 23][usize::try_from(seed % 5).unwrap()];
        let loss = [0.0, 0.03, 0.3][usize::try_from(seed % 3).unwrap()];
        let outcome = Simulation::new(seed, count, loss).play(3000, 0.02);
        longest = longest.max(outcome.longest);
        assert!(outcome.longest <= BOUND, "seed {seed}: {outcome:?}");
    }

    println!("the longest time until a change was in force: {longest} ms");
    assert!(longest > 0, "the histories hold changes");
}

/// The number of histories with each size of a large configuration.
const LARGE_SEEDS: u64 = 10;

/// Guards against reads that are given up while their bytes still come, and begun again: a large configuration arrived
/// late, or never, over narrow links.
#[rstest]
fn a_large_configuration_is_in_force_in_time_in_random_histories(
    #[values(300, 600, 1100)] transfer: u64,
    #[values(4, 30)] count: usize,
    #[values(0.0, 0.03)] message_loss: f64,
) {
    let setting = Setting {
        count,
        bound: 3000,
        transfer,
        ..Setting::default()
    };
    for seed in 1..=LARGE_SEEDS {
        let outcome = Simulation::of_setting(seed, setting, message_loss).play(3000, 0.02);

        assert!(outcome.longest <= setting.bound, "seed {seed}: {outcome:?}");
        assert!(outcome.longest >= transfer, "the histories hold changes");
    }
}

/// Guards against entries that all call the store although some of them watch it for all.
#[test]
fn few_entries_call_the_store_in_a_sound_deployment() {
    let seconds: u64 = 30;
    for count in [4, 23, 103] {
        let outcome = Simulation::new(1, count, 0.01).play(seconds * 1000 / STEP, 0.0);

        // Each entry reads the configuration at its start and after each change. Two entries watch, with a call a
        // second and two for each change.
        let reads = count * (1 + outcome.changes);
        let watches = 2 * (usize::try_from(seconds).unwrap() + 2 * outcome.changes);
        println!("{count} entries, {seconds} s: {outcome:?}, {reads} reads");
        assert!(outcome.calls <= reads + watches, "{outcome:?}");
    }
}

/// Guards against a message that was held up on its way, which tells a confirmation as if it were recent.
#[test]
fn a_message_that_was_held_up_confirms_nothing_newer_than_it_knew() {
    let message = |sequence: u64, sent: u64| OutstandingWork {
        host: name("a"),
        incarnation: Incarnation(1),
        sequence,
        shares: Vec::new(),
        lost: Vec::new(),
        prompts: Vec::new(),
        crashes: CrashNews::default(),
        limits: Vec::new(),
        demands: None,
        rollouts: Vec::new(),
        origins: Vec::new(),
        clock: Some(Duration::from_millis(sent)),
        config: 1,
        directory: Some(DirectoryUpdate {
            up: true,
            trusted: true,
            config: 1,
            newest: 1,
            changes: Vec::new(),
            known: 1,
            config_age: Some(Duration::from_millis(300)),
            targets_age: None,
        }),
    };
    let confirmed = |fleet: &Fleet| fleet.confirmation(&name("a"), Topic::Config);
    let mut fleet = Fleet::new(FleetLimits::default());

    fleet.receive_peer(at(5000), &message(1, 100));
    let prompt = confirmed(&fleet);
    fleet.receive_peer(at(6800), &message(2, 1100));

    assert_eq!(prompt, Some(at(4700)));
    assert_eq!(confirmed(&fleet), Some(at(5700)), "it was sent at 6000");
    assert_eq!(fleet.confirmation(&name("a"), Topic::Targets), None::<Time>);
}
