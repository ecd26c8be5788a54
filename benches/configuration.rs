//! Cost of a large configuration: looking up a request's route, and taking a small change.

use divan::{black_box, Bencher};
use violetline::clock::Millis;
use violetline::direct::catalog::{
    CallerLimits, Catalog, PoolShare, RepeatPolicy, ResponseKind, Route, Team, Teams,
};
use violetline::direct::patch::Patch;
use violetline::direct::versions;

/// Routes: today's fleets, after some growth, and what the design allows for.
const ROUTES: [usize; 3] = [50, 4_200, 10_000];

fn main() {
    divan::main();
}

fn route(i: usize) -> Route {
    Route {
        name: format!("r-{i}"),
        host: "host.example".into(),
        prefix: format!("/p{i:08x}/"),
        repeat: RepeatPolicy::Once,
        shape: ResponseKind::Events {
            resumable: false,
            pause: Millis(250),
        },
        timeout: Millis(1_000),
        target: Millis(100),
        priority: 2,
        shares: vec![PoolShare {
            pool: "pool".into(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
        regions: Vec::new(),
    }
}

fn catalog(version: u64, routes: usize) -> Catalog {
    let routes = (0..routes).map(route).collect();
    let team = |i| Team {
        name: format!("team-{i}"),
        keys: vec![format!("key-{i}-{version}")],
        priority: None,
        regions: Vec::new(),
    };
    let teams = (0..24).map(team).collect();
    let teams = Teams::Listed(teams);
    Catalog::new(version, routes, Vec::new(), teams, CallerLimits::default())
}

#[divan::bench(args = ROUTES)]
fn look_up(bencher: Bencher<'_, '_>, routes: usize) {
    let catalog = catalog(1, routes);
    bencher.bench_local(|| {
        let key = catalog.route("host.example", black_box("/p00000031/a/b"));
        (key, catalog.shortest_pause("pool"))
    });
}

#[divan::bench(args = ROUTES)]
fn make_patch(bencher: Bencher<'_, '_>, routes: usize) {
    let (old, new) = (catalog(1, routes), catalog(2, routes));
    bencher.bench_local(|| {
        Patch::between(&old, &new).and_then(|patch| versions::encode_compressed(&patch))
    });
}

#[divan::bench(args = ROUTES)]
fn take_patch(bencher: Bencher<'_, '_>, routes: usize) {
    let (old, new) = (catalog(1, routes), catalog(2, routes));
    let patches = [Patch::between(&old, &new).expect("names differ")];
    bencher.bench_local(|| Patch::apply_all(&patches, &old));
}
