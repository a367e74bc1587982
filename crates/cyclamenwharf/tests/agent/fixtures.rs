//! Fixtures, messages and helpers shared by the tests.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cw_types::AttemptId;
use cw_types::AttemptNo;
use cw_types::GenerationId;
use cw_types::TargetKind;
use cw_types::TokenCount;
use cw_types::TokenId;
use cw_types::TokenIndex;
use cw_wire::Call;
use cw_wire::CallHead;
use cw_wire::Dispatch;
use cw_wire::Fingerprint;
use cw_wire::Frame;
use cw_wire::Generate;
use cw_wire::Prompt;
use cw_wire::Report;
use cw_wire::Sampling;
use cw_wire::Stamp;
use cw_wire::Work;
use cw_wire::path;
use cyclamenwharf::Agent;
use cyclamenwharf::AgentHandle;
use cyclamenwharf::AgentListen;
use cyclamenwharf::AgentSettings;
use cyclamenwharf::EngineSettings;
use cyclamenwharf::PeerClient;
use cyclamenwharf::PlatformSettings;
use cyclamenwharf::SecretSettings;
use cyclamenwharf::TargetSettings;
use futures::Stream;
use futures::StreamExt;

use super::reports::FakeRelay;

/// The secret that agents accept.
pub(crate) const SECRET: &str = "secret";
/// The time after which a waiting test counts as hung.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Returns the settings of an agent for the engine at `engine`, which reports to `relay`.
pub(crate) fn settings(engine: SocketAddr, kind: TargetKind, relay: &FakeRelay) -> AgentSettings {
    AgentSettings {
        host: "h1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        region: "r1".parse().unwrap(),
        listen: AgentListen {
            peers: loopback(),
            admin: loopback(),
        },
        target: TargetSettings {
            id: "t1".parse().unwrap(),
            kind,
            address: engine,
        },
        platform: PlatformSettings {
            key_value: vec![relay.address()],
            host_list: relay.address(),
            weight_store: loopback(),
        },
        secrets: SecretSettings {
            peers: vec![SECRET.to_owned()],
        },
        engine: EngineSettings {
            report: Duration::from_millis(20),
            heartbeat: Duration::from_millis(20),
            ..EngineSettings::default()
        },
        log: Default::default(),
    }
}

/// A running agent with its fake relay.
pub(crate) struct Fixture {
    /// The agent under test.
    pub(crate) agent: AgentHandle,
    /// The relay to which the agent reports.
    pub(crate) relay: FakeRelay,
    /// The first report in which the target is up.
    pub(crate) report: Report,
    /// A client with a valid secret.
    pub(crate) client: PeerClient,
}

impl Fixture {
    /// Starts an agent for the engine at `engine` and waits until the target is up.
    pub(crate) async fn start(engine: SocketAddr) -> Self {
        Self::start_with(engine, TargetKind::Engine, |_| {}).await
    }

    /// Starts an agent with changed settings and waits until the target is up.
    pub(crate) async fn start_with(
        engine: SocketAddr,
        kind: TargetKind,
        change: impl FnOnce(&mut AgentSettings),
    ) -> Self {
        let mut relay = FakeRelay::start();
        let mut settings = settings(engine, kind, &relay);
        change(&mut settings);
        let agent = Agent::start(settings).await.unwrap();
        let report = relay.next_up_report().await;
        Self {
            agent,
            relay,
            report,
            client: PeerClient::new(SECRET),
        }
    }

    /// Returns the stamp of a new attempt.
    pub(crate) fn stamp(&self) -> Stamp {
        Stamp {
            incarnation: self.report.incarnation,
            age: self.report.load.age,
        }
    }

    /// Returns a dispatch of an attempt on an engine.
    pub(crate) fn dispatch(&self, attempt: AttemptId) -> Dispatch {
        dispatch(attempt, self.stamp(), Work::Generate(generate()))
    }

    /// Sends a dispatch and returns the frames of the response.
    pub(crate) async fn send(&self, dispatch: &Dispatch) -> Frames {
        self.frames(path::ATTEMPTS, dispatch).await
    }

    /// Sends a message and returns the frames of the response.
    pub(crate) async fn frames<M: serde::Serialize + 'static>(
        &self,
        path: &str,
        message: &M,
    ) -> Frames {
        let frames = self
            .client
            .frames(self.agent.peers, path, message, TEST_TIMEOUT);
        Box::pin(frames.await.unwrap().map(Result::ok))
    }

    /// Sends a message and returns the response.
    pub(crate) async fn call<M, A>(&self, path: &str, message: &M) -> A
    where
        M: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let call = self
            .client
            .call(self.agent.peers, path, message, TEST_TIMEOUT);
        call.await.unwrap()
    }
}

/// The frames of a response; a broken stream yields `None`.
pub(crate) type Frames = std::pin::Pin<Box<dyn Stream<Item = Option<Frame>> + Send>>;

/// Returns the id of an attempt.
pub(crate) fn attempt(generation: u128, attempt: u32) -> AttemptId {
    AttemptId {
        generation: GenerationId(generation),
        attempt: AttemptNo(attempt),
    }
}

/// Returns the work of an attempt on an engine.
pub(crate) fn generate() -> Generate {
    Generate {
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
    }
}

/// Returns a call to a plain service.
pub(crate) fn call() -> Call {
    Call {
        head: CallHead {
            method: "POST".to_owned(),
            path: "/notices".to_owned(),
            headers: [("content-type".to_owned(), "application/json".to_owned())].into(),
        },
        body: Bytes::from_static(b"{\"amount\":12}"),
    }
}

/// Returns a dispatch of an attempt with `work`.
pub(crate) fn dispatch(id: AttemptId, stamp: Stamp, work: Work) -> Dispatch {
    Dispatch {
        id,
        stamp,
        repeat: false,
        workspace: "partagez".parse().unwrap(),
        weight: 1,
        rank: 1,
        idempotent: true,
        resumed: false,
        patience: Duration::from_secs(10),
        fingerprint: Fingerprint(id.generation.0 as u64),
        from: TokenIndex(0),
        work,
    }
}

/// Waits for the next frame except heartbeats; returns `None` if the stream ended or broke.
pub(crate) async fn next_frame(frames: &mut Frames) -> Option<Frame> {
    let next = async {
        loop {
            match frames.next().await.flatten() {
                Some(Frame::Heartbeat { .. }) => {}
                other => return other,
            }
        }
    };
    with_timeout(next).await
}

/// Waits for the next tokens and returns the index of the first one and the token ids.
pub(crate) async fn next_tokens(frames: &mut Frames) -> (u64, Vec<u32>) {
    match next_frame(frames).await {
        Some(Frame::Tokens { first, tokens }) => {
            let ids = tokens.iter().map(|token| token.id);
            (first.0, ids.map(|TokenId(id)| id).collect())
        }
        other => panic!("expected tokens, found {other:?}"),
    }
}

/// Waits for a future, and fails the test if it hangs.
pub(crate) async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, future)
        .await
        .expect("the test hangs")
}

/// Waits until `condition` holds.
pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    with_timeout(async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}
