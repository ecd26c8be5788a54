//! The configuration bundle: what operators sign off and roll out over the fleet.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::check;
use crate::clock::Millis;
use crate::finding::Findings;
use crate::ids::{ClassKey, PoolKey, TeamKey};

/// Largest value the configuration service holds, in bytes (the brief's "up to a megabyte").
pub const MAX_BUNDLE_BYTES: usize = 1 << 20;

/// A versioned, whole configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Rises by at least one with every change; never 0.
    pub version: u64,
    /// Who made the change and why; copied to the audit trail.
    #[serde(default)]
    pub note: String,
    /// Service levels.
    pub classes: Vec<Class>,
    /// Who may call.
    pub teams: Vec<Team>,
    /// Groups of like endpoints.
    pub pools: Vec<Pool>,
    /// Fleet-wide bounds.
    #[serde(default)]
    pub limits: Limits,
}

/// A service level.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name that teams and callers use.
    pub name: String,
    /// Urgency; 0 is the most urgent. Two classes may share one.
    pub priority: u8,
    /// Target for the first token, in ms.
    pub first_token_ms: u64,
    /// Target between two tokens, in ms; 0 for none.
    #[serde(default)]
    pub between_tokens_ms: u64,
    /// Longest wait for a run slot before the request is given up, in ms.
    pub max_wait_ms: u64,
    /// Share of slot time that is kept for this class while it has work, in percent.
    #[serde(default)]
    pub floor_percent: u8,
    /// Whether a running request may be paused for a more urgent one.
    #[serde(default)]
    pub preemptible: bool,
}

/// A caller's organisation unit.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name in logs, metrics and queues.
    pub name: String,
    /// BLAKE3 hashes of bearer keys, in hex.
    pub key_hashes: Vec<String>,
    /// Classes that the team may use; the first is its default.
    pub classes: Vec<String>,
    /// Requests a second over the whole fleet; 0 for no limit.
    #[serde(default)]
    pub requests_per_s: f64,
    /// Tokens a second, read and generated, over the whole fleet; 0 for no limit.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Share against other teams of one class.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// What kind of endpoints a pool holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines: streams of tokens, priorities, cancel and resume.
    Model,
    /// Plain services: one call, one answer, no help in ordering or fencing.
    Plain,
}

/// A group of like endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name in the instance list and in the path of plain calls.
    pub name: String,
    /// Kind of endpoint.
    pub kind: PoolKind,
    /// Model names served; for [`PoolKind::Model`] only.
    #[serde(default)]
    pub models: Vec<String>,
    /// Count of places; a replaced endpoint takes over its predecessor's ordinal.
    pub places: u32,
    /// Requests that one endpoint runs at a time.
    pub slots: u32,
    /// Slots that only classes of priority 0 may take.
    #[serde(default)]
    pub reserved_slots: u32,
    /// Whether calls may run only once unless the caller says otherwise.
    #[serde(default)]
    pub not_repeatable: bool,
    /// Whether a stream that broke off may go on at another endpoint of the pool.
    #[serde(default)]
    pub resumable: bool,
    /// Whether endpoints refuse orders of an older incarnation.
    #[serde(default)]
    pub checks_orders: bool,
    /// Longest time in which an endpoint adds nothing to its answer, in ms.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: u64,
}

/// Fleet-wide bounds, each with its default.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Endpoints tried for one request, at most.
    pub max_attempts: u32,
    /// Retries as a share of first attempts, in percent, over each entry.
    pub retry_percent: u32,
    /// Pauses that one run may suffer.
    pub max_preemptions: u32,
    /// How long a granted slot is held for the entry's start message, in ms.
    pub grant_ms: u64,
    /// How long the outcome of a key is remembered, in s.
    pub key_memory_s: u64,
    /// Allowed difference between callers' and instances' clocks, in ms.
    pub clock_skew_ms: u64,
    /// Waiting requests of one class at one sidecar.
    pub queue_per_class: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 256 << 10,
            max_attempts: 4,
            retry_percent: 20,
            max_preemptions: 2,
            grant_ms: 1_000,
            key_memory_s: 600,
            clock_skew_ms: 2_000,
            queue_per_class: 512,
        }
    }
}

const fn default_weight() -> u32 {
    1
}

const fn default_stall_ms() -> u64 {
    30_000
}

impl Bundle {
    /// Parses and validates a whole bundle; all findings come together.
    pub fn parse(text: &[u8]) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if text.len() > MAX_BUNDLE_BYTES {
            findings.add(
                "bundle",
                format!("{} bytes, at most {MAX_BUNDLE_BYTES}", text.len()),
            );
            return Err(findings);
        }
        let bundle: Self = serde_json::from_slice(text).map_err(|e| Findings::from_json(&e))?;
        check::bundle(&bundle, &mut findings);
        findings.into_result(bundle)
    }
}

/// A bundle with its indexes, as the processes use it.
#[derive(Debug)]
pub struct Policy {
    /// The bundle itself.
    pub bundle: Bundle,
    classes: HashMap<String, ClassKey>,
    teams: HashMap<String, TeamKey>,
    pools: HashMap<String, PoolKey>,
    models: HashMap<String, PoolKey>,
    keys: HashMap<String, TeamKey>,
}

impl Policy {
    /// Builds the indexes of a validated bundle.
    pub fn new(bundle: Bundle) -> Self {
        let classes = index(bundle.classes.iter().map(|c| c.name.clone()), ClassKey);
        let teams = index(bundle.teams.iter().map(|t| t.name.clone()), TeamKey);
        let pools = index(bundle.pools.iter().map(|p| p.name.clone()), PoolKey);
        let models = members(bundle.pools.iter().map(|p| &p.models), PoolKey);
        let keys = members(bundle.teams.iter().map(|t| &t.key_hashes), TeamKey);
        Self {
            bundle,
            classes,
            teams,
            pools,
            models,
            keys,
        }
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.classes.get(name).copied()
    }

    /// The team of that name.
    pub fn team(&self, name: &str) -> Option<TeamKey> {
        self.teams.get(name).copied()
    }

    /// The pool of that name.
    pub fn pool(&self, name: &str) -> Option<PoolKey> {
        self.pools.get(name).copied()
    }

    /// The pool that serves a model.
    pub fn pool_of_model(&self, model: &str) -> Option<PoolKey> {
        self.models.get(model).copied()
    }

    /// The team that owns a bearer key.
    pub fn team_of_key(&self, bearer: &str) -> Option<TeamKey> {
        self.keys.get(&hash_key(bearer)).copied()
    }

    /// The class behind a key.
    pub fn class_at(&self, key: ClassKey) -> &Class {
        &self.bundle.classes[key.0]
    }

    /// The team behind a key.
    pub fn team_at(&self, key: TeamKey) -> &Team {
        &self.bundle.teams[key.0]
    }

    /// The pool behind a key.
    pub fn pool_at(&self, key: PoolKey) -> &Pool {
        &self.bundle.pools[key.0]
    }

    /// Longest wait of a class.
    pub fn max_wait(&self, key: ClassKey) -> Millis {
        Millis(self.class_at(key).max_wait_ms)
    }
}

/// The hash under which a bearer key stands in the bundle.
pub fn hash_key(bearer: &str) -> String {
    blake3::hash(bearer.as_bytes()).to_hex().to_string()
}

fn index<K>(names: impl Iterator<Item = String>, key: fn(usize) -> K) -> HashMap<String, K> {
    names.enumerate().map(|(i, name)| (name, key(i))).collect()
}

fn members<'a, K>(
    lists: impl Iterator<Item = &'a Vec<String>>,
    key: fn(usize) -> K,
) -> HashMap<String, K> {
    lists
        .enumerate()
        .flat_map(|(i, list)| list.iter().map(move |name| (name.clone(), key(i))))
        .collect()
}
