//! Tests that events reach the caller complete, in order and once, however the bytes are split.

use bytes::Bytes;
use cw_policy::forward::EventStream;
use cw_policy::forward::StreamError;
use rstest::rstest;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: part {id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

/// Adds a text and passes on what is new, unless the text contains something invalid.
fn push(stream: &mut EventStream, text: &str) -> Result<String, StreamError> {
    let (passed, fault) = push_some(stream, text);
    fault.map_or(Ok(passed), Err)
}

/// Adds a text, and passes on what is new before something invalid.
fn push_some(stream: &mut EventStream, text: &str) -> (String, Option<StreamError>) {
    let batch = stream.push(&Bytes::copy_from_slice(text.as_bytes()));
    let fault = batch.fault();
    let passed = stream.pass_on(batch);
    (String::from_utf8(passed.to_vec()).unwrap(), fault)
}

#[test]
fn any_split_gives_the_same_events() {
    let text = events(1..=3);
    for split in 0..=text.len() {
        let mut stream = EventStream::default();

        let first = push(&mut stream, &text[..split]).unwrap();
        let second = push(&mut stream, &text[split..]).unwrap();

        assert_eq!(first + &second, text, "split at {split}");
        assert_eq!(stream.last(), Some(3));
        assert!(!stream.ends_mid_event());
    }
}

#[test]
fn single_bytes_give_the_same_events() {
    let text = events(1..=4);
    let mut stream = EventStream::default();

    let parts = text
        .chars()
        .map(|c| push(&mut stream, &c.to_string()).unwrap());

    assert_eq!(parts.collect::<String>(), text);
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut stream = EventStream::default();

    let passed = push(&mut stream, "id: 1\ndata: half").unwrap();

    assert_eq!(passed, "");
    assert!(stream.ends_mid_event());
    assert_eq!(stream.last(), None);
}

#[test]
fn events_repeated_by_the_next_target_are_dropped() {
    let mut stream = EventStream::default();
    push(&mut stream, &(events(1..=5) + "id: 6\nda")).unwrap();

    stream.restart();
    let passed = push(&mut stream, &events(4..=7)).unwrap();

    assert_eq!(passed, events(6..=7));
    assert_eq!(stream.repeated(), 2);
}

#[test]
fn a_caller_that_has_events_gets_the_rest() {
    let mut stream = EventStream::after(Some(12));

    let passed = push(&mut stream, &events(13..=14)).unwrap();

    assert_eq!(passed, events(13..=14));
}

#[rstest]
#[case(events(1..=2) + &event(4), StreamError::Gap { expected: 3, found: 4 })]
#[case("data: without a number\n\n".to_owned(), StreamError::MissingId)]
#[case("id: seven\ndata: x\n\n".to_owned(), StreamError::MissingId)]
fn a_broken_stream_is_not_passed_on(#[case] text: String, #[case] fault: StreamError) {
    let mut stream = EventStream::default();

    assert_eq!(push(&mut stream, &text), Err(fault));
}

#[test]
fn an_oversized_event_is_rejected() {
    let mut stream = EventStream::default();
    let chunk = "x".repeat(600 << 10);

    push(&mut stream, &chunk).unwrap();

    assert_eq!(push(&mut stream, &chunk), Err(StreamError::TooLong));
}

#[test]
fn lines_before_the_id_are_passed_on() {
    let text = "x-weights: 2\nid: 1\ndata: x\n\n";
    let mut stream = EventStream::default();

    assert_eq!(push(&mut stream, text).unwrap(), text);
}

/// Guards against a stream that counts the events of a batch which was not passed on, as there was no memory for it.
#[test]
fn events_count_as_passed_on_only_once_they_are() {
    let mut stream = EventStream::default();
    push(&mut stream, &events(1..=2)).unwrap();

    let dropped = stream.push(&Bytes::from(events(3..=4)));
    drop(dropped);
    let last = stream.last();
    stream.restart();
    let passed = push(&mut stream, &events(3..=5)).unwrap();

    assert_eq!(last, Some(2));
    assert_eq!(passed, events(3..=5));
}

/// Guards against valid events that are lost with the invalid one in the same read.
#[rstest]
#[case(events(3..=4) + "no event\n\n", StreamError::MissingId)]
#[case(events(3..=4) + &event(6), StreamError::Gap { expected: 5, found: 6 })]
#[case(event(2) + &events(3..=4) + &event(3) + "no event\n\n" + &event(5), StreamError::MissingId)]
fn events_before_an_invalid_one_are_passed_on(#[case] text: String, #[case] fault: StreamError) {
    let mut stream = EventStream::after(Some(2));

    let passed = push_some(&mut stream, &text);

    assert_eq!(passed, (events(3..=4), Some(fault)));
    assert_eq!(stream.last(), Some(4));
}

/// Guards against complete events that are lost with an oversized one behind them.
#[test]
fn events_before_an_oversized_one_are_passed_on() {
    let mut stream = EventStream::default();
    let oversized = "x".repeat(2 << 20);

    let passed = push_some(&mut stream, &(events(1..=2) + &oversized));

    assert_eq!(passed, (events(1..=2), Some(StreamError::TooLong)));
}

/// Guards against a stream that begins with a comment alone: nothing of it has been passed on, and it may still be
/// refused or tried elsewhere.
#[test]
fn a_comment_is_no_event() {
    let mut stream = EventStream::default();

    let batch = stream.push(&Bytes::from_static(b": busy\n\n"));

    assert!(!batch.has_events());
    assert_eq!(stream.pass_on(batch), ": busy\n\n");
    assert_eq!(stream.last(), None);
}
