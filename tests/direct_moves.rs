//! Cached prefixes that are transferred between endpoints instead of being prefilled again.

mod common;

use common::listed;
use violetline::clock::Millis;
use violetline::direct::admission::turnover::RecentActivity;
use violetline::direct::catalog::{EngineCapacity, TransferSpec};
use violetline::direct::directory::{Change, Directory, EndpointKey};
use violetline::direct::known::health::{Fault, HealthRecord};
use violetline::direct::known::load::{EndpointLoad, Footprint};
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::{PrefixMap, PromptSegment};
use violetline::direct::placement::room::RoomInputs;

const NOW: Millis = Millis(10_000);
/// Memory per token in bytes, and a link between engines in Mbit/s: 6,300 tokens are transferred in
/// 22 ms.
const MOVES: TransferSpec = TransferSpec {
    token_bytes: 327_680,
    link_mbps: 740_000,
};
const SHARED: [PromptSegment; 2] = [part(1, 2_500), part(2, 3_800)];

const fn part(id: u64, tokens: u64) -> PromptSegment {
    PromptSegment { id, tokens }
}

/// Endpoints a, b and c; a has the shared segments cached and much to prefill.
struct Pool {
    directory: Directory,
    loads: [EndpointLoad; 3],
    records: [HealthRecord; 3],
    prefixes: PrefixMap,
    moves: Option<TransferSpec>,
    room: RoomInputs,
    draw: u64,
}

impl Pool {
    fn new() -> Self {
        let mut directory = Directory::default();
        for id in ["a", "b", "c"] {
            directory.apply(Change::Put(listed(id, 1)), Millis(0));
        }
        let mut pool = Self {
            directory,
            loads: Default::default(),
            records: Default::default(),
            prefixes: PrefixMap::default(),
            moves: Some(MOVES),
            room: RoomInputs::default(),
            draw: 0,
        };
        let holder = pool.key("a");
        pool.prefixes.record_use(holder, ids(&SHARED), NOW, NOW);
        pool.loads[0].begin(footprint(60_000), NOW);
        pool
    }

    fn key(&self, id: &str) -> EndpointKey {
        self.directory.key(id).unwrap()
    }

    fn choose(&self, parts: &[PromptSegment]) -> Choice {
        let demand = Demand {
            band: 2,
            parts,
            output_tokens: 100,
            target: Millis(600),
            zone: "hall-a",
            engine: Some(EngineCapacity {
                slots: 64,
                memory_tokens: 290_000,
                moves: self.moves,
            }),
            pause_sensitivity: 44,
            pause: Millis(200),
            visibility_delay: Millis(0),
            room: self.room,
            draw: self.draw,
            capacity: None,
        };
        let candidates = ["a", "b", "c"].iter().enumerate().map(|(i, id)| Candidate {
            key: self.key(id),
            endpoint: self.directory.get(self.key(id)).unwrap(),
            load: &self.loads[i],
            record: &self.records[i],
            is_warming: false,
            is_limited: false,
            relative_time: 1.0,
        });
        choose(demand, candidates, &self.prefixes, NOW).unwrap()
    }
}

fn ids(parts: &[PromptSegment]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().map(|part| part.id)
}

fn footprint(unread: u32) -> Footprint {
    Footprint {
        band: 2,
        unread,
        held: unread,
        pause_sensitivity: 44,
    }
}

fn prompt(own: u64) -> [PromptSegment; 3] {
    [SHARED[0], SHARED[1], part(9, own)]
}

#[test]
fn busy_holder_transfers() {
    let pool = Pool::new();
    let choice = pool.choose(&prompt(2_900));
    assert_ne!(choice.key, pool.key("a"), "the keeper is busy");
    assert_eq!(choice.reuse.from, Some(pool.key("a")));
    assert_eq!(choice.reuse.moved, 6_300);
    assert_eq!(choice.footprint.unread, 2_900);
}

#[test]
fn idle_holder_preferred() {
    let mut pool = Pool::new();
    pool.loads[0].read(footprint(60_000));
    let choice = pool.choose(&prompt(2_900));
    assert_eq!(choice.key, pool.key("a"));
    assert_eq!((choice.reuse.cached, choice.reuse.from), (6_300, None));
}

#[test]
fn failing_holder_avoided() {
    let mut pool = Pool::new();
    pool.records[0].failed(NOW, Fault::Unreachable);
    assert_eq!(pool.choose(&prompt(2_900)).reuse.from, None);
}

#[test]
fn unfinished_prefill_avoided() {
    let mut pool = Pool::new();
    let holder = pool.key("a");
    pool.prefixes.forget(holder);
    let later = NOW + Millis(300);
    pool.prefixes.record_use(holder, ids(&SHARED), NOW, later);
    assert_eq!(pool.choose(&prompt(2_900)).reuse.from, None);
    pool.prefixes.record_prefill(holder, ids(&SHARED), NOW);
    assert_eq!(pool.choose(&prompt(2_900)).reuse.moved, 6_300);
}

#[test]
fn pool_without_transfers() {
    let mut pool = Pool::new();
    pool.moves = None;
    assert_eq!(pool.choose(&prompt(2_900)).reuse.from, None);
}

#[test]
fn short_prefix_recomputed() {
    let mut pool = Pool::new();
    let holder = pool.key("a");
    let short = [part(5, 100), part(6, 50)];
    pool.prefixes.record_use(holder, ids(&short), NOW, NOW);
    assert_eq!(pool.choose(&short).reuse.from, None);
}

/// If entries draw endpoints at random, a cached prefix is transferred to the endpoint that is
/// drawn, as to one that is chosen by its price.
#[test]
fn drawn_endpoint_receives() {
    let mut pool = Pool::new();
    pool.room = RoomInputs {
        entries: 9,
        recent: RecentActivity {
            yielding_arrivals: 1_000,
            ..RecentActivity::default()
        },
        more_urgent_bands: 1,
    };
    let holder = pool.key("a");
    let mut moved = 0;
    for draw in 0..50 {
        pool.draw = draw;
        let choice = pool.choose(&prompt(2_900));
        assert!(choice.admitted_fraction < 1.0);
        if choice.key != holder {
            assert_eq!(choice.reuse.moved, 6_300, "{choice:?}");
            moved += 1;
        }
    }
    assert!(moved > 0);
}
