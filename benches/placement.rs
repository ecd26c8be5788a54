//! Cost of choosing an endpoint against the size of its pool, up to the size of docs/CAPACITY.md.

use divan::{black_box, Bencher};
use violetline::clock::Millis;
use violetline::direct::catalog::{EngineCapacity, TransferSpec};
use violetline::direct::directory::{Change, Directory, ListedEndpoint};
use violetline::direct::known::health::HealthRecord;
use violetline::direct::known::load::EndpointLoad;
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::choose;
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::{PrefixMap, PromptSegment};
use violetline::direct::placement::room::RoomInputs;

const NOW: Millis = Millis(10_000);

fn main() {
    divan::main();
}

fn listed(n: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("i-{n}"),
        pool: "pool".into(),
        address: ([10, 0, 0, 1], 9_000).into(),
        zone: "zone".into(),
        slots: 64,
        draining: false,
        warming: Millis(0),
        born: None,
        software_version: String::new(),
        revision: 1.into(),
    }
}

/// Every third endpoint keeps the shared parts of the prompt.
#[divan::bench(args = [9, 55, 3_500])]
fn place_by_endpoints(bencher: Bencher<'_, '_>, count: usize) {
    let mut directory = Directory::default();
    for n in 0..count {
        directory.apply(Change::Put(listed(n)), Millis(0));
    }
    let mut prefixes = PrefixMap::default();
    for (key, _) in directory.iter().step_by(3) {
        prefixes.record_use(key, [1, 2].into_iter(), NOW, NOW);
    }
    let (load, record) = (EndpointLoad::default(), HealthRecord::default());
    let tokens = [2_500, 3_800, 2_900];
    let parts: Vec<PromptSegment> = (1..)
        .zip(tokens)
        .map(|(id, tokens)| PromptSegment { id, tokens })
        .collect();
    let demand = Demand {
        band: 1,
        parts: &parts,
        output_tokens: 50,
        target: Millis(600),
        zone: "zone",
        engine: Some(EngineCapacity {
            slots: 64,
            memory_tokens: 330_000,
            moves: Some(TransferSpec {
                token_bytes: 327_680,
                link_mbps: 740_000,
            }),
        }),
        pause_sensitivity: 44,
        pause: Millis(200),
        visibility_delay: Millis(75),
        room: RoomInputs::default(),
        draw: 1,
        capacity: None,
    };
    bencher.bench_local(|| {
        let candidates = directory.iter().map(|(key, endpoint)| Candidate {
            key,
            endpoint,
            load: &load,
            record: &record,
            is_warming: false,
            is_limited: false,
            relative_time: 1.0,
        });
        choose(black_box(demand), candidates, &prefixes, NOW)
    });
}
