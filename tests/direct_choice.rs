//! Choice of an endpoint by price.

mod common;

use common::listed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::catalog::EngineCapacity;
use violetline::direct::directory::{Change, Directory, EndpointKey, ListedEndpoint};
use violetline::direct::known::capacity::PoolCapacity;
use violetline::direct::known::health::{Fault, Grade, HealthRecord};
use violetline::direct::known::load::{EndpointLoad, EndpointReport, Footprint};
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::{PrefixMap, PromptSegment};
use violetline::direct::placement::room::RoomInputs;

const NOW: Millis = Millis(10_000);
const ENGINE: EngineCapacity = EngineCapacity {
    slots: 64,
    memory_tokens: 290_000,
    moves: None,
};

/// Endpoints a, b and c with their loads and health records.
struct Pool {
    directory: Directory,
    loads: Vec<EndpointLoad>,
    records: Vec<HealthRecord>,
    prefixes: PrefixMap,
}

impl Pool {
    fn new() -> Self {
        let mut directory = Directory::default();
        for id in ["a", "b", "c"] {
            directory.apply(Change::Put(listed(id, 1)), Millis(0));
        }
        Self {
            directory,
            loads: (0..3).map(|_| EndpointLoad::default()).collect(),
            records: vec![HealthRecord::default(); 3],
            prefixes: PrefixMap::default(),
        }
    }

    fn key(&self, i: usize) -> EndpointKey {
        self.directory.key(["a", "b", "c"][i]).unwrap()
    }

    fn choose(&self, demand: Demand<'_>) -> Choice {
        let candidates = (0..3).map(|i| Candidate {
            key: self.key(i),
            endpoint: self.directory.get(self.key(i)).unwrap(),
            load: &self.loads[i],
            record: &self.records[i],
            is_warming: false,
            is_limited: false,
            relative_time: 1.0,
        });
        choose(demand, candidates, &self.prefixes, NOW).unwrap()
    }
}

fn demand(parts: &[PromptSegment]) -> Demand<'_> {
    Demand {
        band: 2,
        parts,
        output_tokens: 100,
        target: Millis(1_200),
        zone: "hall-a",
        engine: Some(ENGINE),
        pause_sensitivity: 6,
        pause: Millis(250),
        visibility_delay: Millis(0),
        room: RoomInputs::default(),
        draw: 0,
        capacity: None,
    }
}

fn part(id: u64, tokens: u64) -> PromptSegment {
    PromptSegment { id, tokens }
}

fn prompt() -> [PromptSegment; 3] {
    [part(1, 2_500), part(2, 3_800), part(3, 2_900)]
}

fn ids(parts: &[PromptSegment]) -> impl Iterator<Item = u64> + '_ {
    parts.iter().map(|part| part.id)
}

fn footprint(unread: u32, pause_sensitivity: u32) -> Footprint {
    Footprint {
        band: 2,
        unread,
        held: unread + 100,
        pause_sensitivity,
    }
}

#[test]
fn cached_prefix_preferred() {
    let mut pool = Pool::new();
    let parts = prompt();
    let other = [parts[0], parts[1], part(9, 500)];
    for i in 0..3 {
        let key = pool.key(i);
        pool.prefixes.forget(key);
        pool.prefixes.record_use(key, ids(&other), NOW, NOW);
        let choice = pool.choose(demand(&parts));
        assert_eq!(choice.key, key);
        assert_eq!(choice.reuse.cached, 6_300);
        assert_eq!(choice.footprint.unread, 2_900);
        pool.prefixes.forget(key);
    }
}

#[test]
fn overloaded_cache_avoided() {
    let mut pool = Pool::new();
    let parts = prompt();
    let key = pool.key(1);
    pool.prefixes.record_use(key, ids(&parts), NOW, NOW);
    for _ in 0..12 {
        pool.loads[1].begin(footprint(9_000, 6), NOW);
    }
    assert_ne!(pool.choose(demand(&parts)).key, key);
}

/// A prompt stays at the endpoint that has its prefix cached, despite a short queue there.
#[test]
fn cached_despite_queue() {
    let mut pool = Pool::new();
    let parts = prompt();
    let first = pool.choose(demand(&parts)).key;
    let other = (0..3).find(|i| pool.key(*i) != first).unwrap();
    let key = pool.key(other);
    pool.prefixes.record_use(key, ids(&parts), NOW, NOW);
    pool.loads[other].begin(footprint(9_000, 6), NOW);
    assert_eq!(pool.choose(demand(&parts)).key, pool.key(other));
}

#[test]
fn prompt_avoids_streams() {
    let mut pool = Pool::new();
    let parts = [part(1, 9_000)];
    for _ in 0..5 {
        pool.loads[0].begin(footprint(0, 100), NOW);
        pool.loads[1].begin(footprint(0, 100), NOW);
    }
    assert_eq!(pool.choose(demand(&parts)).key, pool.key(2));
}

/// Latency-sensitive streams and long prompts that arrive in turns are never placed on the same
/// endpoint while there is enough capacity to separate them.
#[test]
fn streams_kept_separate() {
    let mut pool = Pool::new();
    let long = [part(1, 9_000)];
    let short = [part(2, 500)];
    let urgent = Demand {
        band: 0,
        pause_sensitivity: 100,
        ..demand(&short)
    };
    let place = |pool: &mut Pool, demand: Demand<'_>| {
        let choice = pool.choose(demand);
        let i = (0..3).find(|i| pool.key(*i) == choice.key).unwrap();
        pool.loads[i].begin(choice.footprint, NOW);
        pool.loads[i].read(choice.footprint);
        i
    };
    let mut streams = [0; 3];
    let mut prompts = [0; 3];
    for _ in 0..12 {
        streams[place(&mut pool, urgent)] += 1;
        prompts[place(&mut pool, demand(&long))] += 1;
    }
    let both = (0..3).filter(|i| streams[*i] > 0 && prompts[*i] > 0);
    assert_eq!(both.count(), 0, "streams {streams:?}, prompts {prompts:?}");
}

#[test]
fn full_batch_avoided() {
    let mut pool = Pool::new();
    let parts = [part(1, 500)];
    for i in [0, 2] {
        pool.loads[i].begin(footprint(9_000, 0), NOW);
    }
    for _ in 0..70 {
        pool.loads[1].begin(footprint(0, 100), NOW);
    }
    let urgent = Demand {
        band: 0,
        pause_sensitivity: 100,
        ..demand(&parts)
    };
    assert_ne!(pool.choose(urgent).key, pool.key(1));
}

#[test]
fn failing_avoided() {
    let mut pool = Pool::new();
    for i in [0, 1] {
        pool.records[i].failed(NOW, Fault::Unreachable);
    }
    let choice = pool.choose(demand(&[part(1, 500)]));
    assert_eq!((choice.key, choice.grade), (pool.key(2), Grade::Good));
}

#[test]
fn all_failing_used() {
    let mut pool = Pool::new();
    for record in &mut pool.records {
        record.failed(NOW, Fault::Unreachable);
    }
    assert_eq!(pool.choose(demand(&[])).grade, Grade::Poor);
}

#[test]
fn own_zone_preferred() {
    let mut pool = Pool::new();
    for id in ["a", "b"] {
        let far = ListedEndpoint {
            zone: "hall-b".into(),
            ..listed(id, 2)
        };
        pool.directory.apply(Change::Put(far), NOW);
    }
    let plain = Demand {
        engine: None,
        pause_sensitivity: 0,
        ..demand(&[])
    };
    assert_eq!(pool.choose(plain).key, pool.key(2));
}

#[test]
fn endpoint_reports_waiting() {
    let mut pool = Pool::new();
    let report = EndpointReport {
        running: 6,
        waiting: 10,
        slots: 6,
        slowdown: None,
    };
    pool.loads[0].record_report(report, NOW);
    pool.loads[1].record_report(report, NOW);
    assert_eq!(pool.choose(demand(&[])).key, pool.key(2));
}

#[test]
fn memory_bounds_prompts() {
    let mut pool = Pool::new();
    let parts = prompt();
    let key = pool.key(0);
    pool.prefixes.record_use(key, ids(&parts), NOW, NOW);
    let held = Footprint {
        held: 280_000,
        ..footprint(0, 0)
    };
    pool.loads[0].begin(held, NOW);
    assert_ne!(pool.choose(demand(&parts)).key, key);
}

/// Prompts larger than the memory of any engine are estimated and counted like others; the counts
/// saturate.
#[test]
fn huge_prompts() {
    let mut pool = Pool::new();
    let parts: Vec<PromptSegment> = (0..2_000).map(|id| part(id, 1 << 24)).collect();
    for _ in 0..3 {
        let choice = pool.choose(demand(&parts));
        assert_eq!(choice.footprint.unread, u32::MAX);
        pool.loads[0].begin(choice.footprint, NOW);
    }
    assert_eq!(pool.loads[0].total(NOW).running, 3);
}

/// A delay far below the target costs less than delaying streams by prefill.
#[test]
fn slack_spares_streams() {
    let mut pool = Pool::new();
    let parts = [part(1, 4_000)];
    let stream = Footprint {
        band: 0,
        ..footprint(0, 100)
    };
    // More streams than the pool reserves endpoints for.
    for _ in 0..6 {
        pool.loads[0].begin(stream, NOW);
        pool.loads[2].begin(stream, NOW);
    }
    pool.loads[1].begin(footprint(12_000, 6), NOW);
    let target = |ms| Demand {
        target: Millis(ms),
        ..demand(&parts)
    };
    assert_eq!(pool.choose(target(5_000)).key, pool.key(1));
    assert_ne!(pool.choose(target(100)).key, pool.key(1));
}

/// Guards against choices in a mixed pool that differ although nothing has been learned yet.
#[test]
fn nominal_capacity_same_choice() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..500 {
        let mut pool = Pool::new();
        for load in &mut pool.loads {
            for _ in 0..rng.gen_range(0..30) {
                let work = footprint(rng.gen_range(0..9_000), [0, 6, 100][rng.gen_range(0..3)]);
                load.begin(work, NOW);
            }
        }
        let parts = prompt();
        let unlearned = Demand {
            pause_sensitivity: [0, 6, 100][rng.gen_range(0..3)],
            visibility_delay: Millis(rng.gen_range(0..400)),
            draw: rng.gen(),
            ..demand(&parts)
        };
        let nominal = Demand {
            capacity: Some(PoolCapacity::default()),
            ..unlearned
        };
        assert_eq!(pool.choose(unlearned), pool.choose(nominal));
    }
}
