//! Endpoints that are reserved for latency-sensitive streams.

mod common;

use common::listed;
use violetline::clock::Millis;
use violetline::direct::catalog::EngineCapacity;
use violetline::direct::directory::{Change, Directory, EndpointKey, ListedEndpoint};
use violetline::direct::known::capacity::PoolCapacity;
use violetline::direct::known::health::{Fault, HealthRecord};
use violetline::direct::known::load::{EndpointLoad, Footprint};
use violetline::direct::placement::candidate::{Candidate, CandidateState};
use violetline::direct::placement::choose::choose;
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::lanes::StreamPartition;
use violetline::direct::placement::prefix::{PrefixMap, PromptSegment};
use violetline::direct::placement::room::RoomInputs;

const NOW: Millis = Millis(10_000);
const ENGINE: EngineCapacity = EngineCapacity {
    slots: 64,
    memory_tokens: 290_000,
    moves: None,
};
/// Prompt tokens that an endpoint prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

const CAPACITY: PoolCapacity = PoolCapacity {
    prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
    step_ms: 4.0,
    tokens_per_event: 6.0,
};

/// A pool of endpoints with 64 slots each.
struct Pool {
    directory: Directory,
    keys: Vec<EndpointKey>,
    loads: Vec<EndpointLoad>,
    records: Vec<HealthRecord>,
    relative_times: Vec<f64>,
}

impl Pool {
    fn new(count: usize) -> Self {
        let mut directory = Directory::default();
        for i in 0..count {
            let endpoint = ListedEndpoint {
                slots: 64,
                ..listed(&format!("e{i}"), 1)
            };
            directory.apply(Change::Put(endpoint), Millis(0));
        }
        let key = |i| directory.key(&format!("e{i}")).unwrap();
        Self {
            keys: (0..count).map(key).collect(),
            directory,
            loads: (0..count).map(|_| EndpointLoad::default()).collect(),
            records: vec![HealthRecord::default(); count],
            relative_times: vec![1.0; count],
        }
    }

    fn candidates(&self) -> Vec<Candidate<'_>> {
        let candidate = |i: usize| Candidate {
            key: self.keys[i],
            endpoint: self.directory.get(self.keys[i]).unwrap(),
            load: &self.loads[i],
            record: &self.records[i],
            is_warming: false,
            is_limited: false,
            relative_time: self.relative_times[i],
        };
        (0..self.keys.len()).map(candidate).collect()
    }

    /// Positions of the endpoints that are reserved for latency-sensitive streams.
    fn reserved(&self) -> Vec<usize> {
        let all: Vec<CandidateState<'_>> =
            self.candidates().into_iter().map(candidate_state).collect();
        let partition = StreamPartition::compute(&all, PREFILL_TOKENS_PER_MS);
        let is_reserved = |i: &usize| partition.is_reserved(self.keys[*i]);
        (0..self.keys.len()).filter(is_reserved).collect()
    }

    /// Positions of the endpoints that are reserved by what engines can carry.
    fn reserved_by_capacity(&self) -> Vec<usize> {
        let all: Vec<CandidateState<'_>> =
            self.candidates().into_iter().map(candidate_state).collect();
        let partition = StreamPartition::by_capacity(&all, &CAPACITY, Millis(300));
        let is_reserved = |i: &usize| partition.is_reserved(self.keys[*i]);
        (0..self.keys.len()).filter(is_reserved).collect()
    }

    fn begin(&mut self, i: usize, footprint: Footprint) {
        self.loads[i].begin(footprint, NOW);
        self.loads[i].read(footprint);
    }

    /// Position of the endpoint that is chosen.
    fn choose(&self, demand: Demand<'_>) -> usize {
        let candidates = self.candidates().into_iter();
        let choice = choose(demand, candidates, &PrefixMap::default(), NOW).unwrap();
        self.keys.iter().position(|k| *k == choice.key).unwrap()
    }
}

fn candidate_state(candidate: Candidate<'_>) -> CandidateState<'_> {
    CandidateState {
        total: candidate.load.total(NOW),
        cached_tokens: 0,
        transferable_tokens: 0,
        is_reserved: false,
        may_be_reserved: false,
        unseen_tokens: 0.0,
        uncached_home_tokens: None,
        candidate,
    }
}

/// A stream with the shortest allowed pause, at an entry that does not see other entries' choices
/// yet.
fn urgent_demand(parts: &[PromptSegment], draw: u64) -> Demand<'_> {
    Demand {
        band: 0,
        parts,
        output_tokens: 300,
        target: Millis(300),
        zone: "hall-a",
        engine: Some(ENGINE),
        pause_sensitivity: 100,
        pause: Millis(250),
        visibility_delay: Millis(300),
        room: RoomInputs::default(),
        draw,
        capacity: None,
    }
}

fn urgent_stream() -> Footprint {
    Footprint {
        band: 0,
        unread: 500,
        held: 800,
        pause_sensitivity: 100,
    }
}

fn long_prompt() -> Footprint {
    Footprint {
        band: 2,
        unread: 9_000,
        held: 9_100,
        pause_sensitivity: 0,
    }
}

#[test]
fn partition_follows_load() {
    let mut pool = Pool::new(12);
    assert_eq!(pool.reserved().len(), 1, "room for the first stream");
    for i in 0..12 {
        pool.begin(i, long_prompt());
    }
    assert_eq!(pool.reserved().len(), 1);
    for i in 0..30 {
        pool.begin(i % 3, urgent_stream());
    }
    let some = pool.reserved().len();
    assert!((2..=6).contains(&some), "{some} of 12");
    for i in 0..5 {
        pool.begin(i, urgent_stream());
    }
    assert!(
        pool.reserved().is_empty(),
        "too many streams to be kept apart"
    );
}

/// In a large pool, up to nearly a third of the endpoints is reserved for streams, because the
/// others have capacity for long prompts.
#[test]
fn large_pool_partitioned() {
    for (count, streams, parts) in [(12, 60, false), (180, 900, true), (180, 1_500, false)] {
        let mut pool = Pool::new(count);
        for i in 0..count {
            pool.begin(i, long_prompt());
        }
        for i in 0..streams {
            pool.begin(i % count, urgent_stream());
        }
        assert_eq!(!pool.reserved().is_empty(), parts, "{streams} on {count}");
    }
}

/// More load adds endpoints to those reserved and removes none, so that entries disagree about few,
/// until there are too many streams to reserve endpoints for.
#[test]
fn grows_in_order() {
    let mut pool = Pool::new(40);
    for i in 0..40 {
        pool.begin(i, long_prompt());
    }
    let mut before = pool.reserved();
    for _ in 0..10 {
        for _ in 0..10 {
            pool.begin(0, urgent_stream());
        }
        let now = pool.reserved();
        assert!(before.iter().all(|i| now.contains(i)));
        before = now;
    }
    assert!(before.len() > 4, "{before:?}");
}

#[test]
fn failing_not_reserved() {
    let mut pool = Pool::new(4);
    for _ in 0..2 {
        let reserved = pool.reserved();
        assert_eq!(reserved.len(), 1);
        pool.records[reserved[0]].failed(NOW, Fault::Unreachable);
        assert_ne!(pool.reserved(), reserved);
    }
    assert!(Pool::new(1).reserved().is_empty());
}

/// A burst of streams takes over endpoints from long prompts before it fills any of them
/// completely.
#[test]
fn burst_spreads() {
    let mut pool = Pool::new(12);
    for i in 3..12 {
        for _ in 0..5 {
            pool.begin(i, long_prompt());
        }
    }
    let parts = [PromptSegment { id: 1, tokens: 500 }];
    for draw in 0..400 {
        let i = pool.choose(urgent_demand(&parts, draw));
        pool.begin(i, urgent_stream());
        let running = pool.loads[i].total(NOW).pause_sensitivity / 100;
        assert!(running < 64, "{running} streams at one endpoint");
    }
    let all_take = pool
        .loads
        .iter()
        .all(|load| load.total(NOW).pause_sensitivity > 0);
    assert!(all_take, "some endpoint takes none");
}

/// Entries with the same knowledge that choose at the same moment choose different endpoints.
#[test]
fn invisible_choices_spread() {
    let pool = Pool::new(12);
    let parts = [PromptSegment {
        id: 1,
        tokens: 9_000,
    }];
    let mut chosen = [0; 12];
    for draw in 0..60 {
        let demand = Demand {
            band: 2,
            output_tokens: 50,
            pause_sensitivity: 6,
            ..urgent_demand(&parts, draw)
        };
        chosen[pool.choose(demand)] += 1;
    }
    assert!(chosen.iter().all(|n| *n <= 20), "{chosen:?}");
}

/// Load of one stream with the shortest allowed pause.
const STREAM: Footprint = Footprint {
    band: 0,
    unread: 0,
    held: 1_000,
    pause_sensitivity: 100,
};

/// Guards against streams at slow engines: there a long prompt stretches their pauses the most.
#[test]
fn fastest_reserved() {
    let mut pool = Pool::new(30);
    pool.relative_times = (0..30)
        .map(|i| if i % 3 == 0 { 2.4 } else { 1.0 })
        .collect();
    for i in 0..30 {
        (0..10).for_each(|_| pool.begin(i, STREAM));
    }
    let reserved = pool.reserved_by_capacity();
    assert!(!reserved.is_empty());
    assert!(reserved.iter().all(|i| i % 3 != 0), "{reserved:?}");
    assert!(
        reserved.len() <= 9,
        "more than 30% of the pool: {reserved:?}"
    );
}

/// Guards against a partition that lags behind a burst, and against one that changes with each
/// request, so that cached prompts are moved to and fro.
#[test]
fn load_followed_steadily() {
    let mut pool = Pool::new(30);
    (0..5).for_each(|i| pool.begin(i, STREAM));
    let calm = pool.reserved_by_capacity();
    let mut changes = 0;
    let mut last = calm.clone();
    for n in 0..200 {
        pool.begin(n % 30, STREAM);
        let reserved = pool.reserved_by_capacity();
        changes += usize::from(reserved != last);
        last = reserved;
    }
    assert!(last.len() > calm.len(), "{calm:?} {last:?}");
    assert!(last.len() <= 9, "{last:?}");
    assert!(changes <= 9, "{changes} changes");
}

/// Guards against streams that lose all their endpoints when they need more than may be reserved.
#[test]
fn overdemand_keeps_reserved() {
    let mut pool = Pool::new(30);
    for i in 0..30 {
        (0..60).for_each(|_| pool.begin(i, STREAM));
    }
    assert_eq!(pool.reserved_by_capacity().len(), 9);
}
