//! Entries' control state on loopback, around stand-ins of the platform.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;
use cw_testkit::FakeEtcd;
use cw_testkit::FakeHostList;
use cw_testkit::FakeWeightStore;
use cw_types::ByteSize;
use cw_types::Record;
use cw_types::RecordKind;
use cw_types::Revision;
use cw_types::SchemaVersion;
use cw_types::Snapshot;
use cw_types::Target;
use cw_types::TargetKind;
use cw_wire::Report;
use cw_wire::TargetState;
use cyclamenwharf::Clock;
use cyclamenwharf::Control;
use cyclamenwharf::ControlParts;
use cyclamenwharf::EntryListen;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::Health;
use cyclamenwharf::PeerClient;
use cyclamenwharf::PlatformSettings;
use cyclamenwharf::SecretSettings;
use cyclamenwharf::Supervisor;
use serde_json::Value;

/// The secret of all processes.
pub(crate) const SECRET: &str = "a-shared-secret";

/// The configuration key.
pub(crate) const CONFIG_KEY: &str = "cyclamenwharf/config";

/// A hang guard, far above what anything takes.
const GUARD: Duration = Duration::from_secs(30);

/// The platform.
pub(crate) struct Platform {
    pub(crate) key_value: FakeEtcd,
    pub(crate) host_list: FakeHostList,
    pub(crate) weight_store: FakeWeightStore,
}

/// One entry's control state.
pub(crate) struct Node {
    pub(crate) control: Control,
    pub(crate) health: Arc<Health>,
    pub(crate) supervisor: Supervisor,
}

impl Platform {
    pub(crate) async fn start() -> Self {
        let weights = [("weights-1".to_owned(), ByteSize::mib(64))].into();
        Self {
            key_value: FakeEtcd::start().await.expect("a free port"),
            host_list: FakeHostList::start().await.expect("a free port"),
            weight_store: FakeWeightStore::start(weights, ByteSize::mib(256))
                .await
                .expect("a free port"),
        }
    }

    /// Starts an entry's control state and lists its host.
    pub(crate) async fn start_node(&self, name: &str) -> Node {
        let settings = self.settings(name);
        let health = Arc::new(Health::default());
        let supervisor = Supervisor::new(name);
        let parts = ControlParts {
            settings: settings.clone(),
            clock: Clock::default(),
            supervisor: supervisor.clone(),
            registry: prometheus::Registry::new(),
            health: health.clone(),
            traces: Default::default(),
        };
        let control = Control::start(parts).await.expect("free ports");
        let peers = control.peers;
        self.host_list.update(|hosts| {
            hosts.retain(|host| host.host != settings.host);
            hosts.push(Host {
                host: settings.host.clone(),
                role: HostRole::Entry,
                zone: settings.zone.clone(),
                region: settings.region.clone(),
                peers,
                state: HostState::Live,
            });
        });
        Node {
            control,
            health,
            supervisor,
        }
    }

    pub(crate) fn write(&self, snapshot: &Snapshot) {
        let value = serde_json::to_vec(snapshot).expect("a snapshot is JSON");
        self.key_value.put(CONFIG_KEY, value);
    }

    fn settings(&self, name: &str) -> EntrySettings {
        EntrySettings {
            host: name.parse().expect("a valid name"),
            zone: "zone-a".parse().expect("a valid name"),
            region: "region-a".parse().expect("a valid name"),
            listen: EntryListen {
                callers: any_port(),
                peers: any_port(),
                admin: any_port(),
            },
            platform: PlatformSettings {
                key_value: vec![self.key_value.address],
                host_list: self.host_list.address,
                weight_store: self.weight_store.address,
            },
            secrets: SecretSettings {
                peers: vec![SECRET.to_owned()],
            },
            limits: Default::default(),
            recovery: Default::default(),
            routing: Default::default(),
            slo: Default::default(),
            trace: Default::default(),
            log: Default::default(),
        }
    }
}

impl Node {
    pub(crate) fn revision(&self) -> Revision {
        self.control.view.load().config.revision
    }
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn client() -> PeerClient {
    PeerClient::new(SECRET)
}

/// Waits until `check` holds.
pub(crate) async fn until(what: &str, check: impl Fn() -> bool) {
    let wait = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let done = tokio::time::timeout(GUARD, wait).await;
    assert!(done.is_ok(), "waited in vain until {what}");
}

/// A snapshot with one engine and a change that made it.
pub(crate) fn snapshot(revision: u64) -> Snapshot {
    let target = Target {
        agent: any_port(),
        host: "host-1".parse().expect("a valid name"),
        zone: "zone-a".parse().expect("a valid name"),
        region: "region-a".parse().expect("a valid name"),
        kind: TargetKind::Engine,
        fenced: false,
        versions: Default::default(),
    };
    let Ok(Value::Object(body)) = serde_json::to_value(&target) else {
        panic!("a target is an object");
    };
    let record = Record {
        kind: RecordKind::Target,
        name: "target-1".to_owned(),
        schema: SchemaVersion(1),
        body,
    };
    let revision = Revision(revision);
    Snapshot {
        revision,
        records: [(record.key(), (revision, record))].into(),
        changes: Vec::new(),
    }
}

pub(crate) fn report(sequence: u64, state: TargetState) -> Report {
    Report {
        target: "target-1".parse().expect("a valid name"),
        host: "host-1".parse().expect("a valid name"),
        incarnation: cw_types::Incarnation(1),
        sequence,
        state,
        load: Default::default(),
        versions: Default::default(),
        pinned: Default::default(),
        crashes: Vec::new(),
        revision: Revision(0),
    }
}
