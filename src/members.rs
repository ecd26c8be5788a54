//! The platform's instance list: who is live or leaving, and where.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::Findings;

/// What a listed process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside an endpoint and owns its run slots.
    Sidecar,
}

/// What the platform knows of an instance's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LifeState {
    /// In use.
    Live,
    /// To be stopped; it takes no new work.
    Leaving,
}

/// One line of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The platform's name, new for every replacement.
    pub id: String,
    /// Role of the process there.
    pub role: Role,
    /// Address for links between processes.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Live or leaving.
    pub state: LifeState,
    /// Pool of the endpoint beside it; empty for an entry.
    #[serde(default)]
    pub pool: String,
    /// The endpoint's place in its pool, below the pool's `places`.
    #[serde(default)]
    pub ordinal: u32,
    /// Software version of the endpoint beside it; empty where the list doesn't tell.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software_version: String,
}

/// A whole instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Rises with every change that the platform publishes.
    pub revision: u64,
    /// All known instances.
    pub instances: Vec<Instance>,
    /// Positions of the live sidecars by pool; built by [`Members::parse`].
    #[serde(skip)]
    by_pool: HashMap<String, Vec<usize>>,
}

impl Members {
    /// Parses a list as the platform publishes it.
    pub fn parse(text: &[u8]) -> Result<Self, Findings> {
        let parsed: Self = serde_json::from_slice(text).map_err(|e| Findings::from_json(&e))?;
        Ok(Self::new(parsed.revision, parsed.instances))
    }

    /// A list with its index.
    pub fn new(revision: u64, instances: Vec<Instance>) -> Self {
        let mut by_pool: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, instance) in instances.iter().enumerate() {
            if instance.role == Role::Sidecar && instance.state == LifeState::Live {
                by_pool.entry(instance.pool.clone()).or_default().push(at);
            }
        }
        Self {
            revision,
            instances,
            by_pool,
        }
    }

    /// The live sidecars of a pool.
    pub fn sidecars(&self, pool: &str) -> impl Iterator<Item = &Instance> {
        let positions = self
            .by_pool
            .get(pool)
            .map(Vec::as_slice)
            .unwrap_or_default();
        positions.iter().map(|at| &self.instances[*at])
    }

    /// Count of live entries, at least one.
    pub fn entries(&self) -> usize {
        let live = |i: &&Instance| i.role == Role::Entry && i.state == LifeState::Live;
        self.instances.iter().filter(live).count().max(1)
    }

    /// The instance of that id.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.iter().find(|i| i.id == id)
    }
}
