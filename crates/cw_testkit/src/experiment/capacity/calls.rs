//! Calls to the key-value service, counted by a stand-in of it.

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

/// How long calls are counted.
const COUNTED: Duration = Duration::from_secs(20);

/// How long entries get to find each other.
const SETTLING: Duration = Duration::from_secs(12);

/// The availability zones, over which entries are spread in turn.
const ZONES: usize = 6;

/// Entries' control states around stand-ins of the platform.
pub(super) struct Place {
    pub(super) controls: Vec<Control>,
    pub(super) key_value: FakeEtcd,
    supervisor: Supervisor,
    _host_list: FakeHostList,
    _weight_store: FakeWeightStore,
}

/// Calls at one number of entries.
#[derive(Debug, Serialize)]
pub(super) struct CallCount {
    processes: usize,
    calls_per_second: f64,
    /// Calls a second by path.
    paths: BTreeMap<String, f64>,
    seconds: u64,
}

/// Runs the control states of `processes` entries and counts their calls.
pub(super) async fn measure(processes: usize) -> CallCount {
    let place = Place::start(processes).await;
    tokio::time::sleep(SETTLING).await;
    let before = place.key_value.calls();
    tokio::time::sleep(COUNTED).await;
    let rate = |(path, count): (String, u64)| {
        let calls = count - before.get(&path).copied().unwrap_or_default();
        (path, calls as f64 / COUNTED.as_secs_f64())
    };
    let paths: BTreeMap<_, _> = place.key_value.calls().into_iter().map(rate).collect();
    CallCount {
        processes,
        calls_per_second: paths.values().sum(),
        paths,
        seconds: COUNTED.as_secs(),
    }
}

impl CallCount {
    /// Returns the calls a second of all entries together.
    pub(super) fn calls_per_second(&self) -> f64 {
        self.calls_per_second
    }
}

impl Place {
    /// The secret of all processes.
    pub(super) const SECRET: &str = "0123456789abcdef0123456789abcdef";

    /// Starts so many entries' control states.
    pub(super) async fn start(count: usize) -> Self {
        let key_value = FakeEtcd::start().await.expect("a port");
        let host_list = FakeHostList::start().await.expect("a port");
        let weights = [].into();
        let weight_store = FakeWeightStore::start(weights, ByteSize::mib(1)).await;
        let weight_store = weight_store.expect("a port");
        let snapshot = serde_json::to_vec(&Snapshot::default()).expect("JSON");
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
            let host = host(&settings, control.peers);
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

impl Drop for Place {
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
    Control::start(parts).await.expect("ports")
}

fn settings(n: usize, platform: PlatformSettings) -> EntrySettings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    EntrySettings {
        host: format!("entry-{n}").parse().expect("a valid name"),
        zone: format!("zone-{}", n % ZONES).parse().expect("a valid name"),
        region: "region-0".parse().expect("a valid name"),
        listen: EntryListen {
            callers: any,
            peers: any,
            admin: any,
        },
        platform,
        secrets: SecretSettings {
            peers: vec![Place::SECRET.to_owned()],
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
