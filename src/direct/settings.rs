//! Settings of an entry that orders endpoints itself: JSON, validated whole before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::budget::RetryBudget;
use crate::direct::warmup::Excess;
use crate::finding::Findings;
use crate::settings::Checked;

/// Part of [`Bounds::key_removal_ms`] that is left unused: rounding of clocks, and the way of a
/// request from its caller to this process.
const KEY_REMOVAL_SLACK: Millis = Millis(250);

/// Most that [`Bounds::longest_rest_ms`] may be: a day.
const MOST_REST_MS: u64 = 86_400_000;

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
    /// Address at which the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// Address of the administration API and of metrics.
    pub admin: SocketAddr,
    /// Address for datagrams between entries.
    pub link: SocketAddr,
    /// Addresses of some entries; only the IP numbers count, ports are alike everywhere.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the configuration store.
    pub store: SocketAddr,
    /// Bandwidth of this instance's link, in Mbit/s; 0 where it is not known. The store is watched
    /// where it is largest.
    #[serde(default)]
    pub link_mbps: f64,
    /// Region of each availability zone, by its name.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Bounds that the operators promise to keep.
    pub bounds: Bounds,
}

/// Bounds of one installation, from its operators.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time after which a removed key must not run, in ms; `None` where that is not strict.
    pub key_removal_ms: Option<u64>,
    /// Time between SIGTERM and SIGKILL, in ms.
    pub stop_grace_ms: u64,
    /// Length of the retry window, in ms.
    pub retry_window_ms: u64,
    /// Repeats per request of a pool, over all entries.
    pub retry_ratio: f64,
    /// Repeats of a pool in a window besides, over all entries.
    pub retry_extra: f64,
    /// Requests in any second that an endpoint may get while it warms up, over all entries, by the rate that
    /// the configuration tells.
    pub warm_up_ratio: f64,
    /// Requests in any second besides.
    pub warm_up_extra: f64,
    /// Longest time for which an endpoint is left alone at its own word, in ms. One that asks for more is tried again
    /// then, so that a garbled answer does not take it away for good.
    pub longest_rest_ms: u64,
}

impl Default for Bounds {
    /// What the code was written against; see docs/PLATFORM.md.
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
    /// Age of the configuration's proof up to which requests with a key may run; `None` for any.
    pub fn max_key_proof_age(&self) -> Option<Millis> {
        self.key_removal_ms.map(|ms| Millis(ms) - KEY_REMOVAL_SLACK)
    }

    /// The retry budget over all entries.
    pub fn retries(&self) -> RetryBudget {
        RetryBudget {
            window: Millis(self.retry_window_ms),
            ratio: self.retry_ratio,
            extra: self.retry_extra,
        }
    }

    /// What endpoints that warm up may get beyond the rate that they bear.
    pub fn warm_up(&self) -> Excess {
        Excess {
            ratio: self.warm_up_ratio,
            extra: self.warm_up_extra,
        }
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
        let slack = KEY_REMOVAL_SLACK.0;
        let enough = bounds.key_removal_ms.is_none_or(|ms| ms > slack);
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
        let rest = (1..=MOST_REST_MS).contains(&bounds.longest_rest_ms);
        findings.require(rest, "bounds.longest_rest_ms", "must be from 1 to 86400000");
    }
}
