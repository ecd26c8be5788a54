//! Choice of endpoints by load, back-off and cached prefix, within a bounded subset of the pool.

use std::collections::{HashMap, HashSet};

use violetline::clock::Millis;
use violetline::members::{Instance, LifeState, Role};
use violetline::route::{subset, Locality, Router, Routing, SUBSET_SIZE};
use violetline::wire::Load;

const NOW: Millis = Millis(1_000);

fn locality() -> Locality {
    Locality {
        zone: "zone-0".into(),
        region: "region-0".into(),
    }
}

fn instances(count: u32, regions: u32) -> Vec<Instance> {
    let instance = |n: u32| Instance {
        id: format!("e{n}"),
        role: Role::Sidecar,
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: format!("zone-{}", n % 3),
        region: format!("region-{}", n % regions),
        state: LifeState::Live,
        pool: "p".into(),
        ordinal: n,
        software_version: String::new(),
    };
    (0..count).map(instance).collect()
}

fn load(running: u32, service_ms: u32) -> Load {
    Load {
        slots: 8,
        running,
        waiting: 0,
        service_ms,
    }
}

fn choice_counts(router: &mut Router, all: &[&Instance], prefix: u64) -> HashMap<String, usize> {
    let mut choice_counts = HashMap::new();
    for _ in 0..600 {
        let chosen = router.choose(NOW, all, &[], prefix).unwrap();
        *choice_counts.entry(chosen.id.clone()).or_default() += 1;
    }
    choice_counts
}

#[test]
fn busy_endpoint_avoided() {
    let list = instances(6, 1);
    let all: Vec<&Instance> = list.iter().collect();
    let mut router = Router::new(Routing::TwoChoices, locality(), 1);
    for instance in &list {
        router.record_load(
            NOW,
            &instance.id,
            load(if instance.id == "e3" { 30 } else { 2 }, 100),
        );
    }
    let chosen_counts = choice_counts(&mut router, &all, 0);
    assert!(
        chosen_counts.get("e3").copied().unwrap_or_default() < 40,
        "{chosen_counts:?}"
    );
}

#[test]
fn slow_endpoint_avoided() {
    let list = instances(6, 1);
    let all: Vec<&Instance> = list.iter().collect();
    let mut router = Router::new(Routing::TwoChoices, locality(), 1);
    for instance in &list {
        let service = if instance.id == "e3" { 1_000 } else { 100 };
        router.record_load(NOW, &instance.id, load(2, service));
    }
    let chosen_counts = choice_counts(&mut router, &all, 0);
    assert!(
        chosen_counts.get("e3").copied().unwrap_or_default() < 40,
        "{chosen_counts:?}"
    );
}

#[test]
fn failed_endpoint_avoided() {
    let list = instances(3, 1);
    let all: Vec<&Instance> = list.iter().collect();
    let mut router = Router::new(Routing::TwoChoices, locality(), 1);
    router.record_failure(NOW, "e1");
    assert!(!choice_counts(&mut router, &all, 0).contains_key("e1"));
    for id in ["e0", "e2"] {
        router.record_failure(NOW, id);
    }
    assert_eq!(
        choice_counts(&mut router, &all, 0).len(),
        3,
        "when all endpoints back off, all are still used"
    );
    let tried: Vec<String> = list.iter().map(|i| i.id.clone()).collect();
    assert!(router.choose(NOW, &all, &tried, 0).is_none());
}

#[test]
fn prefix_keeps_endpoint() {
    let list = instances(9, 1);
    let all: Vec<&Instance> = list.iter().collect();
    let mut router = Router::new(Routing::TwoChoices, locality(), 1);
    for instance in &list {
        router.record_load(NOW, &instance.id, load(1, 1_000));
    }
    let chosen_counts = choice_counts(&mut router, &all, 77);
    let most = chosen_counts
        .iter()
        .max_by_key(|(_, n)| **n)
        .unwrap()
        .0
        .clone();
    assert!(
        chosen_counts[&most] > 500,
        "one endpoint gets the requests with the prefix: {chosen_counts:?}"
    );
    router.record_load(NOW, &most, load(30, 1_000));
    let counts_under_load = choice_counts(&mut router, &all, 77);
    assert!(
        counts_under_load.get(&most).copied().unwrap_or_default() < 100,
        "a busy endpoint does not get them: {counts_under_load:?}"
    );
}

#[test]
fn bounded_even_subset() {
    let list = instances(400, 4);
    let all: Vec<&Instance> = list.iter().collect();
    let mut uses: HashMap<String, usize> = HashMap::new();
    for entry in 0..300 {
        let chosen = subset(&all, &locality(), entry * 7_919);
        assert_eq!(chosen.len(), SUBSET_SIZE);
        assert!(
            chosen.iter().all(|i| i.region == "region-0"),
            "the entry's own region has enough endpoints"
        );
        for instance in chosen {
            *uses.entry(instance.id.clone()).or_default() += 1;
        }
    }
    assert_eq!(
        uses.len(),
        100,
        "every endpoint of the region is in some subset"
    );
    let most = uses.values().max().unwrap();
    assert!(
        *most < 130,
        "no endpoint is in far more than the average of 72 subsets: {most}"
    );
}

#[test]
fn retries_cover_pool() {
    let list = instances(200, 1);
    let all: Vec<&Instance> = list.iter().collect();
    let mut router = Router::new(Routing::TwoChoices, locality(), 1);
    let mut tried: Vec<String> = Vec::new();
    let mut seen = HashSet::new();
    for _ in 0..150 {
        let chosen = router.choose(NOW, &all, &tried, 0).unwrap();
        seen.insert(chosen.id.clone());
        tried.push(chosen.id.clone());
    }
    assert_eq!(
        seen.len(),
        150,
        "every try reaches another endpoint, also outside the subset"
    );
}
