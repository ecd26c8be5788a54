//! Slots that are left free for more urgent requests, and how entries that don't see each other
//! share the others.

mod common;

use common::listed;
use violetline::clock::Millis;
use violetline::direct::admission::turnover::{PoolActivity, RecentActivity};
use violetline::direct::catalog::EngineCapacity;
use violetline::direct::directory::{Change, Directory, EndpointKey};
use violetline::direct::known::health::HealthRecord;
use violetline::direct::known::load::{EndpointLoad, EndpointWork, Footprint, LoadSource};
use violetline::direct::peers::PeerId;
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::PrefixMap;
use violetline::direct::placement::room::RoomInputs;

const NOW: Millis = Millis(10_000);
const ENGINE: EngineCapacity = EngineCapacity {
    slots: 8,
    memory_tokens: 290_000,
    moves: None,
};
const RUN: Footprint = Footprint {
    band: 1,
    unread: 0,
    held: 1_000,
    pause_sensitivity: 0,
};
const IDS: [&str; 4] = ["a", "b", "c", "d"];
/// Slots of an endpoint as listed by the test helpers.
const SLOTS: u32 = 64;

/// Endpoints a to d with the given numbers of running requests.
struct Pool {
    directory: Directory,
    loads: Vec<EndpointLoad>,
    prefixes: PrefixMap,
}

impl Pool {
    fn new(running: [u32; 4]) -> Self {
        let mut directory = Directory::default();
        for id in IDS {
            directory.apply(Change::Put(listed(id, 1)), Millis(0));
        }
        let load = |running| {
            let mut load = EndpointLoad::default();
            for _ in 0..running {
                load.begin(RUN, NOW);
            }
            load
        };
        Self {
            directory,
            loads: running.map(load).into_iter().collect(),
            prefixes: PrefixMap::default(),
        }
    }

    /// The same, where `own` of the running requests are this entry's and the others those of a
    /// peer.
    fn with_peer_load(running: [u32; 4], own: [u32; 4]) -> Self {
        let mut pool = Self::new(own);
        for (i, load) in pool.loads.iter_mut().enumerate() {
            let work = EndpointWork {
                running: running[i] - own[i],
                ..EndpointWork::default()
            };
            load.record_remote(LoadSource::Peer(PeerId(1)), work, Millis(1_000), NOW);
        }
        pool
    }

    fn key(&self, i: usize) -> EndpointKey {
        self.directory.key(IDS[i]).unwrap()
    }

    fn choose(&self, room: RoomInputs, draw: u64) -> Choice {
        let record = HealthRecord::default();
        let candidates = (0..IDS.len()).map(|i| Candidate {
            key: self.key(i),
            endpoint: self.directory.get(self.key(i)).unwrap(),
            load: &self.loads[i],
            record: &record,
            is_warming: false,
            is_limited: false,
            relative_time: 1.0,
        });
        let demand = Demand {
            band: room.more_urgent_bands,
            parts: &[],
            output_tokens: 100,
            target: Millis(600),
            zone: "hall-a",
            engine: Some(ENGINE),
            pause_sensitivity: 0,
            pause: Millis(0),
            visibility_delay: Millis(0),
            room,
            draw,
            capacity: None,
        };
        choose(demand, candidates, &self.prefixes, NOW).unwrap()
    }
}

const URGENT: RoomInputs = RoomInputs {
    more_urgent_bands: 0,
    entries: 1,
    recent: RecentActivity {
        more_urgent_arrivals: 0,
        yielding_arrivals: 0,
        arrivals_per_ms: 0.0,
        started: 0,
        ended: 0,
        rejected_fraction: 0.0,
        refused_fraction: 0.0,
    },
};
const LESS_URGENT: RoomInputs = RoomInputs {
    more_urgent_bands: 1,
    ..URGENT
};

/// An eighth of the slots is left free for more urgent requests.
#[test]
fn urgent_slots_reserved() {
    let most = SLOTS - SLOTS / 8;
    for running in [0, most - 1] {
        assert!(Pool::new([running; 4]).choose(LESS_URGENT, 1).has_room);
    }
    for running in [most, SLOTS - 1] {
        let pool = Pool::new([running; 4]);
        assert!(!pool.choose(LESS_URGENT, 1).has_room);
        assert!(pool.choose(URGENT, 1).has_room);
    }
    assert!(!Pool::new([SLOTS; 4]).choose(URGENT, 1).has_room);
}

/// No price outweighs a free slot.
#[test]
fn free_slot_first() {
    let pool = Pool::new([SLOTS, SLOTS - 1, SLOTS, SLOTS + 9]);
    assert_eq!(pool.choose(URGENT, 1).key, pool.key(1));
}

/// An endpoint that rejected a request is avoided for a short time although it has the fewest
/// requests, unless a run ends there. If all have done so, the best one is still chosen.
#[test]
fn full_avoided() {
    let mut pool = Pool::new([0, 9, 9, 9]);
    let best = pool.key(0);
    assert_eq!(pool.choose(URGENT, 1).key, best);
    pool.loads[0].mark_full(NOW);
    assert_ne!(pool.choose(URGENT, 1).key, best);
    pool.loads[0].clear_full();
    assert_eq!(pool.choose(URGENT, 1).key, best);
    pool.loads[0].mark_full(NOW - Millis(5_000));
    assert_eq!(pool.choose(URGENT, 1).key, best);
    for load in &mut pool.loads {
        load.mark_full(NOW);
    }
    assert_eq!(pool.choose(URGENT, 1).key, best);
    assert!(!pool.choose(LESS_URGENT, 1).has_room);
}

/// Entries with the same knowledge that don't see each other's choices together start at most twice
/// the free slots plus the runs that ended, however callers and running requests are distributed.
#[test]
fn free_slots_shared() {
    let running = [40, 50, 30, 56];
    let left = |running: u32| SLOTS - SLOTS / 8 - running;
    let free: u32 = running.map(left).iter().sum();
    arbtest::arbtest(|u| {
        let entries = u.int_in_range(1..=40usize)?;
        let mut others = running;
        let (mut started, mut ended, mut yielding_arrivals) = (0.0, 0, 0);
        for entry in 0..entries {
            let mut own = [0; 4];
            for (own, left) in own.iter_mut().zip(&mut others) {
                let is_last = entry + 1 == entries;
                *own = if is_last {
                    *left
                } else {
                    u.int_in_range(0..=*left)?
                };
                *left -= *own;
            }
            let room = RoomInputs {
                entries,
                recent: RecentActivity {
                    yielding_arrivals: u.int_in_range(0..=200)?,
                    ended: u.int_in_range(0..=20)?,
                    ..RecentActivity::default()
                },
                ..LESS_URGENT
            };
            let admitted_fraction = Pool::with_peer_load(running, own)
                .choose(room, 1)
                .admitted_fraction;
            started += admitted_fraction.min(1.0) * room.recent.yielding_arrivals as f64;
            ended += room.recent.ended;
            yielding_arrivals += room.recent.yielding_arrivals;
        }
        assert!(
            started <= f64::from(free) * 2.0 + ended as f64 + 1e-6,
            "{started}"
        );
        assert!(started <= yielding_arrivals as f64 + 1e-6);
        Ok(())
    });
}

/// Endpoints that reject many requests have less capacity than they list, so more slots are left
/// free.
#[test]
fn rejections_reserve_more() {
    let pool = Pool::new([SLOTS / 2; 4]);
    assert!(pool.choose(LESS_URGENT, 1).has_room);
    let after = |rejected_fraction| RoomInputs {
        recent: RecentActivity {
            rejected_fraction,
            ..RecentActivity::default()
        },
        ..LESS_URGENT
    };
    assert!(pool.choose(after(0.1), 1).has_room);
    assert!(!pool.choose(after(0.3), 1).has_room);
    assert!(Pool::new([SLOTS / 2 - 1; 4]).choose(after(1.0), 1).has_room);
}

/// If many requests arrive at once, endpoints are chosen in proportion to their free slots, and not
/// always the one that looks best.
#[test]
fn contended_choices_spread() {
    let pool = Pool::new([50, 54, 52, 10]);
    let crowded = RoomInputs {
        entries: 30,
        recent: RecentActivity {
            yielding_arrivals: 100,
            ..RecentActivity::default()
        },
        ..LESS_URGENT
    };
    let mut chosen = [0; 4];
    for draw in 0..4_000 {
        let choice = pool.choose(crowded, draw);
        let i = (0..4).position(|i| pool.key(i) == choice.key).unwrap();
        chosen[i] += 1;
    }
    let free = [6, 2, 4, 46];
    for (chosen, free) in chosen.iter().zip(free) {
        let due = 4_000 * free / 58;
        assert!((due / 2..due * 2).contains(chosen), "{chosen} of {due}");
    }
}

#[test]
fn old_activity_dropped() {
    let mut turnover = PoolActivity::default();
    turnover.record_active_band(0, Millis(0));
    for ms in 0..1_000 {
        turnover.record_arrival(1, Millis(ms));
        turnover.record_start(Millis(ms));
    }
    turnover.record_end(Millis(990));
    let recent = turnover.recent(1, Millis(100), Millis(1_000));
    assert_eq!(
        (recent.yielding_arrivals, recent.started, recent.ended),
        (100, 100, 1)
    );
    assert_eq!(
        turnover.recent(1, Millis(100), Millis(9_000)),
        RecentActivity::default()
    );
}

/// Slots are left free for bands whose requests arrive, not for those that merely exist in the
/// configuration.
#[test]
fn active_bands_count() {
    let mut turnover = PoolActivity::default();
    turnover.record_arrival(1, NOW);
    assert_eq!(turnover.more_urgent_bands(2, NOW + Millis(60_000)), 0);
    assert_eq!(turnover.more_urgent_bands(2, NOW), 1);
    assert_eq!(turnover.more_urgent_bands(1, NOW), 0);
    turnover.record_active_band(0, NOW);
    assert_eq!(turnover.more_urgent_bands(2, NOW), 2);
}

/// Of three bands, the middle one may use the slots that the most urgent one leaves, and the least
/// urgent one what then remains.
#[test]
fn middle_before_least() {
    let mut turnover = PoolActivity::default();
    turnover.record_active_band(0, NOW);
    for _ in 0..40 {
        turnover.record_arrival(1, NOW);
        turnover.record_arrival(2, NOW);
    }
    let pool = Pool::new([SLOTS - SLOTS / 8 - 5; 4]);
    let admitted_fraction = |band: usize| {
        let room = RoomInputs {
            more_urgent_bands: turnover.more_urgent_bands(band, NOW),
            entries: 1,
            recent: turnover.recent(band, Millis(100), NOW),
        };
        pool.choose(room, 1).admitted_fraction
    };
    assert!(admitted_fraction(1) >= 1.0, "{}", admitted_fraction(1));
    assert!(admitted_fraction(2) <= 0.0, "{}", admitted_fraction(2));
}

/// Less urgent requests are held back as more urgent ones are refused, and all of them once a
/// twelfth is refused.
#[test]
fn less_urgent_delayed() {
    let pool = Pool::new([0; 4]);
    let admitted_fraction = |nothing: usize| {
        let mut turnover = PoolActivity::default();
        for i in 0..240 {
            turnover.record_arrival(0, NOW);
            turnover.record_arrival(1, NOW);
            if i < nothing {
                turnover.record_refusal(0, NOW);
            }
        }
        let room = RoomInputs {
            more_urgent_bands: 1,
            entries: 1,
            recent: turnover.recent(1, Millis(100), NOW),
        };
        pool.choose(room, 1).admitted_fraction
    };
    assert_eq!(admitted_fraction(0), admitted_fraction(10));
    assert!(admitted_fraction(15) < admitted_fraction(10) && admitted_fraction(15) > 0.0);
    assert_eq!(admitted_fraction(20), 0.0);
}

/// A middle band leaves slots free only if hardly any less urgent requests arrive, which would
/// otherwise do so.
#[test]
fn least_urgent_yields() {
    let mut turnover = PoolActivity::default();
    for i in 0..40 {
        turnover.record_arrival(1, NOW);
        assert!(!turnover.has_less_urgent(1, NOW), "{i}");
    }
    for _ in 0..20 {
        turnover.record_arrival(2, NOW);
    }
    assert!(turnover.has_less_urgent(1, NOW));
    assert!(!turnover.has_less_urgent(2, NOW));
    assert!(!turnover.has_less_urgent(1, NOW + Millis(3_000)));
}
