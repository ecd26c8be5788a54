//! The catalog: routes, pools and teams of one configuration version, indexed for look-up.

use std::collections::HashMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::load::{band, BANDS, FULL_STREAM};
use crate::direct::warmup::WarmUp;
use crate::ids::TeamKey;

/// Position of a route in the catalog's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub usize);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// At most one run; an unknown outcome must be told as such.
    Once,
    /// Another run is harmless.
    Harmless,
}

/// What an answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseKind {
    /// One body, delivered whole.
    Whole,
    /// A series of events, delivered as they arrive.
    Events {
        /// Whether another endpoint can go on after the last delivered event.
        resumable: bool,
        /// Longest pause between events at which an answer is in time; 0 where none is told.
        pause: Millis,
    },
}

/// How requests under one host and path prefix are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host as the caller names it, in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub repeat: RepeatPolicy,
    /// What answers look like.
    pub shape: ResponseKind,
    /// Longest time that a request is held.
    pub timeout: Millis,
    /// Time within which an answer (its first event) is in time.
    pub target: Millis,
    /// Urgency; 0 is the highest.
    pub priority: u8,
    /// Pools that take the requests, with their weights.
    pub shares: Vec<PoolShare>,
    /// Most endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions whose endpoints may run its requests; none for any.
    pub regions: Vec<String>,
}

impl Route {
    /// The pause that its streams allow; `None` where answers are whole or nothing is told.
    pub fn pause(&self) -> Option<Millis> {
        match self.shape {
            ResponseKind::Events { pause, .. } if pause > Millis(0) => Some(pause),
            _ => None,
        }
    }
}

/// A pool's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: String,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// Endpoints of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Connections that one endpoint accepts from all entries together.
    pub max_connections: u32,
    /// What a model engine of this pool can hold; `None` for plain services.
    pub engine: Option<EngineCapacity>,
    /// How its endpoints warm up; `None` where that is not told.
    pub warm_up: Option<WarmUp>,
}

/// Size of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// How memory moves between engines; `None` where it can't.
    pub moves: Option<TransferSpec>,
}

/// How the memory of prompts moves between engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSpec {
    /// Bytes of memory of one token.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in Mbit/s.
    pub link_mbps: u64,
}

impl TransferSpec {
    /// Time on the link, in ms.
    pub fn transfer_ms(&self, tokens: u64) -> f64 {
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        bits / (self.link_mbps.max(1) as f64 * 1_000.0)
    }
}

/// A team and what its requests inherit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name, told to endpoints.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Urgency that goes before the route's.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run its requests; none for any.
    pub regions: Vec<String>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time for the head of a request to arrive.
    pub head_time: Millis,
    /// Time that an idle connection is kept.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    /// Bounds while no configuration has been read: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Millis(5_000),
            idle_time: Millis(60_000),
        }
    }
}

/// The routes of one host.
///
/// A request's route is found by the slashes of its path: 0.07 us among 10,000 routes with the
/// tightest pause of a pool, where a look at each took 66 us.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, RouteKey>,
    /// Length of the longest prefix, in bytes.
    longest: usize,
}

impl HostRoutes {
    /// Adds a route unless there is one of this prefix.
    fn add(&mut self, prefix: &str, key: RouteKey) {
        self.longest = self.longest.max(prefix.len());
        self.by_prefix.entry(prefix.to_owned()).or_insert(key);
    }

    /// The route with the longest prefix that begins a path; prefixes end with a slash.
    fn find(&self, path: &str) -> Option<RouteKey> {
        let ends = path.rmatch_indices('/').map(|(at, slash)| at + slash.len());
        ends.skip_while(|end| *end > self.longest)
            .find_map(|end| self.by_prefix.get(&path[..end]).copied())
    }
}

/// One version of the configuration, as it is passed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogParts {
    /// Version; rises with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All teams.
    pub teams: Vec<Team>,
    /// Bounds for callers.
    pub limits: CallerLimits,
}

impl From<CatalogParts> for Catalog {
    fn from(parts: CatalogParts) -> Self {
        Self::with_shared_routes(
            parts.version,
            parts.routes,
            parts.pools,
            parts.teams,
            parts.limits,
        )
    }
}

/// One version of the configuration, read-only once built.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version; rises with every change.
    pub version: u64,
    /// All routes; versions share those that did not change.
    pub routes: Vec<Rc<Route>>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All teams; none means that no request needs a key.
    pub teams: Vec<Team>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Routes of each host.
    by_host: HashMap<String, HostRoutes>,
    /// The team that holds each key.
    by_key: HashMap<String, TeamKey>,
    /// The tightest demands on each pool.
    tightest: HashMap<String, Tightest>,
}

/// The tightest demands of the routes of one pool; 0 where there is none.
#[derive(Debug, Clone, Copy, Default)]
struct Tightest {
    /// Pause between the events of a stream.
    pause: Millis,
    /// Time for an answer or its first event.
    target: Millis,
    /// Longest time that requests of each band have.
    longest: [Millis; BANDS],
}

impl Catalog {
    /// Builds the indices of one version.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        teams: Vec<Team>,
        limits: CallerLimits,
    ) -> Self {
        let routes = routes.into_iter().map(Rc::new).collect();
        Self::with_shared_routes(version, routes, pools, teams, limits)
    }

    /// The same of routes that other versions may hold as well.
    pub fn with_shared_routes(
        version: u64,
        routes: Vec<Rc<Route>>,
        pools: Vec<Pool>,
        teams: Vec<Team>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            if !by_host.contains_key(&route.host) {
                by_host.insert(route.host.clone(), HostRoutes::default());
            }
            if let Some(host) = by_host.get_mut(&route.host) {
                host.add(&route.prefix, RouteKey(i));
            }
        }
        let keyed = teams.iter().enumerate();
        let by_key = keyed
            .flat_map(|(i, team)| team.keys.iter().map(move |key| (key.clone(), TeamKey(i))))
            .collect();
        Self {
            version,
            tightest: tightest_demands(&routes),
            routes,
            pools,
            teams,
            limits,
            by_host,
            by_key,
        }
    }

    /// All that other entries need of it.
    pub fn parts(&self) -> CatalogParts {
        CatalogParts {
            version: self.version,
            routes: self.routes.clone(),
            pools: self.pools.clone(),
            teams: self.teams.clone(),
            limits: self.limits,
        }
    }

    /// Whether two routes have one host and prefix or two teams one key, so that the order counts.
    pub fn is_ambiguous(&self) -> bool {
        let routes: usize = self.by_host.values().map(|host| host.by_prefix.len()).sum();
        let keys: usize = self.teams.iter().map(|team| team.keys.len()).sum();
        routes < self.routes.len() || self.by_key.len() < keys
    }

    /// The route of a host and path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        self.by_host.get(host)?.find(path)
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<TeamKey> {
        self.by_key.get(key).copied()
    }

    /// How much a route's answers suffer from prompts read beside them, in hundredths: the square
    /// of the tightest pause among the pool's streams by the route's own.
    pub fn pause_sensitivity(&self, route: &Route, pool: &str) -> u32 {
        let Some(own) = route.pause() else {
            return 0;
        };
        let ratio = self.shortest_pause(pool).0 as f64 / own.0 as f64;
        (ratio * ratio * f64::from(FULL_STREAM)) as u32
    }

    /// The tightest pause among a pool's streams; 0 where there are none.
    pub fn shortest_pause(&self, pool: &str) -> Millis {
        self.tightest.get(pool).copied().unwrap_or_default().pause
    }

    /// The tightest target among a pool's routes; 0 where none is told.
    pub fn shortest_target(&self, pool: &str) -> Millis {
        self.tightest.get(pool).copied().unwrap_or_default().target
    }

    /// Longest time that requests to a pool have which are less urgent than a band; 0 where there are none.
    pub fn longest_less_urgent_timeout(&self, pool: &str, band: usize) -> Millis {
        let longest = self.tightest.get(pool).copied().unwrap_or_default().longest;
        let less_urgent = longest.into_iter().skip(band + 1);
        less_urgent.max().unwrap_or_default()
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}

/// The tightest demands among each pool's requests.
fn tightest_demands(routes: &[Rc<Route>]) -> HashMap<String, Tightest> {
    let mut tightest: HashMap<String, Tightest> = HashMap::new();
    for route in routes {
        for share in &route.shares {
            let known = tightest.entry(share.pool.clone()).or_default();
            known.pause = tighter(known.pause, route.pause().unwrap_or_default());
            known.target = tighter(known.target, route.target);
            let longest = &mut known.longest[band(route.priority)];
            *longest = route.timeout.max(*longest);
        }
    }
    tightest
}

/// The tighter of two times, of which 0 is none.
fn tighter(known: Millis, other: Millis) -> Millis {
    match (known, other) {
        (Millis(0), other) => other,
        (known, Millis(0)) => known,
        (known, other) => known.min(other),
    }
}
