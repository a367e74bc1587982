//! Decoders of untrusted bytes never panic, and encoded frames decode to the same frames.
//!
//! The cases are generated from a fixed seed; `PROPTEST_CASES=100000` makes a longer run.

use std::time::Duration;

use bytes::BytesMut;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Dispatch;
use cw_wire::FinishReason;
use cw_wire::Frame;
use cw_wire::FrameCodec;
use cw_wire::Report;
use cw_wire::Token;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// The seed of all generated cases in this file.
const SEED: [u8; 32] = *b"cyclamenwharf decoders seed 0001";

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    println!("seed: {}", String::from_utf8_lossy(&SEED));
    TestRunner::new_with_rng(ProptestConfig::default(), rng)
}

fn frames() -> impl Strategy<Value = Frame> {
    let token = (any::<u32>(), ".{0,8}").prop_map(|(id, text)| Token {
        id: TokenId(id),
        text,
    });
    prop_oneof![
        (any::<u64>(), vec(token, 0..8)).prop_map(|(first, tokens)| Frame::Tokens {
            first: TokenIndex(first),
            tokens,
        }),
        any::<u32>().prop_map(|ms| Frame::Heartbeat {
            quiet: Duration::from_millis(ms.into()),
        }),
        any::<u64>().prop_map(|next| Frame::Done {
            finish: FinishReason::Stop,
            next: TokenIndex(next),
        }),
    ]
}

#[rstest]
fn frames_split_at_any_byte_decode_unchanged() {
    let cases = (vec(frames(), 0..6), 1_usize..32);
    let round_trip = |(frames, chunk_bytes): (Vec<Frame>, usize)| {
        let mut encoded = BytesMut::new();
        for frame in &frames {
            FrameCodec::default().encode(frame, &mut encoded).unwrap();
        }

        let mut codec = FrameCodec::default();
        let mut buffer = BytesMut::new();
        let mut decoded = Vec::new();
        for chunk in encoded.chunks(chunk_bytes) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = codec.decode(&mut buffer).unwrap() {
                decoded.push(frame);
            }
        }

        prop_assert_eq!(decoded, frames);
        Ok(())
    };

    runner().run(&cases, round_trip).unwrap();
}

#[rstest]
fn arbitrary_bytes_never_panic() {
    let decode_all = |bytes: Vec<u8>| {
        let _ = cw_wire::decode::<Dispatch>(&bytes);
        let _ = cw_wire::decode::<Report>(&bytes);
        let mut buffer = BytesMut::from(bytes.as_slice());
        while let Ok(Some(_)) = FrameCodec::default().decode(&mut buffer) {}
        Ok(())
    };

    runner().run(&vec(any::<u8>(), 0..512), decode_all).unwrap();
}
