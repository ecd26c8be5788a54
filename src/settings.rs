//! Settings of a process: JSON, validated whole before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::check::MAX_NAME;
use crate::finding::Findings;
use crate::memory;
use crate::route::Routing;
use crate::schedule::Order;
use crate::seal::Trust;

/// What every process needs to know of itself and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The platform's name of this instance.
    pub id: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Address for links between processes; port 0 takes any.
    pub listen: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Where the configuration service holds the bundle.
    pub bundle_url: String,
    /// Where the platform publishes the instance list.
    pub members_url: String,
    /// Ed25519 public keys of those who sign bundles, in hex.
    pub trusted_keys: Vec<String>,
    /// Peers to ask while no instance list has been read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This process and its surroundings.
    pub node: NodeSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Choice of endpoints.
    #[serde(default)]
    pub routing: Routing,
    /// Time after SIGTERM in which new requests are still served, in ms.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Memory that this process may use on its instance, in MB; 0 where it is not known.
    #[serde(default)]
    pub memory_mb: u64,
}

impl EntrySettings {
    /// Memory that this process may use, in MB.
    pub fn memory_mb_or_default(&self) -> u64 {
        memory::machine_mb(self.memory_mb)
    }
}

/// Settings of a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// This process and its surroundings.
    pub node: NodeSettings,
    /// Pool of the endpoint.
    pub pool: String,
    /// Place of the endpoint in its pool.
    pub ordinal: u32,
    /// Base address of the endpoint.
    pub endpoint: String,
    /// Order of service; other than the default only for measurements.
    #[serde(default)]
    pub order: Order,
}

const fn default_linger_ms() -> u64 {
    3_000
}

/// Settings that can be validated.
pub trait Checked: DeserializeOwned {
    /// Adds what is wrong.
    fn check(&self, findings: &mut Findings);
}

impl Checked for EntrySettings {
    fn check(&self, findings: &mut Findings) {
        self.node.check(findings);
        let ok = self.callers.port() == 0 || self.callers != self.node.admin;
        findings.require(ok, "callers", "must differ from node.admin");
        findings.require(
            self.linger_ms <= 600_000,
            "linger_ms",
            "must be at most 600000",
        );
    }
}

impl Checked for SidecarSettings {
    fn check(&self, findings: &mut Findings) {
        self.node.check(findings);
        check_name(&self.pool, "pool", findings);
        check_url(&self.endpoint, "endpoint", findings);
    }
}

impl NodeSettings {
    fn check(&self, findings: &mut Findings) {
        check_name(&self.id, "node.id", findings);
        check_name(&self.region, "node.region", findings);
        check_name(&self.zone, "node.zone", findings);
        check_url(&self.bundle_url, "node.bundle_url", findings);
        check_url(&self.members_url, "node.members_url", findings);
        let ok = self.listen.port() == 0 || self.listen != self.admin;
        findings.require(ok, "node.admin", "must differ from node.listen");
        let some = !self.trusted_keys.is_empty();
        findings.require(some, "node.trusted_keys", "at least one key is needed");
        for (i, key) in self.trusted_keys.iter().enumerate() {
            let ok = Trust::parse(std::slice::from_ref(key)).is_some();
            let place = format!("node.trusted_keys[{i}]");
            findings.require(ok, place, "must be an Ed25519 public key in hex");
        }
    }
}

/// Parses and validates settings.
pub fn parse<T: Checked>(text: &[u8]) -> Result<T, Findings> {
    let settings: T = serde_json::from_slice(text).map_err(|e| Findings::from_json(&e))?;
    let mut findings = Findings::default();
    settings.check(&mut findings);
    findings.into_result(settings)
}

/// Reads, parses and validates a settings file.
pub fn load<T: Checked>(path: &Path) -> Result<T, Findings> {
    let mut findings = Findings::default();
    match std::fs::read(path) {
        Ok(text) => parse(&text),
        Err(err) => {
            findings.add(path.display().to_string(), err.to_string());
            Err(findings)
        }
    }
}

fn check_name(name: &str, place: &str, findings: &mut Findings) {
    let ok = !name.is_empty() && name.len() <= MAX_NAME;
    findings.require(ok, place, "must be 1 to 64 bytes");
}

fn check_url(url: &str, place: &str, findings: &mut Findings) {
    let host = url
        .strip_prefix("http://")
        .and_then(|rest| rest.split('/').next());
    let ok = host.is_some_and(|host| host.parse::<SocketAddr>().is_ok());
    findings.require(
        ok,
        place,
        "must be http://, an IP number, a port and a path",
    );
}
