//! Entries find and hear each other from a few seeds.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use common::hello;
use violetline::clock::Millis;
use violetline::direct::load::EndpointWork;
use violetline::direct::peers::{
    self, GossipMessage, PeerId, PeerTable, PromptPlacement, RecentPlacements, MAX_DATAGRAM_BYTES,
    NEIGHBORS_PER_ROUND, ROUND_INTERVAL,
};

fn address(i: u8) -> SocketAddr {
    ([10, 0, 0, i], 7_000).into()
}

/// A network of books in which datagrams arrive at once, except to and from those that are down.
struct Network {
    books: BTreeMap<SocketAddr, PeerTable>,
    down: Vec<SocketAddr>,
    /// Those that the store does not answer, so that their proof is old.
    cut_off: Vec<SocketAddr>,
    now: Millis,
}

impl Network {
    fn new(count: u8, seeds: &[SocketAddr]) -> Self {
        let book = |i| (address(i), PeerTable::new(address(i), seeds, u32::from(i)));
        Self {
            books: (1..=count).map(book).collect(),
            down: Vec::new(),
            cut_off: Vec::new(),
            now: Millis(0),
        }
    }

    fn rounds(&mut self, count: u32) -> usize {
        let mut sent = 0;
        for _ in 0..count {
            self.now = self.now + ROUND_INTERVAL;
            let mut up: Vec<SocketAddr> = self.books.keys().copied().collect();
            up.retain(|a| !self.down.contains(a));
            for from in up {
                sent += self.tell(from);
            }
        }
        sent
    }

    fn tell(&mut self, from: SocketAddr) -> usize {
        let now = self.now;
        let Some(book) = self.books.get_mut(&from) else {
            return 0;
        };
        let watches = book.should_watch(now);
        let round: Vec<SocketAddr> = book.round(watches, now).iter().map(|t| t.to).collect();
        let mut messages = Vec::new();
        for peer in &round {
            let mut message = hello(1, book.next_number(now), book.echo(*peer));
            message.from = PeerId(u64::from(from.port()));
            message.watches = watches;
            message.link_mbps = book.link_mbps();
            message.proof_age_ms = Some(if self.cut_off.contains(&from) {
                1_500
            } else {
                300
            });
            message.peer_addresses = book.peer_addresses(*peer, now);
            messages.push((*peer, message));
        }
        for (peer, message) in messages {
            if self.down.contains(&peer) {
                continue;
            }
            if let Some(book) = self.books.get_mut(&peer) {
                book.record_message(from, &message, now);
            }
        }
        round.len()
    }

    /// Those that are up and watch the store.
    fn watchers(&self) -> Vec<SocketAddr> {
        let up = self.books.iter().filter(|(a, _)| !self.down.contains(a));
        let watch = up.filter(|(_, book)| book.should_watch(self.now));
        watch.map(|(address, _)| *address).collect()
    }

    fn entries(&self, i: u8) -> usize {
        self.books[&address(i)].entries(self.now)
    }
}

#[test]
fn found_from_seeds() {
    let mut network = Network::new(30, &[address(1), address(2), address(3)]);
    network.rounds(40);
    assert!((1..=30).all(|i| network.entries(i) == 30));
}

#[test]
fn stale_seeds() {
    let mut network = Network::new(6, &[address(1), address(90), address(91)]);
    network.rounds(20);
    assert!((1..=6).all(|i| network.entries(i) == 6));
}

#[test]
fn seed_is_down() {
    let mut network = Network::new(6, &[address(1), address(2)]);
    network.down.push(address(1));
    network.rounds(20);
    assert!((2..=6).all(|i| network.entries(i) == 5));
    network.down.clear();
    network.rounds(20);
    assert!((1..=6).all(|i| network.entries(i) == 6));
}

#[test]
fn silent_peer() {
    let mut network = Network::new(4, &[address(1)]);
    network.rounds(10);
    network.down.push(address(3));
    network.rounds(40);
    assert!([1, 2, 4].iter().all(|i| network.entries(*i) == 3));
}

/// Two entries watch the store for all, and two others as soon as these are gone.
#[test]
fn few_watch() {
    for count in [3, 30] {
        let mut network = Network::new(count, &[address(1), address(2)]);
        assert_eq!(network.watchers().len(), usize::from(count));
        network.rounds(40);
        let first = network.watchers();
        assert_eq!(first.len(), 2);
        network.down.clone_from(&first);
        network.rounds(13);
        assert!(!network.watchers().is_empty(), "within two seconds");
        network.rounds(40);
        assert_eq!(network.watchers().len(), 2.min(usize::from(count) - 2));
        network.down.clear();
        network.rounds(40);
        assert_eq!(network.watchers(), first);
    }
}

/// In a large fleet more entries watch, so that none passes changes on to too many.
#[test]
fn watchers_grow() {
    let mut network = Network::new(96, &[address(1), address(2)]);
    network.rounds(120);
    assert_eq!(network.watchers().len(), 6);
}

/// Watchers whose proof grows old are cut off from the store: others watch as well.
#[test]
fn cut_off_watchers() {
    let mut network = Network::new(6, &[address(1), address(2)]);
    network.rounds(40);
    network.cut_off = network.watchers();
    network.rounds(3);
    let sound = |a: &&SocketAddr| !network.cut_off.contains(a);
    assert_eq!(network.watchers().iter().filter(sound).count(), 2);
}

/// The store's large answers are read where links are wide, and elsewhere only when none of those
/// is left.
#[test]
fn wide_links_watch() {
    let mut network = Network::new(30, &[address(1), address(2)]);
    let wide: Vec<SocketAddr> = (1..=30).step_by(7).map(address).collect();
    for (address, book) in &mut network.books {
        book.set_link(if wide.contains(address) { 200.0 } else { 10.0 });
    }
    network.rounds(40);
    let first = network.watchers();
    assert_eq!(first.len(), 2);
    assert!(first.iter().all(|a| wide.contains(a)));
    network.down.clone_from(&first);
    network.rounds(40);
    let second = network.watchers();
    assert!(second.len() == 2 && second.iter().all(|a| wide.contains(a)));
    network.down.clone_from(&wide);
    network.rounds(40);
    assert_eq!(network.watchers().len(), 2);
}

/// A watcher whose proof waits for a large answer is not cut off.
#[test]
fn large_answer_excuses() {
    let mut book = PeerTable::new(address(1), &[], 1);
    let message = |from: u64, reads_large| GossipMessage {
        watches: true,
        proof_age_ms: Some(2_000),
        link_mbps: 10,
        reads_large,
        ..hello(from, 1, None)
    };
    for from in [2, 3] {
        book.record_message(address(from), &message(from.into(), true), Millis(100));
    }
    assert!(!book.should_watch(Millis(200)));
    for from in [4, 5] {
        book.record_message(address(from - 2), &message(from.into(), false), Millis(300));
    }
    assert!(book.should_watch(Millis(400)));
}

/// An entry's traffic does not grow with the fleet.
#[test]
fn traffic_bounded() {
    let mut small = Network::new(5, &[address(1)]);
    let mut large = Network::new(60, &[address(1)]);
    small.rounds(40);
    large.rounds(40);
    assert_eq!(small.rounds(10), 5 * 4 * 10);
    assert_eq!(large.rounds(10), 60 * 7 * 10);
}

#[test]
fn echo_dates_question() {
    let mut book = PeerTable::new(address(1), &[address(2)], 7);
    let number = book.next_number(Millis(500));
    let heard = book.record_message(address(2), &hello(2, 1, Some(number)), Millis(900));
    assert_eq!(heard.echoed_sent_at, Some(Millis(500)));
    assert!(heard.is_new);
    let heard = book.record_message(address(2), &hello(2, 2, Some(number + 5)), Millis(950));
    assert_eq!(heard.echoed_sent_at, None);
    assert!(!heard.is_new);
}

/// An echo of a number from an earlier life of this process dates nothing.
#[test]
fn earlier_life_echo() {
    let mut earlier = PeerTable::new(address(1), &[], 7);
    let number = earlier.next_number(Millis(500));
    let mut book = PeerTable::new(address(1), &[], 8);
    book.next_number(Millis(10));
    let heard = book.record_message(address(2), &hello(2, 1, Some(number)), Millis(20));
    assert_eq!(heard.echoed_sent_at, None);
}

#[test]
fn restarted_peer() {
    let mut book = PeerTable::new(address(1), &[], 1);
    assert!(
        book.record_message(address(2), &hello(2, 9, None), Millis(10))
            .is_new
    );
    assert!(
        book.record_message(address(2), &hello(3, 1, None), Millis(20))
            .is_new
    );
    assert_eq!(book.echo(address(2)), Some(1));
}

/// A datagram that was overtaken changes nothing.
#[test]
fn overtaken_datagram() {
    let mut book = PeerTable::new(address(1), &[], 1);
    book.record_message(address(2), &hello(2, 9, None), Millis(10));
    book.record_message(address(2), &hello(2, 8, None), Millis(20));
    assert_eq!(book.echo(address(2)), Some(9));
}

#[test]
fn foreign_datagrams() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Some(hello) = peers::decode(&bytes) {
            assert!(peers::encode(&hello).is_some_and(|again| again.len() <= MAX_DATAGRAM_BYTES));
        }
        Ok(())
    });
}

/// An entry with work at more endpoints than a datagram holds still tells its proof, its version and
/// the most of its work.
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

/// A busy entry's datagrams stay within what an instance may spend on control: 28 KB a second.
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

/// Work is rounded up to blocks, never down to nothing.
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

/// An entry asks for a proof where the store is watched, in its own cell first.
#[test]
fn proof_source_watches() {
    let mut book = PeerTable::new(address(1), &[], 1);
    assert_eq!(book.proof_source(3), None);
    let watching = |from| GossipMessage {
        watches: true,
        proof_age_ms: Some(300),
        ..hello(from, 1, None)
    };
    book.record_message(address(2), &hello(2, 1, None), Millis(10));
    book.record_message(address(3), &watching(3), Millis(10));
    assert!((0..5).all(|draw| book.proof_source(draw) == Some(address(3))));
}

#[test]
fn datagram_round_trip() {
    let mut sent = hello(1, 2, Some(3));
    sent.peer_addresses = vec![address(4)];
    let bytes = peers::encode(&sent).unwrap();
    assert_eq!(peers::decode(&bytes), Some(sent));
    assert_eq!(peers::decode(&bytes[1..]), None);
}
