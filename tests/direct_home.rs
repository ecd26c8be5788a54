//! Placement of prompts whose prefix no endpoint is known to have cached, and of streams under peak
//! load while entries don't see each other's choices. Load patterns are replayed against the choice
//! of endpoints alone.

mod common;

use std::collections::HashMap;

use common::listed;
use violetline::clock::Millis;
use violetline::direct::catalog::EngineCapacity;
use violetline::direct::directory::{Change, Directory, EndpointKey};
use violetline::direct::known::health::{Fault, HealthRecord};
use violetline::direct::known::load::{EndpointLoad, Footprint, LoadSource};
use violetline::direct::peers::PeerId;
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

/// One entry, with its knowledge of the endpoints of a pool.
struct Entry {
    directory: Directory,
    keys: Vec<EndpointKey>,
    loads: Vec<EndpointLoad>,
    records: Vec<HealthRecord>,
    prefixes: PrefixMap,
}

impl Entry {
    fn new(endpoints: usize) -> Self {
        let mut directory = Directory::default();
        let ids: Vec<String> = (0..endpoints).map(|i| format!("i-{i}")).collect();
        for id in &ids {
            directory.apply(Change::Put(listed(id, 1)), Millis(0));
        }
        Self {
            keys: ids.iter().filter_map(|id| directory.key(id)).collect(),
            directory,
            loads: (0..endpoints).map(|_| EndpointLoad::default()).collect(),
            records: vec![HealthRecord::default(); endpoints],
            prefixes: PrefixMap::default(),
        }
    }

    /// Position of the endpoint that is chosen at `now`; the request is added to its load.
    fn place(&mut self, demand: Demand<'_>, now: Millis) -> (usize, Choice) {
        let candidates = self.keys.iter().enumerate().map(|(i, key)| Candidate {
            key: *key,
            endpoint: self.directory.get(*key).unwrap(),
            load: &self.loads[i],
            record: &self.records[i],
            is_warming: false,
            is_limited: false,
            relative_time: 1.0,
        });
        let choice = choose(demand, candidates, &self.prefixes, now).unwrap();
        let i = self.keys.iter().position(|key| *key == choice.key).unwrap();
        self.loads[i].begin(choice.footprint, now);
        let ids = demand.parts.iter().map(|part| part.id);
        self.prefixes.record_use(choice.key, ids, now, now);
        (i, choice)
    }
}

/// A long prompt of a session: two shared segments, and one of its own.
fn prompt(session: u64, request: u64) -> [PromptSegment; 3] {
    let part = |id, tokens| PromptSegment { id, tokens };
    [
        part(1 + session % 4, 2_500),
        part(1_000 + session, 3_800),
        part(1_000_000 + request, 2_900),
    ]
}

fn long_prompt(parts: &[PromptSegment], draw: u64, visibility_delay: Millis) -> Demand<'_> {
    Demand {
        band: 2,
        parts,
        output_tokens: 60,
        target: Millis(1_500),
        zone: "hall-a",
        engine: Some(ENGINE),
        pause_sensitivity: 7,
        pause: Millis(400),
        visibility_delay,
        room: RoomInputs::default(),
        draw,
        capacity: None,
    }
}

fn urgent_stream(parts: &[PromptSegment], draw: u64, visibility_delay: Millis) -> Demand<'_> {
    Demand {
        band: 0,
        output_tokens: 280,
        target: Millis(400),
        pause_sensitivity: 100,
        ..long_prompt(parts, draw, visibility_delay)
    }
}

/// Entries without knowledge of each other send a session's prompts to the same endpoint, and
/// distribute sessions over all endpoints.
#[test]
fn entries_agree() {
    let mut homes = HashMap::new();
    for session in 0..600 {
        let parts = prompt(session, session);
        let place = |draw| {
            Entry::new(12)
                .place(long_prompt(&parts, draw, Millis(0)), NOW)
                .0
        };
        let home = place(session);
        assert_eq!(home, place(session + 9));
        *homes.entry(home).or_insert(0) += 1;
    }
    assert_eq!(homes.len(), 12);
    assert!(homes.values().all(|n| (25..=85).contains(n)), "{homes:?}");
}

/// If the home is ejected, all entries choose the same other endpoint.
#[test]
fn failing_home_avoided() {
    let parts = prompt(7, 1);
    let home = Entry::new(12)
        .place(long_prompt(&parts, 1, Millis(0)), NOW)
        .0;
    let place = |draw| {
        let mut entry = Entry::new(12);
        entry.records[home].failed(NOW, Fault::Unreachable);
        entry.place(long_prompt(&parts, draw, Millis(0)), NOW).0
    };
    assert_ne!(place(1), home);
    assert_eq!(place(1), place(2));
}

/// A busy home is avoided if a request would be late there.
#[test]
fn busy_home_avoided() {
    let parts = prompt(7, 1);
    let home = Entry::new(12)
        .place(long_prompt(&parts, 1, Millis(0)), NOW)
        .0;
    let mut entry = Entry::new(12);
    let queued = Footprint {
        band: 0,
        unread: 160_000,
        held: 100_000,
        pause_sensitivity: 0,
    };
    entry.loads[home].begin(queued, NOW);
    assert_ne!(entry.place(long_prompt(&parts, 1, Millis(0)), NOW).0, home);
}

/// Guards against repeated prefill at the start of a day with twice the usual load of long prompts:
/// 20 entries that hear nothing of each other's placements have each session's shared segments
/// prefilled at no more than 1.5 endpoints on average.
#[test]
fn cold_start() {
    let mut entries: Vec<Entry> = (0..20).map(|_| Entry::new(30)).collect();
    let mut read_at: HashMap<u64, Vec<usize>> = HashMap::new();
    for request in 0..2_400_u64 {
        let now = NOW + Millis(request * 5);
        let session = request * 7 % 120;
        let parts = prompt(session, request);
        let entry = &mut entries[(request / 120 % 20) as usize];
        let (i, choice) = entry.place(long_prompt(&parts, request, Millis(450)), now);
        let at = read_at.entry(session).or_default();
        if !at.contains(&i) {
            at.push(i);
        }
        // The engines keep up: each prompt is prefilled before the entry's next one.
        entry.loads[i].read(choice.footprint);
        entry.loads[i].end(choice.footprint);
    }
    let copies: usize = read_at.values().map(Vec::len).sum();
    let mean = copies as f64 / read_at.len() as f64;
    assert!(
        mean <= 1.5,
        "a session's parts are read at {mean} endpoints"
    );
}

/// Guards against filling a few idle endpoints: urgent streams arrive in a burst while all
/// endpoints but three are prefilling, and other entries' choices are visible only late. The three
/// must not be filled, since half of all slots suffices for the streams.
#[test]
fn burst_seen_late() {
    let (endpoints, streams) = (30, 900);
    let visibility_delay = Millis(450);
    let mut entries: Vec<Entry> = (0..20).map(|_| Entry::new(endpoints)).collect();
    for entry in &mut entries {
        for i in 3..endpoints {
            let reading = Footprint {
                band: 2,
                unread: 3_000,
                held: 9_000,
                pause_sensitivity: 7,
            };
            entry.loads[i].begin(reading, NOW);
            entry.loads[i].read(reading);
        }
    }
    exchange_loads(&mut entries, NOW);
    let mut streams_at = vec![0; endpoints];
    for n in 0..streams {
        let now = NOW + Millis(n * 3);
        let parts = [
            PromptSegment {
                id: 90_000 + n % 400,
                tokens: 170,
            },
            PromptSegment {
                id: 95_000 + n,
                tokens: 540,
            },
        ];
        let entry = &mut entries[(n * 7 % 20) as usize];
        let (i, _) = entry.place(urgent_stream(&parts, n, visibility_delay), now);
        streams_at[i] += 1;
        if n % 150 == 149 {
            exchange_loads(&mut entries, now);
        }
    }
    let on_idle_endpoints: i32 = streams_at[..3].iter().sum();
    assert!(on_idle_endpoints <= 110, "{streams_at:?}");
    assert!(streams_at.iter().all(|n| *n < 64), "{streams_at:?}");
}

/// Every entry reports its work to all others.
fn exchange_loads(entries: &mut [Entry], now: Millis) {
    for from in 0..entries.len() {
        let own: Vec<_> = entries[from]
            .loads
            .iter()
            .map(|load| load.own(now))
            .collect();
        let teller = LoadSource::Peer(PeerId(from as u64));
        for (to, entry) in entries.iter_mut().enumerate() {
            if to != from {
                for (load, work) in entry.loads.iter_mut().zip(&own) {
                    load.record_remote(teller, *work, Millis(60_000), now);
                }
            }
        }
    }
}
