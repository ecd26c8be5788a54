//! Where streams began: what is remembered, who keeps it, and what is concluded where nobody knows.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use common::{hello, listed};
use violetline::clock::Millis;
use violetline::direct::directory::{Change, Directory, ListedEndpoint};
use violetline::direct::origins::{
    Origin, OriginAnswer, OriginMessage, OriginRecords, PendingQuery, PoolDigest, PoolVersions,
    StreamKey,
};
use violetline::direct::peers::{
    encode_shared, GossipMessage, PeerId, PeerTable, SharedKind, ZoneId,
};

/// Longest life of a stream.
const LIFE: Millis = Millis(10_000);
/// Zones of a fleet, at most.
const MAX_ZONES: usize = 12;

fn pool() -> PoolDigest {
    PoolDigest::of("pool")
}

fn origin(version: &str) -> Origin {
    Origin::of("pool", version)
}

fn versions(versions: &[&str], known_for: u64) -> PoolVersions {
    PoolVersions {
        versions: versions.iter().map(|version| origin(version)).collect(),
        known_for: Millis(known_for),
    }
}

fn put(directory: &mut Directory, id: &str, version: &str, at: u64) {
    let listed = ListedEndpoint {
        software_version: version.into(),
        ..listed(id, at)
    };
    directory.apply(Change::Put(listed), Millis(at));
}

fn seen_since(directory: &Directory, at: u64) -> Vec<Origin> {
    let mut seen: Vec<Origin> = directory.software().since(pool(), Millis(at)).collect();
    seen.sort();
    seen
}

/// A version whose last endpoint has left may still have streams.
#[test]
fn left_version_remembered() {
    let mut directory = Directory::default();
    put(&mut directory, "a", "v1", 1);
    put(&mut directory, "b", "v2", 2);
    let removed = Change::Removed {
        id: "a".into(),
        revision: 3.into(),
    };
    directory.apply(removed, Millis(5_000));
    assert_eq!(seen_since(&directory, 4_000).len(), 2);
    assert_eq!(seen_since(&directory, 6_000), [origin("v2")]);
    assert!(directory.has_several_versions(Millis(4_000)));
    assert!(!directory.has_several_versions(Millis(6_000)));
}

/// What came and left between two listings is not seen, so nothing is concluded from the time before.
#[test]
fn listing_leaves_gap() {
    let mut directory = Directory::default();
    assert_eq!(directory.software().known_for(Millis(5)), None);
    directory.replace(vec![listed("a", 1)], 1.into(), Millis(1_000));
    put(&mut directory, "b", "v1", 2);
    let known_for = |directory: &Directory| directory.software().known_for(Millis(9_000));
    assert_eq!(known_for(&directory), Some(Millis(8_000)));
    directory.replace(vec![listed("a", 1)], 3.into(), Millis(7_000));
    assert_eq!(known_for(&directory), Some(Millis(2_000)));
}

#[test]
fn only_version_concluded() {
    assert_eq!(
        versions(&["v1"], LIFE.0).only_version(LIFE),
        Some(origin("v1"))
    );
    assert_eq!(versions(&["v1"], LIFE.0 - 1).only_version(LIFE), None);
    assert_eq!(versions(&["v1", "v2"], LIFE.0).only_version(LIFE), None);
    assert_eq!(versions(&[], LIFE.0).only_version(LIFE), None);
}

fn answer(origin: Option<Origin>, pools: PoolVersions) -> OriginAnswer {
    OriginAnswer {
        number: 1,
        origin,
        pools,
    }
}

fn peer(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 7_000).into()
}

/// One peer that knows another version is enough, and so is one that has known the only one for long.
#[test]
fn peers_knowledge_merged() {
    let mut pending = PendingQuery::new(vec![peer(1), peer(2)], &[pool()], versions(&["v1"], 0));
    pending.record(peer(1), &answer(None, versions(&["v1"], LIFE.0)));
    assert!(!pending.is_done());
    assert_eq!(pending.known.only_version(LIFE), Some(origin("v1")));
    pending.record(peer(2), &answer(None, versions(&["v2"], 0)));
    assert!(pending.is_done());
    assert_eq!(pending.known.only_version(LIFE), None);
}

/// An answer of a peer that was not asked, or twice, counts nothing; nor does the origin of a stream
/// in another pool.
#[test]
fn foreign_answers_ignored() {
    let mut pending = PendingQuery::new(vec![peer(1)], &[pool()], versions(&["v1"], 0));
    let forged = answer(Some(origin("v2")), PoolVersions::default());
    pending.record(peer(9), &forged);
    assert_eq!(pending.origin, None);
    let elsewhere = Origin::of("other", "v1");
    pending.record(peer(1), &answer(Some(elsewhere), PoolVersions::default()));
    pending.record(peer(1), &forged);
    assert!(pending.is_done());
    assert_eq!(pending.origin, None);
}

#[test]
fn records_end() {
    let mut records = OriginRecords::default();
    let stream = StreamKey::of("team", b"r1");
    assert_ne!(stream, StreamKey::of("tea", b"mr1"));
    records.record(stream, origin("v1"), Millis(100));
    records.record_untold(stream);
    assert_eq!(records.get(stream, Millis(99)), Some(origin("v1")));
    assert_eq!(records.get(stream, Millis(100)), None);
    assert_eq!(records.take_untold(8, Millis(99)), [(stream, origin("v1"))]);
    assert!(records.take_untold(8, Millis(99)).is_empty());
    records.expire(Millis(100));
    assert!(records.is_empty());
}

/// Peers are not told of streams that were delivered while there was a single version.
#[test]
fn delivered_not_told() {
    let mut records = OriginRecords::default();
    for i in 0..4 {
        records.record(StreamKey(i), origin("v1"), Millis(100));
        records.record_untold(StreamKey(i));
    }
    records.record_delivery(StreamKey(1));
    let told = records.take_untold(2, Millis(0));
    assert_eq!(told.len(), 2);
    assert!(told.iter().all(|(stream, _)| *stream != StreamKey(1)));
    assert_eq!(records.get(StreamKey(1), Millis(0)), Some(origin("v1")));
}

/// Records are bounded, whatever callers and peers send.
#[test]
fn records_bounded() {
    let mut records = OriginRecords::default();
    for i in 0..100_000 {
        records.record(StreamKey(i), origin("v1"), Millis(100));
        records.record_untold(StreamKey(i));
    }
    assert_eq!(records.len(), 1 << 15);
    assert_eq!(
        records.get(StreamKey(99_999), Millis(0)),
        Some(origin("v1"))
    );
}

/// The tables of a fleet whose entries have all heard each other, by address.
fn fleet(entries: usize) -> BTreeMap<SocketAddr, (Option<ZoneId>, PeerTable)> {
    let zones = MAX_ZONES.min(entries);
    let name = |i: usize| format!("zone-{}", i % zones);
    let address =
        |i: usize| -> SocketAddr { ([10, 0, (i / 200) as u8, (i % 200) as u8], 7_000).into() };
    let table = |i: usize| {
        let mut table = PeerTable::new(address(i), &[], 1);
        table.set_zone(&name(i));
        for other in (0..entries).filter(|other| *other != i) {
            let message = GossipMessage {
                zone: ZoneId::of(&name(other)),
                ..hello(other as u64, 1, None)
            };
            table.record_message(address(other), &message, Millis(0));
        }
        (address(i), (ZoneId::of(&name(i)), table))
    };
    (0..entries).map(table).collect()
}

/// Whoever looks for a record asks a peer that keeps it, whichever entry made it, also once that one's
/// whole zone is gone; in fleets of every size, and asking few.
#[test]
fn keepers_found() {
    for entries in [2, 3, 30, 100, 450] {
        let fleet = fleet(entries);
        let all: Vec<&SocketAddr> = fleet.keys().collect();
        for key in 0..40_u64 {
            let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let maker = *all[key as usize % entries];
            let (zone, table) = &fleet[&maker];
            let keepers = table.keepers(key, Millis(100));
            assert_eq!(keepers.len(), 2.min(entries - 1), "{entries}");
            for (address, (asks_from, table)) in fleet.iter().filter(|(a, _)| **a != maker) {
                let asked = table.possible_keepers(key, Millis(100));
                assert!(asked.len() <= 2 * MAX_ZONES, "{entries}: {}", asked.len());
                let is_known = |keeper: &SocketAddr| keeper == address || asked.contains(keeper);
                assert!(keepers.iter().all(is_known), "{entries} {key}");
                // A keeper outlives the zone where there are several.
                let is_outside = |keeper: &&SocketAddr| fleet[*keeper].0 != *zone;
                let outside = keepers.iter().filter(is_outside).count();
                assert!(outside > 0 || entries == 1, "{entries} {asks_from:?}");
            }
        }
    }
}

/// A fleet of one zone has both keepers there.
#[test]
fn only_zone_keeps() {
    let mut tables = BTreeMap::new();
    for i in 1..=5 {
        let mut table = PeerTable::new(peer(i), &[], 1);
        for other in (1..=5).filter(|other| *other != i) {
            table.record_message(peer(other), &hello(u64::from(other), 1, None), Millis(0));
        }
        tables.insert(peer(i), table);
    }
    for (maker, table) in &tables {
        let keepers = table.keepers(7, Millis(100));
        assert_eq!(keepers.len(), 2);
        for (address, table) in tables.iter().filter(|(a, _)| *a != maker) {
            let asked = table.possible_keepers(7, Millis(100));
            let is_known = |keeper: &SocketAddr| keeper == address || asked.contains(keeper);
            assert!(keepers.iter().all(is_known));
        }
    }
}

/// What is told of a stream at its first event: two datagrams of at most 64 bytes with their headers.
/// An entry of 450 begins 41 streams a second of 31,000 requests, three fifths of them streams.
#[test]
fn told_in_few_bytes() {
    let told = OriginMessage::Began(vec![(StreamKey(u64::MAX), origin("v1"))]);
    let bytes = encode_shared(SharedKind::Origins, PeerId(u64::MAX), &told).unwrap();
    let ip_and_udp = 28;
    assert!(bytes.len() + ip_and_udp <= 64, "{}", bytes.len());
    let per_second = 2 * 41 * (bytes.len() + ip_and_udp);
    assert!(per_second <= (28 << 10) / 4, "{per_second} bytes a second");
}
