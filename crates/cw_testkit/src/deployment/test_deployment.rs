//! A complete deployment in one process.

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

use crate::Caller;
use crate::CompletionRequest;
use crate::EngineSpec;
use crate::FakeEngine;
use crate::FakeEtcd;
use crate::FakeHostList;
use crate::FakeService;
use crate::FakeWeightStore;
use crate::Forwarder;

use super::DeploymentSpec;
use super::EntryNode;
use super::TargetNode;
use super::deployment_spec::MODEL;
use super::deployment_spec::ROUTE_LATENCY;
use super::deployment_spec::SERVICE;
use super::deployment_spec::SERVICE_ONCE;
use super::deployment_spec::VERSION;
use super::records::api_key;
use super::records::snapshot;

/// The etcd key of the configuration.
const CONFIG_KEY: &str = "cyclamenwharf/config";
/// The region of all hosts.
const REGION: &str = "region-0";
/// The secret with which all processes authenticate to each other.
const PEER_SECRET: &str = "a-secret-for-a-look";
/// The maximum time from the start until the deployment is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay after which late services start. It is long enough for the first request to be
/// answered before.
const LATE_SERVICE_DELAY: Duration = Duration::from_millis(500);
/// The interval between two checks of whether the deployment is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A failure to start a deployment or one of its processes.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct DeploymentError {
    /// A description of the failure.
    pub message: String,
}

impl DeploymentError {
    pub(super) fn new(error: impl std::fmt::Display) -> Self {
        let message = error.to_string();
        Self { message }
    }
}

/// A complete small deployment in one process, on the loopback address.
#[derive(Debug)]
pub struct TestDeployment {
    /// The specification that the deployment was started with.
    pub spec: DeploymentSpec,
    /// The key-value service, which stores the configuration.
    pub key_value: FakeEtcd,
    /// The host list.
    pub host_list: FakeHostList,
    /// The weight store.
    pub weight_store: FakeWeightStore,
    /// The model engines, [`DeploymentSpec::engines`] in number.
    pub engines: Vec<FakeEngine>,
    /// The agents of the engines, in the same order.
    pub agents: Vec<TargetNode>,
    /// The forwarders in front of the agents of the engines, in the same order, or none if
    /// [`DeploymentSpec::use_forwarders`] is not set.
    pub forwarders: Vec<Forwarder>,
    /// The plain services.
    pub services: Vec<FakeService>,
    /// The agents of the services, in the same order.
    pub service_agents: Vec<TargetNode>,
    /// The entries, [`DeploymentSpec::entries`] in number, to which callers send their requests.
    pub entries: Vec<EntryNode>,
}

impl TestDeployment {
    /// Starts a deployment, and returns when it is ready to serve callers.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or the deployment is not ready in time.
    pub async fn start(spec: DeploymentSpec) -> Result<Self, DeploymentError> {
        let mut deployment = Self::start_platform(spec).await?;
        deployment.start_entries().await?;
        deployment.start_targets().await?;
        deployment.start_forwarders().await?;
        if deployment.spec.late_services {
            deployment.stop_services().await;
        }
        deployment.write_config()?;
        let (ready, started) =
            join(deployment.wait_ready(), deployment.start_late_services()).await;
        started.and(ready)?;
        Ok(deployment)
    }

    /// Returns a client of the entry with this index, with the API key of the first workspace.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entries[entry].caller_address(), &api_key(0))
    }

    /// Returns the index of the engine with this target id.
    ///
    /// # Panics
    ///
    /// Panics if no engine has this target id.
    pub fn engine_index(&self, name: &str) -> usize {
        let is_named = |node: &TargetNode| node.settings.target.id.as_str() == name;
        let found = self.agents.iter().position(is_named);
        found.expect("the deployment has an engine with this name")
    }

    /// Kills the engine with this index and its agent, as the failure of their host does.
    pub async fn kill_host(&self, target: usize) {
        self.agents[target].kill().await;
        self.engines[target].kill().await;
    }

    /// Kills all entries, agents, engines and services.
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

    // ---- Start

    async fn start_platform(spec: DeploymentSpec) -> Result<Self, DeploymentError> {
        let weights = BTreeMap::from([("settlement-v1".to_owned(), ByteSize::mib(64))]);
        let weight_store = FakeWeightStore::start(weights, ByteSize::mib(256)).await;
        Ok(Self {
            key_value: FakeEtcd::start().await.map_err(DeploymentError::new)?,
            host_list: FakeHostList::start().await.map_err(DeploymentError::new)?,
            weight_store: weight_store.map_err(DeploymentError::new)?,
            engines: Vec::new(),
            agents: Vec::new(),
            forwarders: Vec::new(),
            services: Vec::new(),
            service_agents: Vec::new(),
            entries: Vec::new(),
            spec,
        })
    }

    async fn start_entries(&mut self) -> Result<(), DeploymentError> {
        let settings: Vec<_> = (0..self.spec.entries)
            .map(|index| self.entry_settings(index))
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

    async fn start_targets(&mut self) -> Result<(), DeploymentError> {
        let engine = EngineSpec {
            fenced: true,
            weights: Some(self.weight_store.address),
            ..EngineSpec::default()
        };
        let engine = engine
            .with_version(MODEL, VERSION)
            .with_timings(self.spec.timings.clone());
        let engines = (0..self.spec.engines).map(|_| FakeEngine::start(engine.clone()));
        self.engines = try_join_all(engines).await.map_err(DeploymentError::new)?;
        let services = (0..self.spec.services).map(|_| FakeService::start());
        self.services = try_join_all(services).await.map_err(DeploymentError::new)?;
        let settings: Vec<_> = (0..self.spec.engines)
            .map(|index| self.engine_agent_settings(index))
            .collect();
        self.agents = try_join_all(settings.into_iter().map(TargetNode::start)).await?;
        let settings: Vec<_> = (0..self.spec.services)
            .map(|index| self.service_agent_settings(index))
            .collect();
        self.service_agents = try_join_all(settings.into_iter().map(TargetNode::start)).await?;
        let hosts: Vec<Host> = self
            .all_agents()
            .map(|node| target_host(&node.settings))
            .collect();
        self.host_list.update(|list| list.extend(hosts));
        Ok(())
    }

    async fn start_forwarders(&mut self) -> Result<(), DeploymentError> {
        if self.spec.use_forwarders {
            let peers = self.agents.iter().map(|node| node.settings.listen.peers);
            let forwarders = try_join_all(peers.map(Forwarder::start)).await;
            self.forwarders = forwarders.map_err(DeploymentError::new)?;
        }
        Ok(())
    }

    async fn stop_services(&self) {
        for agent in &self.service_agents {
            agent.kill().await;
        }
    }

    async fn start_late_services(&self) -> Result<(), DeploymentError> {
        if self.spec.late_services {
            tokio::time::sleep(LATE_SERVICE_DELAY).await;
            try_join_all(self.service_agents.iter().map(TargetNode::restart)).await?;
        }
        Ok(())
    }

    fn all_agents(&self) -> impl Iterator<Item = &TargetNode> {
        self.agents.iter().chain(&self.service_agents)
    }

    fn write_config(&self) -> Result<(), DeploymentError> {
        let mut targets: BTreeMap<TargetId, Target> = self
            .all_agents()
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
        let bytes = serde_json::to_vec(&snapshot).map_err(DeploymentError::new)?;
        self.key_value.put(CONFIG_KEY, bytes);
        Ok(())
    }

    // ---- Readiness

    /// Waits until each entry considers all targets alive and completes a short request.
    async fn wait_ready(&self) -> Result<(), DeploymentError> {
        let all: BTreeSet<TargetId> = self
            .all_agents()
            .map(|node| node.settings.target.id.clone())
            .collect();
        let ready = async {
            for entry in 0..self.entries.len() {
                while self.entries[entry].live_targets().await != all {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
                let caller = self.caller(entry);
                let request = CompletionRequest::new(ROUTE_LATENCY, "ready?", 1).non_streaming();
                while self.spec.engines > 0 && caller.complete(&request).await.is_err() {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, ready).await;
        result.map_err(|_| DeploymentError::new("the deployment is not ready in time"))
    }

    // ---- Settings

    fn platform_settings(&self) -> PlatformSettings {
        PlatformSettings {
            key_value: vec![self.key_value.address],
            host_list: self.host_list.address,
            weight_store: self.weight_store.address,
        }
    }

    fn zone(&self, index: usize) -> ZoneId {
        let name = format!("zone-{}", index % self.spec.zones);
        name.parse().expect("a valid name")
    }

    fn entry_settings(&self, index: usize) -> EntrySettings {
        EntrySettings {
            host: format!("entry-{index}").parse().expect("a valid name"),
            zone: self.zone(index),
            region: REGION.parse().expect("a valid name"),
            listen: EntryListen {
                callers: any_loopback_port(),
                peers: any_loopback_port(),
                admin: any_loopback_port(),
            },
            platform: self.platform_settings(),
            secrets: peer_secret(),
            limits: self.spec.limits.clone(),
            recovery: self.spec.recovery.clone(),
            routing: self.spec.routing,
            slo: Default::default(),
            trace: self.spec.trace.clone(),
            log: LogSettings::default(),
        }
    }

    fn engine_agent_settings(&self, index: usize) -> AgentSettings {
        let address = self.engines[index].address;
        self.agent_settings(
            index,
            &format!("engine-{index}"),
            TargetKind::Engine,
            address,
        )
    }

    fn service_agent_settings(&self, index: usize) -> AgentSettings {
        let service = match index % 2 {
            0 => SERVICE,
            _ => SERVICE_ONCE,
        };
        let kind = TargetKind::Service {
            service: service.to_owned(),
        };
        let address = self.services[index].address;
        self.agent_settings(index, &format!("service-{index}"), kind, address)
    }

    fn agent_settings(
        &self,
        index: usize,
        name: &str,
        kind: TargetKind,
        address: SocketAddr,
    ) -> AgentSettings {
        AgentSettings {
            host: format!("host-of-{name}").parse().expect("a valid name"),
            zone: self.zone(index),
            region: REGION.parse().expect("a valid name"),
            listen: AgentListen {
                peers: any_loopback_port(),
                admin: any_loopback_port(),
            },
            target: TargetSettings {
                id: name.parse().expect("a valid name"),
                kind,
                address,
            },
            platform: self.platform_settings(),
            secrets: peer_secret(),
            engine: self.spec.engine.clone(),
            log: LogSettings::default(),
        }
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn peer_secret() -> SecretSettings {
    SecretSettings {
        peers: vec![PEER_SECRET.to_owned()],
    }
}

fn entry_host(settings: &EntrySettings) -> Host {
    let location = (
        settings.host.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    );
    host(location, HostRole::Entry, settings.listen.peers)
}

fn target_host(settings: &AgentSettings) -> Host {
    let location = (
        settings.host.clone(),
        settings.zone.clone(),
        settings.region.clone(),
    );
    host(location, HostRole::Target, settings.listen.peers)
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
