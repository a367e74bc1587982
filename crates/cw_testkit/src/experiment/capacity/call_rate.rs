//! The rate of calls from entries to the key-value service, counted by a fake service.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::FakeEtcd;
use crate::FakeHostList;
use crate::FakeWeightStore;
use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;
use cw_types::ByteSize;
use cw_types::Snapshot;
use cyclamenwharf::Clock;
use cyclamenwharf::Control;
use cyclamenwharf::ControlParts;
use cyclamenwharf::EntryListen;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::Health;
use cyclamenwharf::PlatformSettings;
use cyclamenwharf::SecretSettings;
use cyclamenwharf::Supervisor;
use serde::Serialize;

/// How long calls are counted for each number of entries.
const COUNT_PERIOD: Duration = Duration::from_secs(20);

/// How long entries have to discover each other before the count starts.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(12);

/// The number of availability zones, to which entries are assigned round-robin.
const ZONE_COUNT: usize = 6;

/// The control states of several entries in one process, with fake platform services.
pub(super) struct ControlCluster {
    pub(super) controls: Vec<Control>,
    pub(super) key_value: FakeEtcd,
    supervisor: Supervisor,
    _host_list: FakeHostList,
    _weight_store: FakeWeightStore,
}

/// The rate of calls that a number of entries makes.
#[derive(Debug, Serialize)]
pub(super) struct CallRate {
    processes: usize,
    calls_per_second: f64,
    /// Calls per second by path.
    paths: BTreeMap<String, f64>,
    seconds: u64,
}

/// Measures the rate of calls of `processes` entries.
pub(super) async fn measure(processes: usize) -> CallRate {
    let cluster = ControlCluster::start(processes).await;
    tokio::time::sleep(DISCOVERY_PERIOD).await;
    let before = cluster.key_value.calls();
    tokio::time::sleep(COUNT_PERIOD).await;
    let rate = |(path, count): (String, u64)| {
        let calls = count - before.get(&path).copied().unwrap_or_default();
        (path, calls as f64 / COUNT_PERIOD.as_secs_f64())
    };
    let paths: BTreeMap<_, _> = cluster.key_value.calls().into_iter().map(rate).collect();
    CallRate {
        processes,
        calls_per_second: paths.values().sum(),
        paths,
        seconds: COUNT_PERIOD.as_secs(),
    }
}

impl CallRate {
    /// Returns the calls per second of all entries together.
    pub(super) fn calls_per_second(&self) -> f64 {
        self.calls_per_second
    }
}

impl ControlCluster {
    /// The secret that entries and clients use for authentication.
    pub(super) const SECRET: &str = "0123456789abcdef0123456789abcdef";

    /// Starts the control states of `count` entries.
    pub(super) async fn start(count: usize) -> Self {
        let key_value = FakeEtcd::start().await.expect("a free port");
        let host_list = FakeHostList::start().await.expect("a free port");
        let weights = [].into();
        let weight_store = FakeWeightStore::start(weights, ByteSize::mib(1)).await;
        let weight_store = weight_store.expect("a free port");
        let snapshot =
            serde_json::to_vec(&Snapshot::default()).expect("a snapshot serializes to JSON");
        key_value.put("cyclamenwharf/config", snapshot);
        let platform = PlatformSettings {
            key_value: vec![key_value.address],
            host_list: host_list.address,
            weight_store: weight_store.address,
        };
        let supervisor = Supervisor::new("cost");
        let mut controls = Vec::new();
        for n in 0..count {
            let settings = settings(n, platform.clone());
            let control = start_control(&supervisor, &settings).await;
            let host = host(&settings, control.peer_address);
            host_list.update(|hosts| hosts.push(host));
            controls.push(control);
        }
        Self {
            controls,
            key_value,
            supervisor,
            _host_list: host_list,
            _weight_store: weight_store,
        }
    }
}

impl Drop for ControlCluster {
    fn drop(&mut self) {
        self.supervisor.stop();
    }
}

async fn start_control(supervisor: &Supervisor, settings: &EntrySettings) -> Control {
    let parts = ControlParts {
        settings: settings.clone(),
        clock: Clock::default(),
        supervisor: supervisor.child(settings.host.as_str()),
        registry: prometheus::Registry::new(),
        health: Arc::new(Health::default()),
        traces: Default::default(),
    };
    Control::start(parts).await.expect("free ports")
}

fn settings(n: usize, platform: PlatformSettings) -> EntrySettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    EntrySettings {
        host: format!("entry-{n}").parse().expect("a valid name"),
        zone: format!("zone-{}", n % ZONE_COUNT)
            .parse()
            .expect("a valid name"),
        region: "region-0".parse().expect("a valid name"),
        listen: EntryListen {
            callers: any_port,
            peers: any_port,
            admin: any_port,
        },
        platform,
        secrets: SecretSettings {
            peers: vec![ControlCluster::SECRET.to_owned()],
        },
        limits: Default::default(),
        recovery: Default::default(),
        routing: Default::default(),
        slo: Default::default(),
        trace: Default::default(),
        log: Default::default(),
    }
}

fn host(settings: &EntrySettings, peers: SocketAddr) -> Host {
    Host {
        host: settings.host.clone(),
        role: HostRole::Entry,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peers,
        state: HostState::Live,
    }
}
