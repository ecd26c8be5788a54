//! The catalog: routes, pools and teams of one configuration version, indexed for lookups.

use std::collections::HashMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::admission::warmup::WarmUp;
use crate::direct::known::load::{band, BANDS, FULL_STREAM};
use crate::ids::TeamKey;

/// Index of a route in [`Catalog::routes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub usize);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// It runs at most once; where it is unknown whether it ran, the caller is told so.
    Once,
    /// It is idempotent and may run again.
    Harmless,
}

/// How responses are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseKind {
    /// As one body, once it has arrived completely.
    Whole,
    /// As a stream of events, each as it arrives.
    Events {
        /// Whether another endpoint can continue the stream after the last delivered event.
        resumable: bool,
        /// Longest pause between two events for which a response counts as in time; 0 where none
        /// is configured.
        pause: Millis,
    },
}

/// How requests for one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that callers name, in lower case, without a port.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub repeat: RepeatPolicy,
    /// How responses are delivered.
    pub shape: ResponseKind,
    /// Longest time that a request may take, from its arrival.
    pub timeout: Millis,
    /// Time within which a response, or the first event of a stream, counts as in time.
    pub target: Millis,
    /// Urgency; 0 is the highest.
    pub priority: u8,
    /// Pools among which the requests are split, with their weights.
    pub shares: Vec<PoolShare>,
    /// Maximum number of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions whose endpoints may run the requests; empty for any region.
    pub regions: Vec<String>,
}

impl Route {
    /// Whether responses are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.shape, ResponseKind::Events { .. })
    }

    /// Longest allowed pause between events; `None` where responses are not streams or no pause is
    /// configured.
    pub fn pause(&self) -> Option<Millis> {
        match self.shape {
            ResponseKind::Events { pause, .. } if pause > Millis(0) => Some(pause),
            _ => None,
        }
    }
}

/// The share of a route's requests that goes to one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: String,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// A group of interchangeable endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Maximum number of connections that one endpoint accepts from all entries together.
    pub max_connections: u32,
    /// Capacity of one model engine of this pool; `None` for plain services.
    pub engine: Option<EngineCapacity>,
    /// How its endpoints warm up; `None` where that is not configured.
    pub warm_up: Option<WarmUp>,
}

/// Capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that fit into its memory.
    pub memory_tokens: u64,
    /// How prompt memory is copied between engines; `None` where that is not possible.
    pub moves: Option<TransferSpec>,
}

/// Size and bandwidth of copies of prompt memory between engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSpec {
    /// Memory of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in Mbit/s.
    pub link_mbps: u64,
}

impl TransferSpec {
    /// Time to transfer the memory of this many tokens over the link, in ms.
    pub fn transfer_ms(&self, tokens: u64) -> f64 {
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        bits / (self.link_mbps.max(1) as f64 * 1_000.0)
    }
}

/// A team, with the properties of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name, passed to endpoints.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Urgency that overrides the route's; `None` for the route's own.
    pub priority: Option<u8>,
    /// Regions whose endpoints may run its requests; empty for any region.
    pub regions: Vec<String>,
}

/// Who may send requests to routes that are not public.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Teams {
    /// Anyone: the configuration names no teams, and requests need no key.
    Unrestricted,
    /// Requests with a key of one of these teams; nobody where there is none.
    Listed(Vec<Team>),
}

impl Default for Teams {
    /// Nobody.
    fn default() -> Self {
        Self::Listed(Vec::new())
    }
}

impl Teams {
    /// The teams that the configuration names; empty where it names none.
    pub fn listed(&self) -> &[Team] {
        match self {
            Self::Unrestricted => &[],
            Self::Listed(teams) => teams,
        }
    }

    /// The form that entries send to each other. An empty list means [`Teams::Unrestricted`] there,
    /// also to entries of earlier versions, so that "nobody" is one team without a key.
    fn to_wire(&self) -> Vec<Team> {
        match self {
            Self::Listed(teams) if teams.is_empty() => vec![Team::nobody()],
            teams => teams.listed().to_vec(),
        }
    }

    /// Reads that form.
    fn from_wire(mut teams: Vec<Team>) -> Self {
        if teams.is_empty() {
            return Self::Unrestricted;
        }
        teams.retain(|team| *team != Team::nobody());
        Self::Listed(teams)
    }
}

impl std::ops::Index<TeamKey> for Teams {
    type Output = Team;

    fn index(&self, key: TeamKey) -> &Team {
        &self.listed()[key.0]
    }
}

impl Team {
    /// Stands for an empty list of teams between entries; a configuration has no team without a
    /// name.
    fn nobody() -> Self {
        Self {
            name: String::new(),
            keys: Vec::new(),
            priority: None,
            regions: Vec::new(),
        }
    }
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum length of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum length of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for the head of a request, and for each further read of its body.
    pub head_time: Millis,
    /// Time after which an idle connection is closed.
    pub idle_time: Millis,
}

impl Default for CallerLimits {
    /// Limits while no configuration has been read: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Millis(5_000),
            idle_time: Millis(60_000),
        }
    }
}

/// Shortest timeout of a route whose callers are in no hurry.
const PATIENT_TIMEOUT: Millis = Millis(10_000);

/// The routes of one host.
///
/// A route is looked up by each prefix of the request's path that ends with a slash. Among 10,000
/// routes, that and the lookup of a pool's shortest pause take 0.07 us; comparing every route took
/// 66 us.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, RouteKey>,
    /// Length of the longest route prefix, in bytes.
    longest: usize,
}

impl HostRoutes {
    /// Adds a route, unless one with the same prefix exists.
    fn add(&mut self, prefix: &str, key: RouteKey) {
        self.longest = self.longest.max(prefix.len());
        self.by_prefix.entry(prefix.to_owned()).or_insert(key);
    }

    /// The route with the longest prefix that matches a path; prefixes end with a slash.
    fn find(&self, path: &str) -> Option<RouteKey> {
        let ends = path.rmatch_indices('/').map(|(at, slash)| at + slash.len());
        ends.skip_while(|end| *end > self.longest)
            .find_map(|end| self.by_prefix.get(&path[..end]).copied())
    }
}

/// One version of the configuration, in the form that entries send to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CatalogParts {
    /// Version; increases with every change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All teams, see [`Catalog::wire_teams`].
    pub teams: Vec<Team>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

impl From<CatalogParts> for Catalog {
    fn from(parts: CatalogParts) -> Self {
        Self::with_shared_routes(
            parts.version,
            parts.routes,
            parts.pools,
            Teams::from_wire(parts.teams),
            parts.limits,
        )
    }
}

/// One version of the configuration with its indexes, read-only once built.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version; increases with every change.
    pub version: u64,
    /// All routes; routes that did not change are shared between versions.
    pub routes: Vec<Rc<Route>>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// All teams.
    pub teams: Teams,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// Routes by host.
    by_host: HashMap<String, HostRoutes>,
    /// Teams by API key.
    by_key: HashMap<String, TeamKey>,
    /// Time limits by name of the pool.
    time_limits: HashMap<String, TimeLimits>,
    /// Whether any pool is mixed.
    has_mixed_pool: bool,
    /// Longest timeout of the routes with streams.
    longest_stream: Millis,
}

/// Time limits of the routes of one pool; each is 0 where no route has one.
#[derive(Debug, Clone, Copy, Default)]
struct TimeLimits {
    /// Shortest allowed pause between the events of a stream.
    pause: Millis,
    /// Shortest target time for a response or its first event.
    target: Millis,
    /// Longest timeout of the routes in each band of urgency.
    longest: [Millis; BANDS],
    /// Priority of the most urgent streams with a longest pause; `None` where there are none.
    most_urgent_stream: Option<u8>,
    /// Priority of the least urgent streams with at least [`PATIENT_TIMEOUT`]; `None` where there
    /// are none.
    least_urgent_patient: Option<u8>,
}

impl TimeLimits {
    /// Whether the pool has streams with a longest pause and less urgent ones whose callers have
    /// time.
    fn is_mixed(&self) -> bool {
        let streams = (self.most_urgent_stream, self.least_urgent_patient);
        matches!(streams, (Some(stream), Some(patient)) if patient > stream)
    }
}

impl Catalog {
    /// Builds a version and its indexes.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: Vec<Pool>,
        teams: Teams,
        limits: CallerLimits,
    ) -> Self {
        let routes = routes.into_iter().map(Rc::new).collect();
        Self::with_shared_routes(version, routes, pools, teams, limits)
    }

    /// Builds a version from routes that other versions may share.
    pub fn with_shared_routes(
        version: u64,
        routes: Vec<Rc<Route>>,
        pools: Vec<Pool>,
        teams: Teams,
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
        let keyed = teams.listed().iter().enumerate();
        let by_key = keyed
            .flat_map(|(i, team)| team.keys.iter().map(move |key| (key.clone(), TeamKey(i))))
            .collect();
        let time_limits = time_limits_by_pool(&routes);
        let streams = routes.iter().filter(|route| route.is_stream());
        Self {
            longest_stream: streams.map(|route| route.timeout).max().unwrap_or_default(),
            version,
            has_mixed_pool: time_limits.values().any(TimeLimits::is_mixed),
            time_limits,
            routes,
            pools,
            teams,
            limits,
            by_host,
            by_key,
        }
    }

    /// Everything that another entry needs to build the same version.
    pub fn parts(&self) -> CatalogParts {
        CatalogParts {
            version: self.version,
            routes: self.routes.clone(),
            pools: self.pools.clone(),
            teams: self.wire_teams(),
            limits: self.limits,
        }
    }

    /// The teams in the form that entries send to each other: an empty list lets anyone in, and one
    /// team without name and key stands for nobody.
    pub fn wire_teams(&self) -> Vec<Team> {
        self.teams.to_wire()
    }

    /// Whether two routes have the same host and prefix, or two teams the same key, so that the
    /// result of a lookup depends on their order.
    pub fn is_ambiguous(&self) -> bool {
        let routes: usize = self.by_host.values().map(|host| host.by_prefix.len()).sum();
        let keys: usize = self.teams.listed().iter().map(|team| team.keys.len()).sum();
        routes < self.routes.len() || self.by_key.len() < keys
    }

    /// The route of the host whose prefix is the longest one that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<RouteKey> {
        self.by_host.get(host)?.find(path)
    }

    /// The longest time from the start of a stream to the last time that its caller may resume it:
    /// an answer of the longest timeout, and another one.
    pub fn stream_life(&self) -> Millis {
        self.longest_stream + self.longest_stream
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<TeamKey> {
        self.by_key.get(key).copied()
    }

    /// How sensitive a route's streams are to prompts that the engine processes meanwhile, in
    /// hundredths: the square of the pool's shortest pause divided by the route's own. 0 where the
    /// route allows any pause.
    pub fn pause_sensitivity(&self, route: &Route, pool: &str) -> u32 {
        let Some(own) = route.pause() else {
            return 0;
        };
        let ratio = self.shortest_pause(pool).0 as f64 / own.0 as f64;
        (ratio * ratio * f64::from(FULL_STREAM)) as u32
    }

    /// The shortest allowed pause among a pool's streams; 0 where none is configured.
    pub fn shortest_pause(&self, pool: &str) -> Millis {
        self.time_limits
            .get(pool)
            .copied()
            .unwrap_or_default()
            .pause
    }

    /// The shortest target time among a pool's routes; 0 where none is configured.
    pub fn shortest_target(&self, pool: &str) -> Millis {
        self.time_limits
            .get(pool)
            .copied()
            .unwrap_or_default()
            .target
    }

    /// The longest timeout among a pool's routes that are less urgent than `band`; 0 where there
    /// are none.
    pub fn longest_less_urgent_timeout(&self, pool: &str, band: usize) -> Millis {
        let longest = self
            .time_limits
            .get(pool)
            .copied()
            .unwrap_or_default()
            .longest;
        let less_urgent = longest.into_iter().skip(band + 1);
        less_urgent.max().unwrap_or_default()
    }

    /// Whether a pool is mixed: it serves streams that may not pause for long, and less urgent
    /// requests whose callers have at least [`PATIENT_TIMEOUT`].
    pub fn is_mixed(&self, pool: &str) -> bool {
        self.time_limits.get(pool).is_some_and(TimeLimits::is_mixed)
    }

    /// Whether a pool is mixed and its endpoints are model engines.
    pub fn is_mixed_engine_pool(&self, pool: &str) -> bool {
        self.is_mixed(pool) && self.pool(pool).is_some_and(|pool| pool.engine.is_some())
    }

    /// Whether any pool is mixed, see [`Catalog::is_mixed`].
    pub fn has_mixed_pool(&self) -> bool {
        self.has_mixed_pool
    }

    /// Whether a request for a pool may pass over any number of endpoints that refuse the
    /// connection: the pool is mixed, or has no model engines and stands beside a mixed pool.
    pub fn passes_over_refused(&self, pool: &str) -> bool {
        let is_plain = || self.pool(pool).is_some_and(|pool| pool.engine.is_none());
        self.has_mixed_pool && (self.is_mixed(pool) || is_plain())
    }

    /// The pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}

/// Time limits by name of the pool.
fn time_limits_by_pool(routes: &[Rc<Route>]) -> HashMap<String, TimeLimits> {
    let mut time_limits: HashMap<String, TimeLimits> = HashMap::new();
    for route in routes {
        for share in &route.shares {
            let known = time_limits.entry(share.pool.clone()).or_default();
            known.pause = shorter_nonzero(known.pause, route.pause().unwrap_or_default());
            known.target = shorter_nonzero(known.target, route.target);
            let longest = &mut known.longest[band(route.priority)];
            *longest = route.timeout.max(*longest);
            let priority = Some(route.priority);
            if route.pause().is_some() {
                let most_urgent = known.most_urgent_stream.or(priority);
                known.most_urgent_stream = most_urgent.min(priority);
            }
            if route.pause().is_some() && route.timeout >= PATIENT_TIMEOUT {
                known.least_urgent_patient = known.least_urgent_patient.max(priority);
            }
        }
    }
    time_limits
}

/// The shorter of two times, where 0 means that there is none.
fn shorter_nonzero(known: Millis, other: Millis) -> Millis {
    match (known, other) {
        (Millis(0), other) => other,
        (known, Millis(0)) => known,
        (known, other) => known.min(other),
    }
}
