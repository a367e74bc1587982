//! Tests of prompt blocks, the learned cache index and the follower of cache events.

use std::collections::BTreeSet;

use cw_policy::prefix::Block;
use cw_policy::prefix::CacheEvent;
use cw_policy::prefix::CacheFollower;
use cw_policy::prefix::CacheIndex;
use cw_policy::prefix::CachePage;
use cw_policy::prefix::blocks;
use cw_types::TargetId;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_wire::Message;
use cw_wire::Prompt;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn hashed_blocks(workspace: &str, prompt: &Prompt) -> Vec<Block> {
    let workspace = workspace.parse().unwrap();
    blocks(
        &workspace,
        &"m".parse().unwrap(),
        &"v1".parse().unwrap(),
        None,
        prompt,
    )
}

fn text(length: usize) -> Prompt {
    Prompt::Text("0123456789abcde ".repeat(length / 16))
}

fn chat(length: usize) -> Prompt {
    Prompt::Chat(vec![Message {
        role: "user".to_owned(),
        content: "a".repeat(length),
    }])
}

fn ids(length: usize) -> Prompt {
    Prompt::Ids((0..length as u32).map(TokenId).collect())
}

#[rstest]
#[case(text(20_000), text(60_000))]
#[case(chat(20_000), chat(60_000))]
#[case(ids(5_000), ids(15_000))]
fn prompts_share_the_blocks_of_their_common_prefix(#[case] short: Prompt, #[case] long: Prompt) {
    let short = hashed_blocks("a", &short);
    let long = hashed_blocks("a", &long);
    let common = short.iter().zip(&long).take_while(|(a, b)| a == b).count();

    // A chat's common prefix ends before the end mark of its last message.
    assert!(common >= short.len() - 1, "{common} of {}", short.len());
    assert!(long.len() < 40, "{} blocks", long.len());
}

#[test]
fn workspaces_share_no_blocks() {
    let first: BTreeSet<_> = hashed_blocks("a", &text(4096)).into_iter().collect();
    let second: BTreeSet<_> = hashed_blocks("b", &text(4096)).into_iter().collect();
    assert!(first.is_disjoint(&second));
}

#[test]
fn cached_blocks_are_learned_trusted_less_when_wrong_and_forgotten() {
    let target: TargetId = "t".parse().unwrap();
    let half = hashed_blocks("a", &text(8192));
    let whole = hashed_blocks("a", &text(16_384));
    let share = |cache_index: &CacheIndex| {
        cache_index
            .holders(&whole)
            .next()
            .map(|holder| holder.share)
    };
    let mut cache_index = CacheIndex::default();

    let before = share(&cache_index);
    cache_index.learn(&target, &half, TokenCount(0), TokenCount(1000));
    let learned = share(&cache_index).unwrap();
    for _ in 0..20 {
        cache_index.learn(&target, &half, TokenCount(0), TokenCount(1000));
    }
    let evicted = share(&cache_index).unwrap();
    cache_index.forget(&target);

    assert_eq!(before, None);
    assert!(learned > 0.25 && learned <= 0.5, "{learned}");
    assert!(evicted < 0.05, "{evicted}");
    assert_eq!(share(&cache_index), None);
    cache_index.learn(&target, &half, TokenCount(0), TokenCount(1000));
    assert_eq!(share(&cache_index), Some(learned));
}

/// An entry only estimates how many tokens a prompt has, so a constant error of the estimate does
/// not lower the confidence in a target.
#[test]
fn a_wrong_estimate_of_the_prompts_length_does_not_lower_confidence() {
    let target: TargetId = "t".parse().unwrap();
    let prompt = hashed_blocks("a", &text(8192));
    let mut cache_index = CacheIndex::default();
    for _ in 0..30 {
        cache_index.learn(&target, &prompt, TokenCount(400), TokenCount(1000));
    }
    let share = cache_index.holders(&prompt).next().unwrap().share;
    assert!(share > 0.95, "{share}");
}

#[test]
fn the_size_of_the_cache_index_is_bounded() {
    let target: TargetId = "t".parse().unwrap();
    let mut cache_index = CacheIndex::default();
    for number in 0..10_000 {
        let blocks = hashed_blocks(&format!("w{number}"), &text(4096));
        cache_index.learn(&target, &blocks, TokenCount(0), TokenCount(1000));
    }
    assert!(cache_index.len() <= 32_768, "{}", cache_index.len());
}

/// What the simulated channel does with one page of events.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Deliver,
    Repeat,
    Lose,
    Restart,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Deliver),
        1 => Just(Delivery::Repeat),
        1 => Just(Delivery::Lose),
        1 => Just(Delivery::Restart),
    ]
}

fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config.failure_persistence = None;
    config
}

proptest! {
    #![proptest_config(config())]

    /// Compares the follower with an engine modelled as a set of blocks: after each page that
    /// arrives, the follower has no block that the engine lacks at that point, also after losses.
    #[test]
    fn a_follower_has_no_block_that_the_engine_lacks(
        pages in prop::collection::vec(
            (delivery(), prop::collection::vec((any::<bool>(), 0..20_u64), 0..5)),
            1..60,
        ),
    ) {
        let mut engine = BTreeSet::new();
        let mut follower = CacheFollower::default();
        let (mut boot, mut first) = (1, 0);
        for (delivery, changes) in pages {
            if matches!(delivery, Delivery::Restart) {
                boot += 1;
                first = 0;
                engine.clear();
            }
            let mut events = Vec::new();
            for (stored, block) in changes {
                if stored {
                    engine.insert(block);
                    events.push(CacheEvent::Stored(vec![block]));
                } else {
                    engine.remove(&block);
                    events.push(CacheEvent::Removed(vec![block]));
                }
            }
            let next = first + events.len() as u64;
            let page = CachePage { boot, first, next, gap: false, events };
            first = next;
            match delivery {
                Delivery::Lose => continue,
                Delivery::Repeat => {
                    follower.on_page(&page);
                    follower.on_page(&page);
                }
                Delivery::Deliver | Delivery::Restart => follower.on_page(&page),
            }
            for block in 0..20 {
                let known = follower.cached_prefix(&[block]) == 1;
                prop_assert!(!known || engine.contains(&block), "block {}", block);
            }
            prop_assert_eq!(follower.next(), next);
        }
    }
}

#[test]
fn a_gap_clears_the_follower_and_later_events_apply_again() {
    let page = |first, gap, blocks: &[u64]| CachePage {
        boot: 7,
        first,
        next: first + 1,
        gap,
        events: vec![CacheEvent::Stored(blocks.to_vec())],
    };
    let mut follower = CacheFollower::default();
    follower.on_page(&page(0, false, &[1, 2, 3]));
    let before = follower.cached_prefix(&[1, 2, 3, 4]);
    follower.on_page(&page(5, true, &[1, 2]));

    assert_eq!(before, 3);
    assert_eq!(follower.cached_prefix(&[1, 2, 3, 4]), 2);
    assert_eq!(follower.gaps(), 1);
}
