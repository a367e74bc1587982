//! The platform services that the control plane uses.

use std::sync::Arc;

use cw_store::EtcdGateway;
use cw_store::HostList;
use cw_store::HttpHostList;
use cw_store::HttpWeightStore;
use cw_store::KeyValueStore;
use cw_store::WeightStore;

use crate::PlatformSettings;

/// The clients of the platform services.
#[derive(Clone)]
pub struct Services {
    /// The key-value service.
    pub key_value: Arc<dyn KeyValueStore>,
    /// The host list.
    pub host_list: Arc<dyn HostList>,
    /// The weight store.
    pub weight_store: Arc<dyn WeightStore>,
}

impl Services {
    /// Returns clients of the services whose addresses are in the settings.
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            key_value: Arc::new(EtcdGateway::new(settings.key_value.clone())),
            host_list: Arc::new(HttpHostList::new(settings.host_list)),
            weight_store: Arc::new(HttpWeightStore::new(settings.weight_store)),
        }
    }
}
