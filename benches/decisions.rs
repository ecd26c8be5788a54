//! Cost of each decision against the size of its state, up to the size of docs/CAPACITY.md.

use std::net::SocketAddr;

use divan::{black_box, Bencher};
use rand::SeedableRng;
use serde_json::{json, Value};
use uuid::Uuid;
use violetline::bundle::{hash_key, Bundle, Policy, Team};
use violetline::clock::Millis;
use violetline::document::{DocumentKind, Stamp, Versions};
use violetline::ids::{ClassKey, RequestId};
use violetline::keys::{home, KeyMemory};
use violetline::limit::Limiter;
use violetline::members::{Instance, LifeState, Members, Role};
use violetline::overlay;
use violetline::route::{Locality, Router, Routing};
use violetline::schedule::{ClassSpec, Order, Scheduler, SchedulerParams, SlotRequest, TicketKey};
use violetline::seal::{self, Trust};
use violetline::settings::NodeSettings;
use violetline::wire::Load;

fn main() {
    divan::main();
}

fn shape(queue: u32) -> SchedulerParams {
    let class = |name: &str, priority, floor_percent| ClassSpec {
        name: name.into(),
        priority,
        floor_percent,
        preemptible: priority > 1,
    };
    SchedulerParams {
        slots: 8,
        reserved: 1,
        grant: Millis(1_000_000_000),
        max_preemptions: 0,
        queue_per_class: queue,
        classes: vec![
            class("a", 0, 0),
            class("b", 1, 5),
            class("c", 2, 5),
            class("d", 3, 5),
            class("e", 4, 5),
        ],
    }
}

fn ask(n: u64) -> SlotRequest {
    SlotRequest {
        request: RequestId(u128::from(n)),
        class: ClassKey((n % 5) as usize),
        team: format!("team-{}", n % 50),
        weight: 1,
        est_tokens: 100,
        max_wait: Millis(1_000_000_000),
        preemptible: true,
    }
}

fn queue_of(len: u64) -> (Scheduler, TicketKey) {
    let mut scheduler = Scheduler::new(Order::Floors, shape(1_000_000));
    let first = scheduler.offer(Millis(0), ask(0));
    for n in 1..len + 8 {
        scheduler.offer(Millis(0), ask(n));
    }
    scheduler.take_actions();
    (scheduler, first)
}

/// One offer, and one finish that grants the next: the work for one request.
#[divan::bench(args = [10, 100, 1_000, 10_000])]
fn grant_by_queue(bencher: Bencher<'_, '_>, len: u64) {
    let (mut scheduler, mut held) = queue_of(len);
    let mut n = len + 8;
    bencher.bench_local(|| {
        n += 1;
        scheduler.offer(Millis(n), ask(n));
        scheduler.finish(Millis(n), held, 100);
        for action in scheduler.take_actions() {
            if let violetline::schedule::Action::Grant { ticket, .. } = action {
                let _ = scheduler.start(Millis(n), ticket);
                held = ticket;
            }
        }
    });
}

/// One tick with nothing due; a sidecar makes a hundred a second.
#[divan::bench(args = [10, 100, 1_000, 10_000])]
fn tick_by_queue(bencher: Bencher<'_, '_>, len: u64) {
    let (mut scheduler, _) = queue_of(len);
    let mut n = 0;
    bencher.bench_local(|| {
        n += 1;
        scheduler.tick(Millis(n));
    });
}

fn instances(count: usize) -> Vec<Instance> {
    let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
    (0..count)
        .map(|n| Instance {
            id: format!("endpoint-{n}"),
            role: Role::Sidecar,
            addr,
            zone: format!("zone-{}", n % 12),
            region: format!("region-{}", n % 4),
            state: LifeState::Live,
            pool: format!("pool-{}", n % 21),
            ordinal: n as u32,
            software_version: String::new(),
        })
        .collect()
}

#[divan::bench(args = [9, 170, 1_000, 3_500])]
fn route_by_endpoints(bencher: Bencher<'_, '_>, count: usize) {
    let instances = instances(count);
    let candidates: Vec<&Instance> = instances.iter().collect();
    let place = Locality {
        zone: "zone-1".into(),
        region: "region-1".into(),
    };
    let mut router = Router::new(Routing::TwoChoices, place, 1);
    let load = Load {
        slots: 8,
        running: 4,
        waiting: 0,
        service_ms: 900,
    };
    for instance in &instances {
        router.record_load(Millis(1), &instance.id, load);
    }
    bencher.bench_local(|| {
        let chosen = router
            .choose(Millis(2), black_box(&candidates), &[], 77)
            .unwrap();
        black_box(chosen.ordinal)
    });
}

#[divan::bench(args = [9, 170, 3_500])]
fn key_home_by_places(bencher: Bencher<'_, '_>, places: u32) {
    let key = Uuid::now_v7();
    bencher.bench_local(|| home(black_box(key), places));
}

#[divan::bench(args = [1_000, 10_000, 100_000])]
fn key_by_held(bencher: Bencher<'_, '_>, held: usize) {
    let mut memory = KeyMemory::new(Millis(0), Millis(0));
    let wall = Millis(u64::MAX / 4);
    for _ in 0..held {
        memory.begin(Uuid::now_v7(), wall, Millis(0));
    }
    bencher.bench_local(|| {
        let key = Uuid::now_v7();
        let verdict = memory.begin(key, wall, Millis(0));
        memory.release(key);
        verdict
    });
}

fn team(n: usize) -> Team {
    Team {
        name: format!("team-{n}"),
        key_hashes: vec![hash_key(&format!("key-{n}"))],
        classes: vec!["a".into()],
        requests_per_s: 1e9,
        tokens_per_s: 1e12,
        weight: 1,
    }
}

#[divan::bench(args = [10, 100, 800])]
fn limit_by_teams(bencher: Bencher<'_, '_>, teams: usize) {
    let teams: Vec<Team> = (0..teams).map(team).collect();
    let mut limiter = Limiter::default();
    let mut n = 0;
    bencher.bench_local(|| {
        n += 1;
        let team = &teams[n % teams.len()];
        let estimate = limiter.admit(Millis(n as u64), team, 0.01, 100).unwrap();
        limiter.settle(&team.name, estimate, 100, Some(300));
    });
}

/// A bundle with the given count of teams and 21 pools.
fn bundle(teams: usize, version: u64) -> String {
    let teams: Vec<Value> = (0..teams)
        .map(|n| serde_json::to_value(team(n)).unwrap())
        .collect();
    let pools: Vec<Value> = (0..21)
        .map(|n| {
            json!({
                "name": format!("pool-{n}"), "kind": "model", "models": [format!("model-{n}")],
                "places": 167, "slots": 8, "reserved_slots": 1,
            })
        })
        .collect();
    let classes = json!([
        { "name": "a", "priority": 0, "first_token_ms": 1700, "max_wait_ms": 1700 },
    ]);
    json!({ "version": version, "classes": classes, "teams": teams, "pools": pools }).to_string()
}

#[divan::bench(args = [50, 200, 800])]
fn bundle_accepted_by_teams(bencher: Bencher<'_, '_>, teams: usize) {
    let (secret, public) = seal::key_pair();
    let trust = Trust::parse(&[public]).unwrap();
    let sealed = seal::sign(&bundle(teams, 1), &secret).unwrap();
    let text = serde_json::to_vec(&sealed).unwrap();
    bencher.bench_local(|| {
        let opened = trust.open(&text).unwrap();
        Policy::new(Bundle::parse(opened.sealed.payload.as_bytes()).unwrap())
    });
}

fn holders(teams: usize) -> (Versions, Versions, usize) {
    let (old, new) = (
        bundle(teams, 1),
        bundle(teams, 2).replacen("1000000000.0", "2000000000.0", 1),
    );
    let (mut sender, mut receiver) = (Versions::default(), Versions::default());
    for versions in [&mut sender, &mut receiver] {
        versions.put(Stamp::new(1, old.as_bytes()), old.as_bytes());
    }
    sender.put(Stamp::new(2, new.as_bytes()), new.as_bytes());
    (sender, receiver, new.len())
}

#[divan::bench(args = [50, 200, 800])]
fn difference_by_teams(bencher: Bencher<'_, '_>, teams: usize) {
    let (sender, receiver, whole) = holders(teams);
    let update = sender
        .update(DocumentKind::Bundle, receiver.stamp())
        .unwrap();
    let alone = sender
        .update(DocumentKind::Bundle, Stamp::default())
        .unwrap();
    eprintln!(
        "teams {teams}: bundle {whole} B, whole update {} B, difference {} B",
        alone.data.len(),
        update.data.len()
    );
    bencher.bench_local(|| {
        let update = sender
            .update(DocumentKind::Bundle, receiver.stamp())
            .unwrap();
        receiver.unpack(&update).unwrap().len()
    });
}

#[divan::bench(args = [100, 1_000, 4_000])]
fn members_parsed(bencher: Bencher<'_, '_>, count: usize) {
    let members = Members::new(1, instances(count));
    let text = serde_json::to_vec(&members).unwrap();
    eprintln!("instances {count}: list {} B", text.len());
    bencher.bench_local(|| Members::parse(&text).unwrap().instances.len());
}

#[divan::bench(args = [100, 1_000, 4_000])]
fn partners_by_members(bencher: Bencher<'_, '_>, count: usize) {
    let members = Members::new(1, instances(count));
    let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let node = NodeSettings {
        id: "endpoint-1".into(),
        region: "region-1".into(),
        zone: "zone-1".into(),
        listen: addr,
        admin: addr,
        bundle_url: String::new(),
        members_url: String::new(),
        trusted_keys: Vec::new(),
        seeds: Vec::new(),
    };
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    bencher.bench_local(|| overlay::partners(&node, &members, &[], &mut rng).len());
}
