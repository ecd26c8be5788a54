//! What a simulated day before engines that name limits is made of.

/// Who gets the callers' requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Traffic {
    /// All entries alike.
    Even,
    /// One entry nearly all.
    One,
    /// The entries of one zone nearly all, another zone every five seconds.
    Moving,
}

/// What happens to entries, one after the other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    None,
    /// A planned stop and a start.
    Rolls,
    /// An end without a word and a start.
    Kills,
    /// No datagrams to and from an entry for three seconds; it reaches the engines.
    Cuts,
    /// The zones hear each other no more; all reach the engines.
    Split,
    /// An entry stands still for three seconds.
    Freezes,
    /// All of these in turn.
    Mixed,
}

impl Trouble {
    /// All that happens.
    pub const ALL: [Self; 6] = [
        Self::Rolls,
        Self::Kills,
        Self::Cuts,
        Self::Split,
        Self::Freezes,
        Self::Mixed,
    ];
}

/// What a day is made of.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    pub entries: usize,
    pub zones: usize,
    /// Engines that name a limit.
    pub limited: usize,
    /// Engines that don't.
    pub free: usize,
    /// The limit, in thousandths of a request a second.
    pub limit: u32,
    /// Callers' requests a second.
    pub rate: u64,
    pub traffic: Traffic,
    pub trouble: Trouble,
    /// Time between two troubles.
    pub every: u64,
    pub seconds: u64,
    pub seed: u64,
    /// Whether entries keep limits at all.
    pub keeps: bool,
}

impl Day {
    /// A day before one engine with a limit of two a second, with more work than it takes.
    pub fn new(entries: usize) -> Self {
        Self {
            entries,
            zones: match entries {
                0..=30 => 3,
                31..=100 => 5,
                _ => 12,
            },
            limited: 6,
            free: 0,
            limit: 2_000,
            rate: 60,
            traffic: Traffic::Even,
            trouble: Trouble::None,
            every: 1_500,
            seconds: 40,
            seed: 1,
            keeps: true,
        }
    }
}
