//! The control planes of entries on the loopback interface, with fakes of the platform.

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
use prometheus::Registry;
use serde_json::Value;

/// The shared secret of all processes.
pub(crate) const SECRET: &str = "a-shared-secret";

/// The key of the configuration snapshot.
pub(crate) const CONFIG_KEY: &str = "cyclamenwharf/config";

/// The limit after which a wait counts as hung, far above what any wait takes.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Fakes of the platform services.
pub(crate) struct TestPlatform {
    pub(crate) key_value: FakeEtcd,
    pub(crate) host_list: FakeHostList,
    pub(crate) weight_store: FakeWeightStore,
}

/// The control plane of an entry.
pub(crate) struct TestEntry {
    pub(crate) control: Control,
    pub(crate) health: Arc<Health>,
    pub(crate) supervisor: Supervisor,
    registry: Registry,
}

impl TestPlatform {
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

    /// Starts the control plane of an entry, and adds its host to the host list.
    pub(crate) async fn start_entry(&self, name: &str) -> TestEntry {
        let settings = self.settings(name);
        let health = Arc::new(Health::default());
        let supervisor = Supervisor::new(name);
        let registry = Registry::new();
        let parts = ControlParts {
            settings: settings.clone(),
            clock: Clock::default(),
            supervisor: supervisor.clone(),
            registry: registry.clone(),
            health: health.clone(),
            traces: Default::default(),
        };
        let control = Control::start(parts).await.expect("free ports");
        let peers = control.peer_address;
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
        TestEntry {
            control,
            health,
            supervisor,
            registry,
        }
    }

    /// Adds the host of an entry that nothing runs on to the host list.
    pub(crate) fn add_dead_host(&self, name: &str) {
        let settings = self.settings(name);
        self.host_list.update(|hosts| {
            hosts.push(Host {
                host: settings.host.clone(),
                role: HostRole::Entry,
                zone: settings.zone.clone(),
                region: settings.region.clone(),
                peers: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
                state: HostState::Live,
            });
        });
    }

    pub(crate) fn write_snapshot(&self, snapshot: &Snapshot) {
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

impl TestEntry {
    pub(crate) fn revision(&self) -> Revision {
        self.control.view.load().config.revision
    }

    /// Returns the value of a counter.
    pub(crate) fn counter(&self, name: &str) -> f64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        let family = family.expect("a registered counter");
        family.get_metric()[0].get_counter().get_value()
    }
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(crate) fn client() -> PeerClient {
    PeerClient::new(SECRET)
}

/// Waits until `check` returns true; panics after [`HANG_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let wait = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let done = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    assert!(done.is_ok(), "timed out waiting until {what}");
}

/// Returns a snapshot with one engine and no history of changes.
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
