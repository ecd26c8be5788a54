//! Endpoints that are warming up: the rate at which all entries together send to them, in simulated
//! time.

mod common;

use common::{entry, listed};
use violetline::clock::Millis;
use violetline::direct::admission::warmup::{
    share, shared_until, Excess, FleetSize, RecentSends, WarmUp,
};
use violetline::direct::directory::{digest, Change, ListedEndpoint};
use violetline::direct::known::health::Fault;
use violetline::direct::peers::PeerId;

const WARM_UP: WarmUp = WarmUp {
    time: Millis(3_000),
    per_s: 13.0,
};
const EXCESS: Excess = Excess {
    ratio: 1.5,
    extra: 5.0,
};
/// Requests in any second beyond which an endpoint breaks down: one and a half times its rate, plus
/// 5.
const BOUND: usize = 24;

/// Largest number of requests in a second at one endpoint if all entries send as much as they may,
/// each with its own clock offset and step, over network delays of up to 40 ms.
fn busiest_second(entries: u64, endpoint: u32, sharers: usize) -> usize {
    let mut arrivals = Vec::new();
    for entry in 0..entries {
        let id = PeerId(entry.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let own_share = share(WARM_UP, EXCESS, sharers, id, endpoint);
        let mut sends = RecentSends::default();
        let mut now = Millis(entry * 37 % 500);
        while now < Millis(3_000) {
            if sends.allows(own_share, now) {
                sends.note(now);
                arrivals.push(now.0 + (entry * 13 + now.0) % 40);
            }
            now = now + Millis(7 + entry % 5);
        }
    }
    arrivals.sort_unstable();
    let within = |from: u64| {
        let span = from..from + 1_000;
        arrivals.iter().filter(|at| span.contains(at)).count()
    };
    arrivals.iter().map(|from| within(*from)).max().unwrap_or(0)
}

#[test]
fn bound_holds() {
    for entries in [1, 3, 30, 100, 450] {
        let mut max_busiest = 0;
        let mut sum = 0;
        for n in 0..200 {
            let busiest =
                busiest_second(entries, digest(&format!("i-{n}"), None), entries as usize);
            max_busiest = max_busiest.max(busiest);
            sum += busiest;
        }
        assert!(
            max_busiest <= BOUND,
            "{entries} entries sent {max_busiest} in a second"
        );
        assert!(sum > 200 * 4, "{entries} entries use what there is: {sum}");
    }
}

/// If operators allow no excess over the rate, less of it is used.
#[test]
fn tighter_bound() {
    let strict = Excess {
        ratio: 1.0,
        extra: 0.0,
    };
    for n in 0..2_000 {
        let endpoint = digest(&format!("i-{n}"), None);
        let shares = (0..100).map(|entry| share(WARM_UP, strict, 100, PeerId(entry), endpoint));
        assert!(shares.sum::<usize>() <= 13);
    }
}

/// Entries that are cut off from the others keep to the shares of the whole fleet.
#[test]
fn cut_off_entries() {
    let mut fleet = FleetSize::default();
    fleet.observe(30);
    fleet.observe(1);
    let sharers = fleet.sharers(Millis(60_000), true);
    assert_eq!(sharers, 30);
    for n in 0..200 {
        let endpoint = digest(&format!("i-{n}"), None);
        assert!(busiest_second(30, endpoint, sharers) <= BOUND);
    }
}

/// An entry that has just started does not assume that it is the only one.
#[test]
fn other_entries_assumed() {
    let mut fleet = FleetSize::default();
    fleet.observe(1);
    assert!(fleet.sharers(Millis(200), true) > 30);
    assert_eq!(fleet.sharers(Millis(200), false), 1, "there are no others");
    assert!(fleet.sharers(Millis(5_000), true) > 30, "it may be cut off");
    fleet.observe(3);
    assert_eq!(fleet.sharers(Millis(5_000), true), 3);
}

#[test]
fn listed_warm_up() {
    let (clock, entry) = entry();
    let cold = ListedEndpoint {
        warming: Millis(2_000),
        ..listed("a", 1)
    };
    entry.apply_listing(vec![cold], 1.into());
    let key = entry.directory().key("a").unwrap();
    let is_warming = || {
        let directory = entry.directory();
        let endpoint = directory.get(key).unwrap();
        entry.warm_up_share(endpoint, Some(WARM_UP)).is_some()
    };
    assert!(is_warming());
    clock.advance(Millis(1_999));
    assert!(is_warming());
    clock.advance(Millis(1_501));
    assert!(!is_warming(), "its time is over, whatever the list says");
    entry.endpoint_failed(key, Fault::Unreachable, "no connection");
    assert!(is_warming(), "it may have started again");
    entry.apply_changes(vec![Change::Put(listed("a", 2))], 2.into());
    clock.advance(Millis(1_500));
    assert!(!is_warming(), "its newer entry says that it is warm");
}

/// Entries start one by one to treat a warmed-up endpoint as any other.
#[test]
fn entries_start_singly() {
    let endpoint = digest("i-1", None);
    let until = |entry| shared_until(Millis(10_000), PeerId(entry), endpoint);
    let mut all: Vec<Millis> = (0..100).map(until).collect();
    all.sort_unstable();
    assert!(all[0] >= Millis(10_000) && all[99] <= Millis(11_500));
    let in_a_moment = |from: &Millis| {
        let moment = *from..*from + Millis(100);
        all.iter().filter(|at| moment.contains(at)).count()
    };
    assert!(all.iter().map(in_a_moment).max() < Some(20));
}

/// An endpoint that never warmed up is not limited when its record changes.
#[test]
fn ordinary_change_unlimited() {
    let (_, entry) = entry();
    entry.apply_listing(vec![listed("a", 1)], 1.into());
    entry.apply_changes(vec![Change::Put(listed("a", 2))], 2.into());
    let directory = entry.directory();
    let key = directory.key("a").unwrap();
    let endpoint = directory.get(key).unwrap();
    assert_eq!(entry.warm_up_share(endpoint, Some(WARM_UP)), None);
}

/// Pools without a configured warm-up have no limit.
#[test]
fn unconfigured_pool() {
    let (_, entry) = entry();
    let cold = ListedEndpoint {
        warming: Millis(2_000),
        ..listed("a", 1)
    };
    entry.apply_listing(vec![cold], 1.into());
    let directory = entry.directory();
    let key = directory.key("a").unwrap();
    assert_eq!(entry.warm_up_share(directory.get(key).unwrap(), None), None);
}

/// Requests sent before the endpoint was known to be warming up count.
#[test]
fn earlier_sends_count() {
    let mut sends = RecentSends::default();
    for _ in 0..3 {
        sends.note(Millis(1_000));
    }
    assert!(!sends.allows(3, Millis(1_900)));
    assert!(sends.allows(4, Millis(1_900)));
    assert!(sends.allows(3, Millis(2_200)));
}
