//! The deployment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cw_store::Host;
use cw_store::HostRole;
use cw_store::HostState;
use cw_types::ByteSize;
use cw_types::HostId;
use cw_types::RegionId;
use cw_types::Target;
use cw_types::TargetId;
use cw_types::TargetKind;
use cw_types::ZoneId;
use cyclamenwharf::AgentListen;
use cyclamenwharf::AgentSettings;
use cyclamenwharf::EntryListen;
use cyclamenwharf::EntrySettings;
use cyclamenwharf::LogSettings;
use cyclamenwharf::PlatformSettings;
use cyclamenwharf::SecretSettings;
use cyclamenwharf::TargetSettings;
use futures::future::join;
use futures::future::try_join_all;
use snafu::Snafu;

use crate::Ask;
use crate::Caller;
use crate::Engine;
use crate::EngineSpec;
use crate::Forwarder;
use crate::HostList;
use crate::KeyValue;
use crate::PlainService;
use crate::WeightStore;

use super::EntryNode;
use super::RigSpec;
use super::TargetNode;
use super::records::api_key;
use super::records::snapshot;
use super::rig_spec::MODEL;
use super::rig_spec::ROUTE_LATENCY;
use super::rig_spec::SERVICE;
use super::rig_spec::SERVICE_ONCE;
use super::rig_spec::VERSION;

/// The key of the configuration.
const CONFIG_KEY: &str = "cyclamenwharf/config";
/// The region of everything.
const REGION: &str = "region-0";
/// The secret of all processes.
const SECRET: &str = "a-secret-for-a-look";
/// How long a deployment may take until every target serves.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// How long after everything else late services start: well after the first request is answered.
const LATE_PAUSE: Duration = Duration::from_millis(500);
/// The pause between two looks whether it does.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// A deployment that does not start.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct RigError {
    /// What happened.
    pub message: String,
}

impl RigError {
    pub(super) fn new(error: impl std::fmt::Display) -> Self {
        let message = error.to_string();
        Self { message }
    }
}

/// A whole small deployment in one process, on loopback.
#[derive(Debug)]
pub struct Rig {
    /// What it was built from.
    pub spec: RigSpec,
    /// The key-value service.
    pub key_value: KeyValue,
    /// The host list.
    pub host_list: HostList,
    /// The weight store.
    pub weight_store: WeightStore,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The agents of the engines, in the same order.
    pub agents: Vec<TargetNode>,
    /// The forwarders before the agents of the engines, if asked for, in the same order.
    pub forwarders: Vec<Forwarder>,
    /// The plain services.
    pub services: Vec<PlainService>,
    /// The agents of the services, in the same order.
    pub service_agents: Vec<TargetNode>,
    /// The entries.
    pub entries: Vec<EntryNode>,
}

impl Rig {
    /// Starts a deployment and returns when it answers callers.
    ///
    /// # Errors
    ///
    /// Fails when a part does not start.
    pub async fn start(spec: RigSpec) -> Result<Self, RigError> {
        let mut rig = Self::platform(spec).await?;
        rig.start_entries().await?;
        rig.start_targets().await?;
        rig.start_forwarders().await?;
        if rig.spec.late_services {
            rig.stop_services().await;
        }
        rig.write_records()?;
        let (ready, started) = join(rig.wait_ready(), rig.start_late()).await;
        started.and(ready)?;
        Ok(rig)
    }

    /// Returns a caller of an entry, with the API key of the first workspace.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].callers(), &api_key(0))
    }

    /// Returns the number of the engine of this name.
    ///
    /// # Panics
    ///
    /// Panics when no engine has this name.
    pub fn engine_number(&self, name: &str) -> usize {
        let is_named = |node: &TargetNode| node.settings.target.id.as_str() == name;
        let found = self.agents.iter().position(is_named);
        found.expect("the name is of an engine of this deployment")
    }

    /// Kills an engine and its agent, as the loss of their host does.
    pub async fn kill_host(&self, target: usize) {
        self.agents[target].kill().await;
        self.engines[target].kill().await;
    }

    /// Kills everything.
    pub async fn stop(&self) {
        for entry in &self.entries {
            entry.kill().await;
        }
        for agent in self.agents.iter().chain(&self.service_agents) {
            agent.kill().await;
        }
        for engine in &self.engines {
            engine.kill().await;
        }
        for service in &self.services {
            service.kill().await;
        }
    }

    // ---- Parts

    async fn platform(spec: RigSpec) -> Result<Self, RigError> {
        let weights = BTreeMap::from([("settlement-v1".to_owned(), ByteSize::mib(64))]);
        let weight_store = WeightStore::start(weights, ByteSize::mib(256)).await;
        Ok(Self {
            key_value: KeyValue::start().await.map_err(RigError::new)?,
            host_list: HostList::start().await.map_err(RigError::new)?,
            weight_store: weight_store.map_err(RigError::new)?,
            engines: Vec::new(),
            agents: Vec::new(),
            forwarders: Vec::new(),
            services: Vec::new(),
            service_agents: Vec::new(),
            entries: Vec::new(),
            spec,
        })
    }

    async fn start_entries(&mut self) -> Result<(), RigError> {
        let settings: Vec<_> = (0..self.spec.entries)
            .map(|n| self.entry_settings(n))
            .collect();
        let starts = settings.into_iter().map(EntryNode::start);
        self.entries = try_join_all(starts).await?;
        let hosts: Vec<Host> = self
            .entries
            .iter()
            .map(|e| entry_host(&e.settings))
            .collect();
        self.host_list.update(|list| list.extend(hosts));
        Ok(())
    }

    async fn start_targets(&mut self) -> Result<(), RigError> {
        let engine = EngineSpec {
            fenced: true,
            weights: Some(self.weight_store.address),
            ..EngineSpec::default()
        };
        let engine = engine
            .with_version(MODEL, VERSION)
            .with_timings(self.spec.timings.clone());
        let engines = (0..self.spec.engines).map(|_| Engine::start(engine.clone()));
        self.engines = try_join_all(engines).await.map_err(RigError::new)?;
        let services = (0..self.spec.services).map(|_| PlainService::start());
        self.services = try_join_all(services).await.map_err(RigError::new)?;
        let settings: Vec<_> = (0..self.spec.engines)
            .map(|n| self.engine_target(n))
            .collect();
        self.agents = try_join_all(settings.into_iter().map(TargetNode::start)).await?;
        let settings: Vec<_> = (0..self.spec.services)
            .map(|n| self.service_target(n))
            .collect();
        self.service_agents = try_join_all(settings.into_iter().map(TargetNode::start)).await?;
        let hosts: Vec<Host> = self
            .targets()
            .map(|node| target_host(&node.settings))
            .collect();
        self.host_list.update(|list| list.extend(hosts));
        Ok(())
    }

    async fn start_forwarders(&mut self) -> Result<(), RigError> {
        if self.spec.forwarded {
            let peers = self.agents.iter().map(|node| node.settings.listen.peers);
            let forwarders = try_join_all(peers.map(Forwarder::start)).await;
            self.forwarders = forwarders.map_err(RigError::new)?;
        }
        Ok(())
    }

    async fn stop_services(&self) {
        for agent in &self.service_agents {
            agent.kill().await;
        }
    }

    async fn start_late(&self) -> Result<(), RigError> {
        if self.spec.late_services {
            tokio::time::sleep(LATE_PAUSE).await;
            try_join_all(self.service_agents.iter().map(TargetNode::restart)).await?;
        }
        Ok(())
    }

    fn targets(&self) -> impl Iterator<Item = &TargetNode> {
        self.agents.iter().chain(&self.service_agents)
    }

    fn write_records(&self) -> Result<(), RigError> {
        let mut targets: BTreeMap<TargetId, Target> = self
            .targets()
            .map(|node| {
                (
                    node.settings.target.id.clone(),
                    target_record(&node.settings),
                )
            })
            .collect();
        for (node, forwarder) in self.agents.iter().zip(&self.forwarders) {
            if let Some(target) = targets.get_mut(&node.settings.target.id) {
                target.agent = forwarder.address;
            }
        }
        let snapshot = snapshot(&self.spec, targets);
        let bytes = serde_json::to_vec(&snapshot).map_err(RigError::new)?;
        self.key_value.put(CONFIG_KEY, bytes);
        Ok(())
    }

    // ---- Readiness

    /// Waits until every entry takes every target to be alive, and answers a short request.
    async fn wait_ready(&self) -> Result<(), RigError> {
        let all: BTreeSet<TargetId> = self
            .targets()
            .map(|node| node.settings.target.id.clone())
            .collect();
        let ready = async {
            for entry in 0..self.entries.len() {
                while self.entries[entry].alive().await != all {
                    tokio::time::sleep(READY_PAUSE).await;
                }
                let caller = self.caller(entry);
                let ask = Ask::new(ROUTE_LATENCY, "ready?", 1).whole();
                while self.spec.engines > 0 && caller.ask(&ask).await.is_err() {
                    tokio::time::sleep(READY_PAUSE).await;
                }
            }
        };
        let limit = tokio::time::timeout(READY_LIMIT, ready).await;
        limit.map_err(|_| RigError::new("the deployment does not answer"))
    }

    // ---- Settings

    fn platform_settings(&self) -> PlatformSettings {
        PlatformSettings {
            key_value: vec![self.key_value.address],
            host_list: self.host_list.address,
            weight_store: self.weight_store.address,
        }
    }

    fn zone(&self, number: usize) -> ZoneId {
        let name = format!("zone-{}", number % self.spec.zones);
        name.parse().expect("a valid name")
    }

    fn entry_settings(&self, number: usize) -> EntrySettings {
        EntrySettings {
            host: format!("entry-{number}").parse().expect("a valid name"),
            zone: self.zone(number),
            region: REGION.parse().expect("a valid name"),
            listen: EntryListen {
                callers: any_port(),
                peers: any_port(),
                admin: any_port(),
            },
            platform: self.platform_settings(),
            secrets: secrets(),
            limits: self.spec.limits.clone(),
            recovery: self.spec.recovery.clone(),
            routing: self.spec.routing,
            slo: Default::default(),
            trace: self.spec.trace.clone(),
            log: LogSettings::default(),
        }
    }

    fn engine_target(&self, number: usize) -> AgentSettings {
        let address = self.engines[number].address;
        self.agent_settings(
            number,
            &format!("engine-{number}"),
            TargetKind::Engine,
            address,
        )
    }

    fn service_target(&self, number: usize) -> AgentSettings {
        let service = match number % 2 {
            0 => SERVICE,
            _ => SERVICE_ONCE,
        };
        let kind = TargetKind::Service {
            service: service.to_owned(),
        };
        let address = self.services[number].address;
        self.agent_settings(number, &format!("service-{number}"), kind, address)
    }

    fn agent_settings(
        &self,
        number: usize,
        name: &str,
        kind: TargetKind,
        address: SocketAddr,
    ) -> AgentSettings {
        AgentSettings {
            host: format!("host-of-{name}").parse().expect("a valid name"),
            zone: self.zone(number),
            region: REGION.parse().expect("a valid name"),
            listen: AgentListen {
                peers: any_port(),
                admin: any_port(),
            },
            target: TargetSettings {
                id: name.parse().expect("a valid name"),
                kind,
                address,
            },
            platform: self.platform_settings(),
            secrets: secrets(),
            engine: self.spec.agent.clone(),
            log: LogSettings::default(),
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn secrets() -> SecretSettings {
    SecretSettings {
        peers: vec![SECRET.to_owned()],
    }
}

fn entry_host(settings: &EntrySettings) -> Host {
    let place = (
        settings.host.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    );
    host(place, HostRole::Entry, settings.listen.peers)
}

fn target_host(settings: &AgentSettings) -> Host {
    let place = (
        settings.host.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    );
    host(place, HostRole::Target, settings.listen.peers)
}

fn host(
    (host, zone, region): (HostId, ZoneId, RegionId),
    role: HostRole,
    peers: SocketAddr,
) -> Host {
    Host {
        host,
        role,
        zone,
        region,
        peers,
        state: HostState::Live,
    }
}

fn target_record(settings: &AgentSettings) -> Target {
    let mut versions = BTreeMap::new();
    if settings.target.kind == TargetKind::Engine {
        let version = VERSION.parse().expect("a valid name");
        versions.insert(MODEL.parse().expect("a valid name"), [version].into());
    }
    Target {
        agent: settings.listen.peers,
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        kind: settings.target.kind.clone(),
        fenced: true,
        versions,
    }
}
