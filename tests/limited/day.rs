//! Parameters of a simulated fleet in front of engines that announce limits.

/// How callers' requests are distributed over the entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Traffic {
    /// Evenly over all entries.
    Even,
    /// Nine tenths to one entry, the rest evenly.
    One,
    /// Nine tenths to the entries of one zone, another zone every five seconds.
    Moving,
}

/// Disruptions, one after the other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disruption {
    None,
    /// An entry stops as planned and starts again.
    Rolls,
    /// An entry ends without notice and starts again.
    Kills,
    /// No datagrams to or from an entry for three seconds; it still reaches the engines.
    Cuts,
    /// No datagrams between zones for three seconds; all entries still reach the engines.
    Split,
    /// An entry is stalled for three seconds.
    Freezes,
    /// All of these in turn.
    Mixed,
}

impl Disruption {
    /// All kinds of disruption.
    pub const ALL: [Self; 6] = [
        Self::Rolls,
        Self::Kills,
        Self::Cuts,
        Self::Split,
        Self::Freezes,
        Self::Mixed,
    ];
}

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub zones: usize,
    /// Number of engines that announce a limit.
    pub limited_engines: usize,
    /// Number of engines without a limit.
    pub unlimited_engines: usize,
    /// The limit of each limited engine, in thousandths of a request per second.
    pub limit: u32,
    /// Callers' requests per second.
    pub rate: u64,
    pub traffic: Traffic,
    pub disruption: Disruption,
    /// Time between two disruptions, in ms.
    pub interval_ms: u64,
    pub seconds: u64,
    pub seed: u64,
    /// Whether entries need permits for limited engines.
    pub uses_permits: bool,
}

impl Scenario {
    /// Six engines with a limit of two requests per second each, and more requests than they take.
    pub fn new(entries: usize) -> Self {
        Self {
            entries,
            zones: match entries {
                0..=30 => 3,
                31..=100 => 5,
                _ => 12,
            },
            limited_engines: 6,
            unlimited_engines: 0,
            limit: 2_000,
            rate: 60,
            traffic: Traffic::Even,
            disruption: Disruption::None,
            interval_ms: 1_500,
            seconds: 40,
            seed: 1,
            uses_permits: true,
        }
    }
}
