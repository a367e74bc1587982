//! Quantities are written with a unit, and parsing the text gives the same value.

use std::time::Duration;

use cw_types::ByteSize;
use cw_types::Rate;
use cw_types::Time;
use cw_types::parse_duration;
use rstest::rstest;

#[rstest]
#[case("512B", 512)]
#[case("64KiB", 64 << 10)]
#[case("8MiB", 8 << 20)]
#[case("2GiB", 2 << 30)]
fn a_size_round_trips_with_its_unit(#[case] text: &str, #[case] bytes: u64) {
    let size: ByteSize = text.parse().expect("the text is a size");

    assert_eq!(size, ByteSize(bytes));
    assert_eq!(size.to_string(), text);
}

#[rstest]
#[case("64")]
#[case("64KB")]
#[case("-1B")]
#[case("99999999999999999GiB")]
fn a_size_without_a_known_unit_is_rejected(#[case] text: &str) {
    assert!(text.parse::<ByteSize>().is_err());
}

#[rstest]
#[case("2.5/s", Some(2.5))]
#[case("20/s", Some(20.0))]
#[case("20", None)]
#[case("-1/s", None)]
#[case("inf/s", None)]
#[case("NaN/s", None)]
fn a_rate_is_finite_not_negative_and_has_a_unit(#[case] text: &str, #[case] expected: Option<f64>) {
    let rate = text.parse::<Rate>().ok();

    assert_eq!(rate, expected.map(Rate));
}

#[rstest]
fn a_duration_without_unit_is_rejected_with_an_example() {
    let error = parse_duration("250").expect_err("a bare number has no unit");

    assert!(error.contains("250ms"), "{error}");
    assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
}

#[rstest]
fn differences_of_times_are_never_negative() {
    let early = Time(1_000);
    let late = early + Duration::from_millis(2);

    assert_eq!(late.since(early), Duration::from_millis(2));
    assert_eq!(early.since(late), Duration::ZERO);
    assert_eq!(early.until(late), Duration::from_millis(2));
}
