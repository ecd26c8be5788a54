//! Settings of a direct entry: JSON, validated completely before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::admission::budget::RetryBudget;
use crate::direct::admission::warmup::Excess;
use crate::finding::Findings;
use crate::memory;
use crate::settings::Checked;

/// Safety margin that is subtracted from [`Bounds::key_removal_ms`], for the rounding of clocks and
/// the time that a request takes from its caller to this process.
const KEY_REMOVAL_MARGIN: Millis = Millis(250);

/// Maximum of [`Bounds::longest_rest_ms`]: a day.
const MAX_LONGEST_REST_MS: u64 = 86_400_000;

/// Settings of one direct entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of this instance, for logs.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address of the administration API and the metrics.
    pub admin: SocketAddr,
    /// UDP address for messages between entries.
    pub link: SocketAddr,
    /// Addresses of some other entries. Only the IP addresses are used; all entries use the same
    /// ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the configuration store.
    pub store: SocketAddr,
    /// Bandwidth of this instance's network link, in Mbit/s; 0 where it is not known. Entries
    /// with a larger bandwidth are preferred for watching the store.
    #[serde(default)]
    pub link_mbps: f64,
    /// Memory that this process may use on its instance, in MB; 0 where it is not known.
    #[serde(default)]
    pub memory_mb: u64,
    /// Region of each availability zone, by the zone's name.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Bounds that the operators have committed to for this installation.
    pub bounds: Bounds,
}

/// Bounds that the operators have committed to for one installation.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time after its removal from the configuration from which a key must not be accepted any
    /// more, in ms; `None` where there is no such bound.
    pub key_removal_ms: Option<u64>,
    /// Time between SIGTERM and SIGKILL, in ms.
    pub stop_grace_ms: u64,
    /// Length of the retry window, in ms.
    pub retry_window_ms: u64,
    /// Allowed retries per request in a window, for each pool and over all entries.
    pub retry_ratio: f64,
    /// Allowed retries in a window in addition to the ratio, for each pool and over all entries.
    pub retry_extra: f64,
    /// Requests that an endpoint may get in any second while it warms up, over all entries, as a
    /// multiple of the rate in the configuration.
    pub warm_up_ratio: f64,
    /// Requests that it may get in any second in addition to that.
    pub warm_up_extra: f64,
    /// Longest back-off that an endpoint can ask for, in ms. After it the endpoint is tried again,
    /// so that a garbled response does not take it out of use for good.
    pub longest_rest_ms: u64,
}

impl Default for Bounds {
    /// Bounds of the platform that the entry was written for; see docs/PLATFORM.md.
    fn default() -> Self {
        Self {
            key_removal_ms: None,
            stop_grace_ms: 8_000,
            retry_window_ms: 10_000,
            retry_ratio: 0.2,
            retry_extra: 20.0,
            warm_up_ratio: 1.0,
            warm_up_extra: 0.0,
            longest_rest_ms: 300_000,
        }
    }
}

impl Bounds {
    /// Maximum time since the configuration was proven to be the newest for which requests with a
    /// key may run; `None` for any.
    pub fn max_key_proof_age(&self) -> Option<Millis> {
        self.key_removal_ms
            .map(|ms| Millis(ms) - KEY_REMOVAL_MARGIN)
    }

    /// The retry budget of a pool, over all entries.
    pub fn retry_budget(&self) -> RetryBudget {
        RetryBudget {
            window: Millis(self.retry_window_ms),
            ratio: self.retry_ratio,
            extra: self.retry_extra,
        }
    }

    /// How many requests endpoints may get while they warm up, relative to the rate in the
    /// configuration.
    pub fn warm_up_excess(&self) -> Excess {
        Excess {
            ratio: self.warm_up_ratio,
            extra: self.warm_up_extra,
        }
    }
}

impl DirectSettings {
    /// Memory that this process may use, in MB.
    pub fn memory_mb_or_default(&self) -> u64 {
        memory::machine_mb(self.memory_mb)
    }
}

impl Checked for DirectSettings {
    fn check(&self, findings: &mut Findings) {
        findings.require(!self.name.is_empty(), "name", "must not be empty");
        findings.require(!self.zone.is_empty(), "zone", "must not be empty");
        let listeners = [self.callers, self.readiness, self.admin];
        for (i, address) in listeners.iter().enumerate() {
            let taken = listeners[..i].contains(address) && address.port() != 0;
            let place = ["callers", "readiness", "admin"][i];
            findings.require(!taken, place, "must differ from the other addresses");
        }
        let link = self.link_mbps >= 0.0 && self.link_mbps.is_finite();
        findings.require(link, "link_mbps", "must be 0 or more");
        let bounds = &self.bounds;
        let margin = KEY_REMOVAL_MARGIN.0;
        let enough = bounds.key_removal_ms.is_none_or(|ms| ms > margin);
        findings.require(enough, "bounds.key_removal_ms", "must be more than 250");
        let window = bounds.retry_window_ms > 0;
        findings.require(window, "bounds.retry_window_ms", "must be more than 0");
        let ratio = (0.0..=1.0).contains(&bounds.retry_ratio);
        findings.require(ratio, "bounds.retry_ratio", "must be from 0 to 1");
        let extra = bounds.retry_extra >= 0.0;
        findings.require(extra, "bounds.retry_extra", "must be 0 or more");
        let ratio = (0.0..=100.0).contains(&bounds.warm_up_ratio);
        findings.require(ratio, "bounds.warm_up_ratio", "must be from 0 to 100");
        let extra = bounds.warm_up_extra >= 0.0 && bounds.warm_up_extra.is_finite();
        findings.require(extra, "bounds.warm_up_extra", "must be 0 or more");
        let rest = (1..=MAX_LONGEST_REST_MS).contains(&bounds.longest_rest_ms);
        findings.require(rest, "bounds.longest_rest_ms", "must be from 1 to 86400000");
    }
}
