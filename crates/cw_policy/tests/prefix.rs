//! Tests of prompt blocks and the learned cache index.

use std::collections::BTreeSet;

use cw_policy::prefix::Block;
use cw_policy::prefix::CacheIndex;
use cw_policy::prefix::blocks;
use cw_types::TargetId;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_wire::Message;
use cw_wire::Prompt;
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
