//! Validation of a bundle: references, ranges and doubles, all findings together.

use std::collections::HashSet;

use crate::bundle::{Bundle, Class, Limits, Pool, PoolKind, Team};
use crate::finding::Findings;

/// Longest name of a class, team, pool or model, in bytes.
pub const MAX_NAME: usize = 64;
/// Floors of all classes together, in percent; the rest goes by urgency.
pub const MAX_FLOOR_SUM: u32 = 50;
/// Length of a BLAKE3 hash in hex.
const HASH_HEX: usize = 64;

/// Checks a parsed bundle and adds what it finds.
pub fn bundle(bundle: &Bundle, findings: &mut Findings) {
    findings.require(bundle.version > 0, "version", "must be 1 or more");
    classes(&bundle.classes, findings);
    teams(bundle, findings);
    pools(&bundle.pools, findings);
    limits(&bundle.limits, findings);
}

fn classes(classes: &[Class], findings: &mut Findings) {
    findings.require(
        !classes.is_empty(),
        "classes",
        "at least one class is needed",
    );
    names(classes.iter().map(|c| c.name.as_str()), "classes", findings);
    for (i, class) in classes.iter().enumerate() {
        let at = |field: &str| format!("classes[{i}].{field}");
        findings.require(
            class.first_token_ms > 0,
            at("first_token_ms"),
            "must be above 0",
        );
        findings.require(class.max_wait_ms > 0, at("max_wait_ms"), "must be above 0");
        let urgent = class.priority == 0;
        let message = "a class of priority 0 can't be preemptible";
        findings.require(!(urgent && class.preemptible), at("preemptible"), message);
    }
    let sum: u32 = classes.iter().map(|c| u32::from(c.floor_percent)).sum();
    if sum > MAX_FLOOR_SUM {
        findings.add(
            "classes",
            format!("floors add up to {sum}%, at most {MAX_FLOOR_SUM}%"),
        );
    }
}

fn teams(bundle: &Bundle, findings: &mut Findings) {
    names(
        bundle.teams.iter().map(|t| t.name.as_str()),
        "teams",
        findings,
    );
    let known: HashSet<&str> = bundle.classes.iter().map(|c| c.name.as_str()).collect();
    let mut hashes = HashSet::new();
    for (i, team) in bundle.teams.iter().enumerate() {
        one_team(i, team, &known, findings);
        for (j, hash) in team.key_hashes.iter().enumerate() {
            let place = format!("teams[{i}].key_hashes[{j}]");
            let well_formed = hash.len() == HASH_HEX
                && hash
                    .bytes()
                    .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
            findings.require(
                well_formed,
                place.clone(),
                "must be 64 lower-case hex digits",
            );
            findings.require(hashes.insert(hash.as_str()), place, "stands twice");
        }
    }
}

fn one_team(i: usize, team: &Team, known: &HashSet<&str>, findings: &mut Findings) {
    let at = |field: &str| format!("teams[{i}].{field}");
    findings.require(
        !team.classes.is_empty(),
        at("classes"),
        "at least one class is needed",
    );
    for (j, class) in team.classes.iter().enumerate() {
        if !known.contains(class.as_str()) {
            findings.add(
                format!("teams[{i}].classes[{j}]"),
                format!("unknown class {class:?}"),
            );
        }
    }
    findings.require(team.weight > 0, at("weight"), "must be 1 or more");
    for (field, value) in [
        ("requests_per_s", team.requests_per_s),
        ("tokens_per_s", team.tokens_per_s),
    ] {
        let ok = value.is_finite() && value >= 0.0;
        findings.require(ok, at(field), "must be 0 or more");
    }
}

fn pools(pools: &[Pool], findings: &mut Findings) {
    findings.require(!pools.is_empty(), "pools", "at least one pool is needed");
    names(pools.iter().map(|p| p.name.as_str()), "pools", findings);
    let mut models = HashSet::new();
    for (i, pool) in pools.iter().enumerate() {
        let at = |field: &str| format!("pools[{i}].{field}");
        findings.require(pool.places > 0, at("places"), "must be 1 or more");
        findings.require(pool.slots > 0, at("slots"), "must be 1 or more");
        let message = "must be below slots";
        findings.require(
            pool.reserved_slots < pool.slots,
            at("reserved_slots"),
            message,
        );
        findings.require(pool.stall_ms > 0, at("stall_ms"), "must be above 0");
        let fits = (pool.kind == PoolKind::Model) != pool.models.is_empty();
        findings.require(
            fits,
            at("models"),
            "a model pool names its models, a plain one has none",
        );
        for (j, model) in pool.models.iter().enumerate() {
            let place = format!("pools[{i}].models[{j}]");
            findings.require(models.insert(model.as_str()), place, "stands twice");
        }
    }
}

fn limits(limits: &Limits, findings: &mut Findings) {
    let ranges = [
        ("max_body_bytes", limits.max_body_bytes, 1_024, 1 << 20),
        ("max_attempts", u64::from(limits.max_attempts), 1, 16),
        ("retry_percent", u64::from(limits.retry_percent), 0, 100),
        ("max_preemptions", u64::from(limits.max_preemptions), 0, 100),
        ("grant_ms", limits.grant_ms, 10, 60_000),
        ("key_memory_s", limits.key_memory_s, 1, 86_400),
        ("clock_skew_ms", limits.clock_skew_ms, 0, 60_000),
        (
            "queue_per_class",
            u64::from(limits.queue_per_class),
            1,
            100_000,
        ),
    ];
    for (field, value, low, high) in ranges {
        if !(low..=high).contains(&value) {
            findings.add(
                format!("limits.{field}"),
                format!("{value} is not in {low}..={high}"),
            );
        }
    }
}

fn names<'a>(names: impl Iterator<Item = &'a str>, list: &str, findings: &mut Findings) {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        let place = format!("{list}[{i}].name");
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let ok = !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(allowed);
        findings.require(
            ok,
            place.clone(),
            "must be 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'",
        );
        findings.require(seen.insert(name), place, "stands twice");
    }
}
