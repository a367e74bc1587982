//! Messages and tables shared by the tests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use cw_policy::AdmissionLimits;
use cw_policy::AttemptLimits;
use cw_policy::AttemptTable;
use cw_policy::Chunk;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::ByteSize;
use cw_types::GenerationId;
use cw_types::Incarnation;
use cw_types::ModelName;
use cw_types::Time;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_types::VersionName;
use cw_wire::Call;
use cw_wire::CallHead;
use cw_wire::Dispatch;
use cw_wire::Fingerprint;
use cw_wire::Generate;
use cw_wire::Load;
use cw_wire::Prompt;
use cw_wire::Sampling;
use cw_wire::Stamp;
use cw_wire::Token;
use cw_wire::Work;

/// Returns limits small enough for the tests to reach all of them.
pub(crate) fn limits() -> AttemptLimits {
    AttemptLimits {
        admission: AdmissionLimits {
            max_running: 3,
            max_waiting: 2,
            queue_bytes: ByteSize::kib(64),
            reserved_slots: 1,
            step_limit: Duration::from_millis(78),
        },
        output_bytes: ByteSize(15_000),
        retention: Duration::from_secs(10),
        tombstone: Duration::from_secs(100),
    }
}

/// Returns the versions loaded at the target.
pub(crate) fn versions() -> BTreeMap<ModelName, BTreeSet<VersionName>> {
    let version = "v1".parse().unwrap();
    BTreeMap::from([("ledger".parse().unwrap(), BTreeSet::from([version]))])
}

/// Returns the table of one incarnation, whose target is up.
pub(crate) fn table(now: Time, incarnation: u64) -> AttemptTable {
    let mut table = AttemptTable::new(Incarnation(incarnation), limits());
    table.on_load(now, now, Load::default(), versions());
    table
}

/// Returns the time at `millis` milliseconds.
pub(crate) fn at(millis: u64) -> Time {
    Time(millis * 1000)
}

/// Returns the stamp of an attempt made in `incarnation` at `now`.
pub(crate) fn stamp(incarnation: u64, now: Time) -> Stamp {
    Stamp {
        incarnation: Incarnation(incarnation),
        age: now.since(Time::default()),
    }
}

/// Returns the ID of an attempt.
pub(crate) fn attempt(generation: u128, attempt: u32) -> AttemptId {
    AttemptId {
        generation: GenerationId(generation),
        attempt: AttemptNo(attempt),
    }
}

/// Returns the dispatch of a generation, which is idempotent.
pub(crate) fn dispatch(id: AttemptId, stamp: Stamp) -> Dispatch {
    Dispatch {
        id,
        stamp,
        repeat: false,
        workspace: "partagez".parse().unwrap(),
        weight: 1,
        rank: 1,
        idempotent: true,
        resumed: false,
        patience: Duration::from_secs(5),
        fingerprint: Fingerprint(id.generation.0 as u64),
        from: TokenIndex(0),
        work: Work::Generate(Generate {
            model: "ledger".parse().unwrap(),
            version: "v1".parse().unwrap(),
            adapter: None,
            prompt: Prompt::Text("who owes whom".to_owned()),
            sampling: Sampling {
                seed: 7,
                temperature: 0.0,
                top_p: 1.0,
                stop: Vec::new(),
            },
            so_far: Vec::new(),
            max_tokens: TokenCount(1000),
        }),
    }
}

/// Returns the dispatch of a call that is not idempotent.
pub(crate) fn call_dispatch(id: AttemptId, stamp: Stamp) -> Dispatch {
    Dispatch {
        idempotent: false,
        work: Work::Call(Call {
            head: CallHead {
                method: "POST".to_owned(),
                path: "/notices".to_owned(),
                headers: BTreeMap::new(),
            },
            body: Bytes::new(),
        }),
        ..dispatch(id, stamp)
    }
}

/// Returns the token that an attempt produces at `index`.
pub(crate) fn token(id: AttemptId, index: u64) -> Token {
    let number = (id.generation.0 as u32) << 20 | id.attempt.0 << 16 | index as u32;
    Token {
        id: TokenId(number),
        text: "word ".to_owned(),
    }
}

/// Returns a chunk of one token.
pub(crate) fn chunk(id: AttemptId, index: u64) -> Chunk {
    Chunk::Tokens(vec![token(id, index)])
}
