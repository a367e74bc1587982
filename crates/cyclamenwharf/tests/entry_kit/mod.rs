//! An entry on a view made by hand, before small agents that speak frames.

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
pub(crate) const KEY: &str = "key-of-workspace-a";

/// What a test's deployment is.
pub(crate) struct Setup {
    /// The agents of the engines, in the order of their names `e0`, `e1`, ….
    pub(crate) engines: Vec<FakeAgent>,
    /// The agents of the plain service `loans`, named `s0`, `s1`, ….
    pub(crate) services: Vec<FakeAgent>,
    /// How lost attempts are recovered.
    pub(crate) recovery: Recovery,
    /// Whether requests may run more than once.
    pub(crate) idempotent: bool,
    /// How long a request may wait before its first token.
    pub(crate) patience: Duration,
    /// How long a caller may be gone.
    pub(crate) absence: Duration,
    /// The quota of each workspace.
    pub(crate) quota: Quota,
    /// The key-value service.
    pub(crate) store: Arc<MemoryStore>,
}

impl Setup {
    /// Returns a deployment of `count` engines: their dispatches, in order, follow the scripts.
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

    /// Returns a deployment of `count` plain services: their dispatches follow the scripts.
    pub(crate) fn services(count: usize, scripts: &[Script]) -> Self {
        let mut setup = Self::engines(count, scripts);
        setup.services = std::mem::take(&mut setup.engines);
        setup
    }

    /// Returns how many attempts were dispatched to all agents together.
    pub(crate) fn dispatched(&self) -> usize {
        let agents = self.engines.iter().chain(&self.services);
        agents.map(FakeAgent::dispatched).sum()
    }

    /// Starts an entry before these agents.
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
            priority: name_of("normal"),
            recovery: self.recovery,
            idempotent: self.idempotent,
            patience: self.patience,
        };
        let model = RouteTarget::Model {
            model: name_of("m"),
            version: name_of("v1"),
            adapter: None,
        };
        let service = RouteTarget::Service {
            service: "loans".to_owned(),
        };
        config.routes.insert(name("chat"), route(model));
        config.routes.insert(name_of("loans"), route(service));
        let workspace = |key| Workspace {
            keys: vec![KeyHash::of(key)],
            quota: self.quota.clone(),
            weight: 1,
        };
        config.workspaces.insert(name_of("a"), workspace(KEY));
        config.workspaces.insert(name_of("b"), workspace("other"));
        let mut targets = BTreeMap::new();
        for (at, agent) in self.engines.iter().enumerate() {
            let target = target(agent, TargetKind::Engine);
            targets.insert(name_of(&format!("e{at}")), target);
        }
        for (at, agent) in self.services.iter().enumerate() {
            let kind = TargetKind::Service {
                service: "loans".to_owned(),
            };
            targets.insert(name_of(&format!("s{at}")), target(agent, kind));
        }
        View {
            config: Arc::new(config),
            targets,
            entries: Vec::new(),
        }
    }
}

fn name_of<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a name")
}

fn target(agent: &FakeAgent, kind: TargetKind) -> TargetView {
    TargetView {
        target: Target {
            agent: agent.address(),
            host: name_of("h"),
            zone: name_of("z"),
            region: name_of("r"),
            kind,
            fenced: true,
            versions: BTreeMap::new(),
        },
        liveness: Liveness::Alive,
        incarnation: Incarnation(1),
        load: Load::default(),
        reported_at: Default::default(),
        alive_since: Default::default(),
        versions: BTreeMap::from([(name_of("m"), BTreeSet::from([name_of("v1")]))]),
        crashes: Vec::new(),
    }
}

fn settings(absence: Duration) -> EntrySettings {
    EntrySettings {
        host: name_of("entry"),
        zone: name_of("z"),
        region: name_of("r"),
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
