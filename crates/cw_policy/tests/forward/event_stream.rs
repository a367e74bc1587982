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

fn push(stream: &mut EventStream, text: &str) -> Result<String, StreamError> {
    let whole = stream.push(&Bytes::copy_from_slice(text.as_bytes()))?;
    Ok(String::from_utf8(whole.to_vec()).unwrap())
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
