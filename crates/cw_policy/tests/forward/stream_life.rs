//! Tests of how long what began a stream is remembered and persisted.

use std::time::Duration;

use cw_policy::forward::MIN_STREAM_LIFE;
use cw_policy::forward::StreamLife;
use cw_policy::forward::StreamOriginLimits;
use cw_policy::forward::StreamOrigins;
use cw_wire::Fingerprint;
use cw_wire::SoftwareHash;
use cw_wire::StreamHash;
use cw_wire::StreamOrigin;
use rstest::rstest;

use crate::fixtures::at;
use crate::fixtures::name;

/// The largest value of the users' key-value service in bytes, which holds values in base64.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn origin(number: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamHash::of_attempt(&format!("a{number}")),
        request: Fingerprint(number),
        software: SoftwareHash::of_version(&name("engines"), &name("v1")),
    }
}

/// Returns the origins of streams that began at a rate over the last seconds before `end`, and their ages.
fn begin_streams(
    origins: &mut StreamOrigins,
    rate: u64,
    seconds: u64,
) -> Vec<(Duration, StreamOrigin)> {
    let count = rate * seconds;
    let end = 1000 * seconds + 1;
    let begun = (1..=count).map(|number| {
        let now = number * 1000 / rate;
        origins.record_told(at(now), origin(number));
        (Duration::from_millis(end - now), origin(number))
    });
    begun.collect()
}

/// Guards against streams that nobody knows any more after the loss of all entries: what began a stream was persisted for 12 s,
/// whatever the timeouts of the routes.
#[rstest]
fn streams_of_every_age_that_a_route_allows_are_persisted(
    #[values(1, 25, 40, 120)] timeout: u64,
    #[values(3, 85)] rate: u64,
) {
    let mut life = StreamLife::default();
    life.record_timeout(at(0), secs(timeout));
    let mut origins = StreamOrigins::default();
    origins.set_life(life.longest(at(0)));
    let seconds = 2 * timeout;
    let begun = begin_streams(&mut origins, rate, seconds);

    let persisted = origins.to_persist(at(1000 * seconds + 1));

    assert_eq!(persisted.left_out, 0);
    let in_progress = begun.iter().filter(|(age, _)| *age < secs(timeout));
    let missing: Vec<_> = in_progress
        .filter(|(_, origin)| !persisted.origins.contains(origin))
        .map(|(age, _)| age)
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

/// Guards against a value that the store refuses: all streams of the largest deployment for the longest usual timeout fit, and those
/// that are left out are counted.
#[rstest]
#[case(340, 30, 0)]
#[case(600, 30, 600 * 30 - 16_384)]
fn the_streams_of_large_deployments_fit_the_value(
    #[case] rate: u64,
    #[case] seconds: u64,
    #[case] left_out: usize,
) {
    let mut origins = StreamOrigins::default();
    origins.set_life(secs(seconds));
    begin_streams(&mut origins, rate, seconds);

    let persisted = origins.to_persist(at(1000 * seconds));

    let value = cw_wire::encode(&persisted.origins).unwrap();
    let in_base64 = value.len() * 4 / 3;
    assert!(in_base64 < 3 * MAX_VALUE_BYTES / 4, "{in_base64}");
    assert!(
        persisted.left_out.abs_diff(left_out) <= 1,
        "{}",
        persisted.left_out
    );
    let newest = origin(rate * seconds);
    assert_eq!(persisted.origins.first(), Some(&newest));
}

/// Guards against a stream that is forgotten before its route's timeout, where that is longer than a minute.
#[test]
fn a_stream_is_known_for_its_whole_life() {
    let mut origins = StreamOrigins::default();
    origins.set_life(secs(300));
    origins.record_told(at(0), origin(1));

    origins.expire(at(299_000));

    let known = origins.find(at(299_000), Some(origin(1).stream), origin(1).request);
    assert_eq!(known, Some(origin(1).software));
}

#[test]
fn records_that_are_dropped_before_their_time_are_counted() {
    let limits = StreamOriginLimits {
        capacity: 10,
        ..StreamOriginLimits::default()
    };
    let mut origins = StreamOrigins::new(limits);
    origins.set_life(secs(30));

    for number in 0..25 {
        origins.record_told(at(number), origin(number));
    }

    assert_eq!(origins.dropped(), 15);
}

/// Guards against a shorter timeout that a new configuration brings: streams that began before keep the longer one.
#[test]
fn a_shorter_timeout_counts_after_the_streams_of_the_longer_one() {
    let mut life = StreamLife::default();
    life.record_timeout(at(0), secs(120));

    life.record_timeout(at(10_000), secs(40));

    assert_eq!(life.longest(at(129_000)), secs(120));
    assert_eq!(life.longest(at(131_000)), secs(40));
}

#[test]
fn a_longer_timeout_counts_at_once() {
    let mut life = StreamLife::default();
    life.record_timeout(at(0), secs(40));

    life.record_timeout(at(10_000), secs(120));

    assert_eq!(life.longest(at(10_000)), secs(120));
}

/// Guards against the loss of all entries after a configuration with a shorter timeout: those that start know only that one.
#[test]
fn the_life_before_a_restart_counts_until_its_streams_have_ended() {
    let mut life = StreamLife::default();
    life.record_earlier(at(1_000), secs(120));
    life.record_timeout(at(2_000), secs(40));

    assert_eq!(life.longest(at(120_000)), secs(120));
    assert_eq!(life.longest(at(122_000)), secs(40));
}

#[test]
fn short_routes_leave_the_shortest_life() {
    let mut life = StreamLife::default();
    assert_eq!(life.longest(at(0)), MIN_STREAM_LIFE);

    life.record_timeout(at(0), secs(1));

    assert_eq!(life.longest(at(0)), MIN_STREAM_LIFE);
}
