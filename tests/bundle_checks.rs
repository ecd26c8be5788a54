//! Validation of bundles and settings: every fault with its place, all of them together.

use serde_json::{json, Value};
use violetline::bundle::{Bundle, MAX_BUNDLE_BYTES};
use violetline::seal::{self, SealError, Trust};
use violetline::settings::{self, EntrySettings, SidecarSettings};

const KERERU: &str = include_str!("../bundles/kereru.json");
const PAMPA: &str = include_str!("../bundles/pampa.json");

fn places(text: &str) -> Vec<String> {
    let findings = Bundle::parse(text.as_bytes()).unwrap_err();
    findings
        .0
        .into_iter()
        .map(|finding| finding.place)
        .collect()
}

fn changed(path: &str, value: Value) -> String {
    let mut bundle: Value = serde_json::from_str(KERERU).unwrap();
    let (parent, field) = path.rsplit_once('/').unwrap();
    let parent = bundle.pointer_mut(parent).expect("a path of the bundle");
    match field.parse::<usize>() {
        Ok(at) => parent[at] = value,
        Err(_) => parent[field] = value,
    }
    bundle.to_string()
}

#[test]
fn examples_pass() {
    for text in [KERERU, PAMPA] {
        Bundle::parse(text.as_bytes()).unwrap();
    }
}

#[test]
fn single_faults() {
    let cases = [
        ("/version", json!(0), "version"),
        ("/classes/0/name", json!("no spaces"), "classes[0].name"),
        ("/classes/1/name", json!("lookup"), "classes[1].name"),
        (
            "/classes/0/preemptible",
            json!(true),
            "classes[0].preemptible",
        ),
        ("/classes/1/floor_percent", json!(90), "classes"),
        (
            "/classes/1/first_token_ms",
            json!(0),
            "classes[1].first_token_ms",
        ),
        (
            "/teams/0/classes/1",
            json!("nothing"),
            "teams[0].classes[1]",
        ),
        (
            "/teams/0/key_hashes/0",
            json!("abc"),
            "teams[0].key_hashes[0]",
        ),
        ("/teams/2/tokens_per_s", json!(-1), "teams[2].tokens_per_s"),
        ("/teams/1/weight", json!(0), "teams[1].weight"),
        ("/pools/0/places", json!(0), "pools[0].places"),
        (
            "/pools/0/reserved_slots",
            json!(8),
            "pools[0].reserved_slots",
        ),
        ("/pools/0/models", json!([]), "pools[0].models"),
        ("/pools/1/models", json!(["m"]), "pools[1].models"),
    ];
    for (path, value, place) in cases {
        let found = places(&changed(path, value));
        assert!(found.contains(&place.to_owned()), "{path}: {found:?}");
    }
}

#[test]
fn faults_together() {
    let mut bundle: Value = serde_json::from_str(KERERU).unwrap();
    bundle["version"] = json!(0);
    bundle["pools"][1]["slots"] = json!(0);
    bundle["limits"] = json!({ "grant_ms": 1, "max_attempts": 99 });
    let found = places(&bundle.to_string());
    for place in [
        "version",
        "pools[1].slots",
        "limits.grant_ms",
        "limits.max_attempts",
    ] {
        assert!(
            found.contains(&place.to_owned()),
            "{place} is not in {found:?}"
        );
    }
}

#[test]
fn unknown_field() {
    let mut bundle: Value = serde_json::from_str(KERERU).unwrap();
    bundle["surprise"] = json!(1);
    let findings = Bundle::parse(bundle.to_string().as_bytes()).unwrap_err();
    assert!(findings.to_string().contains("surprise"));
}

#[test]
fn half_written() {
    let half = &KERERU[..KERERU.len() / 2];
    assert!(places(half)[0].starts_with("line "));
    assert_eq!(places(&" ".repeat(MAX_BUNDLE_BYTES + 1)), ["bundle"]);
}

#[test]
fn any_text() {
    arbtest::arbtest(|u| {
        let mut text = KERERU.as_bytes().to_vec();
        for _ in 0..u.int_in_range(1..=8)? {
            let at = u.choose_index(text.len())?;
            text[at] = u.arbitrary()?;
        }
        let _ = Bundle::parse(&text);
        Ok(())
    });
}

#[test]
fn genuine_only() {
    let (secret, public) = seal::key_pair();
    let (other, _) = seal::key_pair();
    let trust = Trust::parse(&[public]).unwrap();
    let open = |sealed: &seal::Sealed| trust.open(&serde_json::to_vec(sealed).unwrap());
    let sealed = seal::sign(KERERU, &secret).unwrap();
    assert_eq!(open(&sealed).unwrap().stamp.version, 1);
    let forged = seal::sign(KERERU, &other).unwrap();
    assert_eq!(open(&forged).unwrap_err(), SealError::NotGenuine);
    let mut altered = sealed;
    altered.payload = altered.payload.replace("\"version\": 1", "\"version\": 9");
    assert_eq!(open(&altered).unwrap_err(), SealError::NotGenuine);
    assert_eq!(trust.open(b"{").unwrap_err(), SealError::Malformed);
}

fn node() -> Value {
    json!({
        "id": "i-1", "region": "akl", "zone": "hall-a",
        "listen": "127.0.0.1:4000", "admin": "127.0.0.1:4001",
        "bundle_url": "http://127.0.0.1:1/bundle", "members_url": "http://127.0.0.1:1/members",
        "trusted_keys": [seal::key_pair().1],
    })
}

#[test]
fn process_settings() {
    let entry = json!({ "node": node(), "callers": "127.0.0.1:8080" });
    settings::parse::<EntrySettings>(entry.to_string().as_bytes()).unwrap();
    let mut bad = json!({
        "node": node(), "pool": "", "ordinal": 0, "endpoint": "http://engine.example/",
    });
    bad["node"]["admin"] = json!("127.0.0.1:4000");
    bad["node"]["trusted_keys"] = json!(["xyz"]);
    let findings = settings::parse::<SidecarSettings>(bad.to_string().as_bytes()).unwrap_err();
    let found: Vec<&str> = findings
        .0
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    assert_eq!(
        found,
        ["node.admin", "node.trusted_keys[0]", "pool", "endpoint"]
    );
}
