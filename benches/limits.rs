//! What limits of endpoints cost an entry of the largest fleet: who decides for an endpoint, a question and its answer.

use violetline::announced::AnnouncedLimit;
use violetline::clock::Millis;
use violetline::direct::limits::{self, Limits, Message, Target};
use violetline::direct::peers::{Coordinator, GossipMessage, PeerId, PeerTable, WorkScope, ZoneId};
use violetline::rate::Rate;

const NOW: Millis = Millis(5_000);
const TARGET: Target = Target {
    endpoint: 7,
    zone: None,
};

fn main() {
    divan::main();
}

/// The book of one of 450 entries in twelve zones that hear each other.
fn book() -> PeerTable {
    let address = |i: usize| ([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000).into();
    let mut book = PeerTable::new(address(0), &[], 1);
    book.set_zone("zone-0");
    for peer in 1..450 {
        let hello = GossipMessage {
            from: PeerId(peer as u64),
            number: 1,
            echo: None,
            version: 1,
            proof_age_ms: Some(0),
            revision: 0.into(),
            changes_after: 0.into(),
            catalog_revision: 0.into(),
            leaving: false,
            watches: false,
            reads_large: false,
            link_mbps: 0,
            zone: ZoneId::of(&format!("zone-{}", peer % 12)),
            zone_entries: 37,
            wants_reply: false,
            peer_addresses: Vec::new(),
            work_scope: WorkScope::Sender,
            work: Vec::new(),
            placements: Vec::new(),
            version_era: None,
            names_eras: false,
        };
        book.record_message(address(peer), &hello, NOW);
    }
    book.update_serving_peers(false, NOW);
    book
}

/// Who decides for an endpoint of the own zone, and of another one.
#[divan::bench(args = ["zone-0", "zone-1"])]
fn coordinator(bencher: divan::Bencher<'_, '_>, zone: &str) {
    let book = book();
    let zone = ZoneId::of(zone);
    bencher.bench(|| book.coordinator(7, zone, Millis(0), NOW, |_| false));
}

/// A question read and answered, with both datagrams.
#[divan::bench]
fn question(bencher: divan::Bencher<'_, '_>) {
    let mut limits = Limits::default();
    limits.round(|_| true, NOW);
    limits.record_answer(
        TARGET,
        AnnouncedLimit::Rate(Rate(3_300)),
        Millis(4_900),
        NOW,
    );
    let ask = limits.permit_request(TARGET, 1, 0, 0, NOW);
    let bytes = limits::encode(&Message::Ask(ask)).unwrap_or_default();
    let own = Coordinator::Own {
        visible_share: 1.0,
        is_settled: true,
    };
    bencher.bench_local(|| {
        let Some(Message::Ask(ask)) = limits::decode(&bytes) else {
            return None;
        };
        let answer = limits.handle_request(&ask, own, NOW);
        limits::encode(&Message::Answer(answer))
    });
}
