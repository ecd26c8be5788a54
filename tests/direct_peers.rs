//! Discovery of peers from a few seeds, choice of the entries that watch the store, and encoding of
//! gossip messages.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use common::hello;
use violetline::clock::Millis;
use violetline::direct::known::load::EndpointWork;
use violetline::direct::peers::{
    self, GossipMessage, PeerId, PeerTable, PromptPlacement, RecentPlacements, MAX_DATAGRAM_BYTES,
    NEIGHBORS_PER_ROUND, ROUND_INTERVAL,
};

fn address(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 7_000).into()
}

/// Peer tables that exchange datagrams without delay, except to and from entries that are down.
struct Network {
    books: BTreeMap<SocketAddr, PeerTable>,
    down: Vec<SocketAddr>,
    /// Entries whose requests the store does not answer, so that their proof grows old.
    cut_off: Vec<SocketAddr>,
    /// Entries that the store turns away, so that they never watch.
    turned_away: Vec<SocketAddr>,
    /// Whether the store answers nobody, so that nobody watches.
    store_is_away: bool,
    now: Millis,
}

impl Network {
    fn new(count: u8, seeds: &[SocketAddr]) -> Self {
        let table = |i| (address(i), PeerTable::new(address(i), seeds, u32::from(i)));
        Self {
            books: (1..=count).map(table).collect(),
            down: Vec::new(),
            cut_off: Vec::new(),
            turned_away: Vec::new(),
            store_is_away: false,
            now: Millis(0),
        }
    }

    fn run_rounds(&mut self, count: u32) -> usize {
        let mut sent = 0;
        for _ in 0..count {
            self.now = self.now + ROUND_INTERVAL;
            let mut up: Vec<SocketAddr> = self.books.keys().copied().collect();
            up.retain(|a| !self.down.contains(a));
            for from in up {
                sent += self.send_round(from);
            }
        }
        sent
    }

    fn send_round(&mut self, from: SocketAddr) -> usize {
        let now = self.now;
        let Some(table) = self.books.get_mut(&from) else {
            return 0;
        };
        let is_answered = !self.store_is_away && !self.turned_away.contains(&from);
        let watches = is_answered && table.should_watch(now);
        let round: Vec<SocketAddr> = table.round(watches, now).iter().map(|t| t.to).collect();
        let mut messages = Vec::new();
        for peer in &round {
            let mut message = hello(1, table.next_number(now), table.echo(*peer));
            message.from = PeerId(u64::from(from.port()));
            message.watches = watches;
            message.link_mbps = table.link_mbps();
            message.proof_age_ms = Some(if self.cut_off.contains(&from) {
                1_500
            } else {
                300
            });
            message.peer_addresses = table.peer_addresses(*peer, now);
            messages.push((*peer, message));
        }
        for (peer, message) in messages {
            if self.down.contains(&peer) {
                continue;
            }
            if let Some(table) = self.books.get_mut(&peer) {
                table.record_message(from, &message, now);
            }
        }
        round.len()
    }

    /// Entries that are up and are to watch the store.
    fn watchers(&self) -> Vec<SocketAddr> {
        let up = self.books.iter().filter(|(a, _)| !self.down.contains(a));
        let watch = up.filter(|(_, table)| table.should_watch(self.now));
        watch.map(|(address, _)| *address).collect()
    }

    fn entries(&self, i: u8) -> usize {
        self.books[&address(i)].entries(self.now)
    }
}

#[test]
fn found_from_seeds() {
    let mut network = Network::new(30, &[address(1), address(2), address(3)]);
    network.run_rounds(40);
    assert!((1..=30).all(|i| network.entries(i) == 30));
}

#[test]
fn stale_seeds() {
    let mut network = Network::new(6, &[address(1), address(90), address(91)]);
    network.run_rounds(20);
    assert!((1..=6).all(|i| network.entries(i) == 6));
}

#[test]
fn seed_is_down() {
    let mut network = Network::new(6, &[address(1), address(2)]);
    network.down.push(address(1));
    network.run_rounds(20);
    assert!((2..=6).all(|i| network.entries(i) == 5));
    network.down.clear();
    network.run_rounds(20);
    assert!((1..=6).all(|i| network.entries(i) == 6));
}

#[test]
fn silent_peer() {
    let mut network = Network::new(4, &[address(1)]);
    network.run_rounds(10);
    network.down.push(address(3));
    network.run_rounds(40);
    assert!([1, 2, 4].iter().all(|i| network.entries(*i) == 3));
}

/// Two entries watch the store for all; if both fail, two others take over.
#[test]
fn few_watch() {
    for count in [3, 30] {
        let mut network = Network::new(count, &[address(1), address(2)]);
        assert_eq!(network.watchers().len(), usize::from(count));
        network.run_rounds(40);
        let first = network.watchers();
        assert_eq!(first.len(), 2);
        network.down.clone_from(&first);
        network.run_rounds(13);
        assert!(!network.watchers().is_empty(), "within two seconds");
        network.run_rounds(40);
        assert_eq!(network.watchers().len(), 2.min(usize::from(count) - 2));
        network.down.clear();
        network.run_rounds(40);
        assert_eq!(network.watchers(), first);
    }
}

/// Lost watchers are replaced in turns: if all entries of a large fleet began to watch at once, they
/// would overload the store.
#[test]
fn replaced_in_turns() {
    for count in [30, 60, 120] {
        let mut network = Network::new(count, &[address(1), address(2)]);
        network.run_rounds(120);
        let lost = network.watchers();
        network.down.clone_from(&lost);
        let mut most = 0;
        for _ in 0..80 {
            network.run_rounds(1);
            most = most.max(network.watchers().len());
        }
        assert_eq!(network.watchers().len(), lost.len(), "all are replaced");
        assert!(most <= 2 * lost.len(), "{most} of {count} watch at once");
    }
}

/// While the store answers nobody, few entries try to watch it.
#[test]
fn outage_in_turns() {
    let mut network = Network::new(60, &[address(1), address(2)]);
    network.run_rounds(120);
    let wanted = network.watchers().len();
    network.store_is_away = true;
    let mut most = 0;
    for _ in 0..20 {
        network.run_rounds(1);
        most = most.max(network.watchers().len());
    }
    assert!(
        most <= 2 * wanted,
        "{most} want to watch within three seconds"
    );
    network.store_is_away = false;
    network.run_rounds(40);
    assert_eq!(network.watchers().len(), wanted);
}

/// The entry that the store answers takes over from those that it does not answer.
#[test]
fn answered_takes_over() {
    let mut network = Network::new(30, &[address(1), address(2)]);
    network.run_rounds(60);
    let first = network.watchers();
    network.turned_away.clone_from(&first);
    network.run_rounds(2);
    let answered = address(17);
    let now = network.now;
    let table = network.books.get_mut(&answered).unwrap();
    table.record_store_answer(now);
    network.run_rounds(1);
    assert!(network.watchers().contains(&answered));
}

/// The number of watchers grows with the fleet, so that none forwards changes to too many entries.
#[test]
fn watchers_grow() {
    let mut network = Network::new(96, &[address(1), address(2)]);
    network.run_rounds(120);
    assert_eq!(network.watchers().len(), 6);
}

/// Watchers whose proof grows old are taken to be cut off from the store, and others watch as well.
#[test]
fn cut_off_watchers() {
    let mut network = Network::new(6, &[address(1), address(2)]);
    network.run_rounds(40);
    network.cut_off = network.watchers();
    network.run_rounds(3);
    let is_connected = |a: &&SocketAddr| !network.cut_off.contains(a);
    assert_eq!(network.watchers().iter().filter(is_connected).count(), 2);
}

/// Entries with fast links watch, since they read the store's large responses; others do only if
/// none of those is left.
#[test]
fn wide_links_watch() {
    let mut network = Network::new(30, &[address(1), address(2)]);
    let wide: Vec<SocketAddr> = (1..=30).step_by(7).map(address).collect();
    for (address, table) in &mut network.books {
        table.set_link(if wide.contains(address) { 200.0 } else { 10.0 });
    }
    network.run_rounds(40);
    let first = network.watchers();
    assert_eq!(first.len(), 2);
    assert!(first.iter().all(|a| wide.contains(a)));
    network.down.clone_from(&first);
    network.run_rounds(40);
    let second = network.watchers();
    assert!(second.len() == 2 && second.iter().all(|a| wide.contains(a)));
    network.down.clone_from(&wide);
    network.run_rounds(40);
    assert_eq!(network.watchers().len(), 2);
}

/// A watcher whose proof waits for a large response is not taken to be cut off.
#[test]
fn large_answer_excuses() {
    let mut table = PeerTable::new(address(1), &[], 1);
    let message = |from: u64, reads_large| GossipMessage {
        watches: true,
        proof_age_ms: Some(2_000),
        link_mbps: 10,
        reads_large,
        ..hello(from, 1, None)
    };
    for from in [2, 3] {
        table.record_message(address(from), &message(from.into(), true), Millis(100));
    }
    assert!(!table.should_watch(Millis(200)));
    for from in [4, 5] {
        table.record_message(address(from - 2), &message(from.into(), false), Millis(300));
    }
    assert!(table.should_watch(Millis(400)));
}

/// The number of datagrams that an entry sends in a round does not grow with the fleet.
#[test]
fn traffic_bounded() {
    let mut small = Network::new(5, &[address(1)]);
    let mut large = Network::new(60, &[address(1)]);
    small.run_rounds(40);
    large.run_rounds(40);
    assert_eq!(small.run_rounds(10), 5 * 4 * 10);
    assert_eq!(large.run_rounds(10), 60 * 7 * 10);
}

#[test]
fn echo_dates_request() {
    let mut table = PeerTable::new(address(1), &[address(2)], 7);
    let number = table.next_number(Millis(500));
    let heard = table.record_message(address(2), &hello(2, 1, Some(number)), Millis(900));
    assert_eq!(heard.echoed_sent_at, Some(Millis(500)));
    assert!(heard.is_new);
    let heard = table.record_message(address(2), &hello(2, 2, Some(number + 5)), Millis(950));
    assert_eq!(heard.echoed_sent_at, None);
    assert!(!heard.is_new);
}

/// An echo of a number from an earlier incarnation of this process dates nothing.
#[test]
fn earlier_life_echo() {
    let mut earlier = PeerTable::new(address(1), &[], 7);
    let number = earlier.next_number(Millis(500));
    let mut table = PeerTable::new(address(1), &[], 8);
    table.next_number(Millis(10));
    let heard = table.record_message(address(2), &hello(2, 1, Some(number)), Millis(20));
    assert_eq!(heard.echoed_sent_at, None);
}

#[test]
fn restarted_peer() {
    let mut table = PeerTable::new(address(1), &[], 1);
    assert!(
        table
            .record_message(address(2), &hello(2, 9, None), Millis(10))
            .is_new
    );
    assert!(
        table
            .record_message(address(2), &hello(3, 1, None), Millis(20))
            .is_new
    );
    assert_eq!(table.echo(address(2)), Some(1));
}

/// A datagram that was overtaken by a later one does not change the number to echo.
#[test]
fn overtaken_datagram_ignored() {
    let mut table = PeerTable::new(address(1), &[], 1);
    table.record_message(address(2), &hello(2, 9, None), Millis(10));
    table.record_message(address(2), &hello(2, 8, None), Millis(20));
    assert_eq!(table.echo(address(2)), Some(9));
}

#[test]
fn any_datagram_decoded() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Some(hello) = peers::decode(&bytes) {
            assert!(peers::encode(&hello).is_some_and(|again| again.len() <= MAX_DATAGRAM_BYTES));
        }
        Ok(())
    });
}

/// A message of an entry with work at more endpoints than a datagram holds still carries its proof,
/// its number and the largest items of its work.
#[test]
fn too_much_work() {
    let mut sent = hello(2, 9, Some(4));
    sent.proof_age_ms = Some(70);
    sent.work = (0..3_500)
        .map(|endpoint| {
            let running = endpoint % 50;
            let work = EndpointWork {
                running,
                unread: [9_000; 3],
                held: 100_000,
                ..EndpointWork::default()
            };
            (endpoint, work)
        })
        .collect();
    let bytes = peers::encode(&sent).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    let heard = peers::decode(&bytes).unwrap();
    assert_eq!((heard.number, heard.proof_age_ms), (9, Some(70)));
    assert!(heard.work.len() > 100);
    assert!(heard.work.iter().all(|(_, work)| work.running > 40));
}

/// A busy entry's datagrams stay within what an instance may spend on control traffic: 28 KB a
/// second.
#[test]
fn datagram_size() {
    let mut sent = hello(u64::MAX, u64::MAX, Some(u64::MAX));
    let work = EndpointWork {
        running: 12,
        unread: [300, 2_000, 9_000],
        held: 40_000,
        pause_sensitivity: 900,
        pressure: 30_000,
    };
    sent.peer_addresses = (0..16).map(address).collect();
    sent.work = (0..12).map(|i| (u32::MAX - i, work)).collect();
    let mut recent = RecentPlacements::default();
    for i in 0..100 {
        recent.add(
            PromptPlacement {
                segment_id: u64::from(u32::MAX) - i,
                endpoint: u32::MAX,
            },
            Millis(0),
        );
    }
    sent.placements = recent.since(Millis(0), 12);
    let length = peers::encode(&sent).unwrap().len();
    let rounds_per_s = 1_000 / ROUND_INTERVAL.0;
    let per_s = length * NEIGHBORS_PER_ROUND * rounds_per_s as usize;
    assert!(per_s <= 28 << 10, "{length} bytes, {per_s} a second");
}

/// Work is rounded up to whole blocks, never down to zero.
#[test]
fn work_in_blocks() {
    let mut sent = hello(1, 2, None);
    let work = EndpointWork {
        running: 3,
        unread: [1, 64, 65],
        held: 257,
        pause_sensitivity: 100,
        pressure: u32::MAX,
    };
    sent.work = vec![(7, work), (u32::MAX, EndpointWork::default())];
    let heard = peers::decode(&peers::encode(&sent).unwrap()).unwrap();
    let (endpoint, rounded) = heard.work[0];
    assert_eq!((endpoint, rounded.running), (7, 3));
    assert_eq!((rounded.unread, rounded.held), ([64, 64, 128], 512));
    assert_eq!(
        (rounded.pause_sensitivity, rounded.pressure),
        (100, u32::MAX)
    );
    assert_eq!(heard.work[1], (u32::MAX, EndpointWork::default()));
}

/// A proof is asked of a peer that watches the store.
#[test]
fn proof_source_watches() {
    let mut table = PeerTable::new(address(1), &[], 1);
    let age = Some(Millis(900));
    assert_eq!(table.proof_source(age, 3, Millis(20)), None);
    let watching = |from| GossipMessage {
        watches: true,
        proof_age_ms: Some(300),
        ..hello(from, 1, None)
    };
    table.record_message(address(2), &hello(2, 1, None), Millis(10));
    table.record_message(address(3), &watching(3), Millis(10));
    let source = |draw| table.proof_source(age, draw, Millis(20));
    assert!((0..5).all(|draw| source(draw) == Some(address(3))));
}

/// An entry that has no proof yet asks any peer that has one: while the watchers of its zone are not
/// known, it would refuse all keyed requests.
#[test]
fn first_proof_source() {
    let mut table = PeerTable::new(address(1), &[], 1);
    let proven = GossipMessage {
        proof_age_ms: Some(300),
        ..hello(3, 1, None)
    };
    let unproven = GossipMessage {
        proof_age_ms: None,
        ..hello(2, 1, None)
    };
    table.record_message(address(2), &unproven, Millis(10));
    assert_eq!(table.proof_source(None, 0, Millis(20)), None);
    table.record_message(address(3), &proven, Millis(10));
    let source = |age| table.proof_source(age, 0, Millis(20));
    assert_eq!(source(None), Some(address(3)));
    assert_eq!(source(Some(Millis(900))), None, "it does not watch");
}

#[test]
fn datagram_round_trip() {
    let mut sent = hello(1, 2, Some(3));
    sent.peer_addresses = vec![address(4)];
    let bytes = peers::encode(&sent).unwrap();
    assert_eq!(peers::decode(&bytes), Some(sent));
    assert_eq!(peers::decode(&bytes[1..]), None);
}
