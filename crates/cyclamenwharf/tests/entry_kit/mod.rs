//! Starts an entry with a fixed view and fake agents.

#![expect(dead_code, reason = "each test file uses a part of the kit")]
#![expect(unused_imports, reason = "each test file uses a part of the kit")]

mod caller;
mod fake_agent;
pub(crate) mod memory_store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cw_policy::Liveness;
use cw_policy::TargetView;
use cw_policy::View;
use cw_store::KeyValueStore;
use cw_types::Config;
use cw_types::Incarnation;
use cw_types::KeyHash;
use cw_types::Quota;
use cw_types::Recovery;
use cw_types::Route;
use cw_types::RouteTarget;
use cw_types::Target;
use cw_types::TargetKind;
use cw_types::Workspace;
use cw_wire::Load;
use cyclamenwharf::Clock;
use cyclamenwharf::Entry;
use cyclamenwharf::EntryHandle;
use cyclamenwharf::EntryListen;
use cyclamenwharf::EntryParts;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::Health;
use cyclamenwharf::LimitSettings;
use cyclamenwharf::LogSettings;
use cyclamenwharf::PlatformSettings;
use cyclamenwharf::RecoverySettings;
use cyclamenwharf::SecretSettings;
use cyclamenwharf::SharedView;
use prometheus::Registry;

use memory_store::MemoryStore;

pub(crate) use caller::Reply;
pub(crate) use caller::complete;
pub(crate) use caller::send;
pub(crate) use fake_agent::FakeAgent;
pub(crate) use fake_agent::Script;
pub(crate) use fake_agent::text;
pub(crate) use fake_agent::token;

/// The API key of the workspace `a`.
pub(crate) const API_KEY: &str = "key-of-workspace-a";

/// The deployment of a test.
pub(crate) struct Setup {
    /// The agents of the engines `e0`, `e1`, …, in this order.
    pub(crate) engines: Vec<FakeAgent>,
    /// The agents of the targets `s0`, `s1`, … of the plain service `loans`, in this order.
    pub(crate) services: Vec<FakeAgent>,
    /// The recovery mode of all routes.
    pub(crate) recovery: Recovery,
    /// Whether requests may run more than once, as set in all routes.
    pub(crate) idempotent: bool,
    /// How long a request may wait before its first token.
    pub(crate) patience: Duration,
    /// How long a caller may be disconnected before its generation is cancelled.
    pub(crate) absence: Duration,
    /// The quota of each workspace.
    pub(crate) quota: Quota,
    /// The key-value store that holds the claims.
    pub(crate) store: Arc<MemoryStore>,
}

impl Setup {
    /// Creates a deployment of `count` engines whose dispatches, in order, follow the scripts.
    pub(crate) fn engines(count: usize, scripts: &[Script]) -> Self {
        let scripts = Arc::new(Mutex::new(scripts.to_vec()));
        let engine = |_| FakeAgent::start(Arc::clone(&scripts));
        Self {
            engines: (0..count).map(engine).collect(),
            services: Vec::new(),
            recovery: Recovery::Latency,
            idempotent: true,
            patience: Duration::from_secs(10),
            absence: Duration::from_secs(30),
            quota: Quota::default(),
            store: Arc::default(),
        }
    }

    /// Creates a deployment of `count` targets of a plain service whose dispatches, in order,
    /// follow the scripts.
    pub(crate) fn services(count: usize, scripts: &[Script]) -> Self {
        let mut setup = Self::engines(count, scripts);
        setup.services = std::mem::take(&mut setup.engines);
        setup
    }

    /// Returns the number of dispatches that all agents together have received.
    pub(crate) fn dispatched(&self) -> usize {
        let agents = self.engines.iter().chain(&self.services);
        agents.map(FakeAgent::dispatched).sum()
    }

    /// Starts an entry whose view has these agents as its targets.
    pub(crate) fn entry(&self) -> EntryHandle {
        let view = SharedView::default();
        view.store(Arc::new(self.view()));
        let health = Arc::new(Health::default());
        health.set_configured();
        Entry::serve(EntryParts {
            settings: settings(self.absence),
            clock: Clock::default(),
            view,
            store: Arc::clone(&self.store) as Arc<dyn KeyValueStore>,
            registry: Registry::new(),
            health,
            traces: Default::default(),
            demands: Default::default(),
        })
        .expect("loopback can be listened on")
    }

    fn view(&self) -> View {
        let name = |text: &str| text.parse().expect("a name");
        let mut config = Config::default();
        let route = |to| Route {
            to,
            workspaces: BTreeSet::new(),
            priority: parse_name("normal"),
            recovery: self.recovery,
            idempotent: self.idempotent,
            patience: self.patience,
        };
        let model = RouteTarget::Model {
            model: parse_name("m"),
            version: parse_name("v1"),
            adapter: None,
        };
        let service = RouteTarget::Service {
            service: "loans".to_owned(),
        };
        config.routes.insert(name("chat"), route(model));
        config.routes.insert(parse_name("loans"), route(service));
        let workspace = |key| Workspace {
            keys: vec![KeyHash::of(key)],
            quota: self.quota.clone(),
            weight: 1,
        };
        config
            .workspaces
            .insert(parse_name("a"), workspace(API_KEY));
        config
            .workspaces
            .insert(parse_name("b"), workspace("other"));
        let mut targets = BTreeMap::new();
        for (at, agent) in self.engines.iter().enumerate() {
            let target = target(agent, TargetKind::Engine);
            targets.insert(parse_name(&format!("e{at}")), target);
        }
        for (at, agent) in self.services.iter().enumerate() {
            let kind = TargetKind::Service {
                service: "loans".to_owned(),
            };
            targets.insert(parse_name(&format!("s{at}")), target(agent, kind));
        }
        View {
            config: Arc::new(config),
            targets,
            entries: Vec::new(),
        }
    }
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a name")
}

fn target(agent: &FakeAgent, kind: TargetKind) -> TargetView {
    TargetView {
        target: Target {
            agent: agent.address(),
            host: parse_name("h"),
            zone: parse_name("z"),
            region: parse_name("r"),
            kind,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load::default(),
        reported_at: Default::default(),
        alive_since: Default::default(),
        versions: BTreeMap::from([(parse_name("m"), BTreeSet::from([parse_name("v1")]))]),
        crashes: Vec::new(),
    }
}

fn settings(absence: Duration) -> EntrySettings {
    EntrySettings {
        host: parse_name("entry"),
        zone: parse_name("z"),
        region: parse_name("r"),
        listen: EntryListen {
            callers: loopback(),
            peers: loopback(),
            admin: loopback(),
        },
        platform: PlatformSettings {
            key_value: Vec::new(),
            host_list: loopback(),
            weight_store: loopback(),
        },
        secrets: SecretSettings {
            peers: vec!["secret".to_owned()],
        },
        limits: LimitSettings {
            body: cw_types::ByteSize::kib(64),
            absence,
            ..LimitSettings::default()
        },
        recovery: RecoverySettings::default(),
        routing: Default::default(),
        slo: Default::default(),
        trace: Default::default(),
        log: LogSettings::default(),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
