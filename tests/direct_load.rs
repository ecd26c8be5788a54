//! Load of an endpoint: what other entries report of it, and for how long that counts.

use violetline::clock::Millis;
use violetline::direct::known::load::{EndpointLoad, EndpointWork, LoadSource};
use violetline::direct::peers::{PeerId, ZoneId};

const PEER: LoadSource = LoadSource::Peer(PeerId(1));
const TTL: Millis = Millis(1_500);

fn zone() -> LoadSource {
    LoadSource::Zone(ZoneId::of("hall-b").unwrap())
}

fn work(running: u32) -> EndpointWork {
    EndpointWork {
        running,
        held: 1_000 * running,
        pressure: 8_000,
        ..EndpointWork::default()
    }
}

#[test]
fn latest_report_counts() {
    let mut load = EndpointLoad::default();
    load.record_remote(PEER, work(3), TTL, Millis(100));
    load.record_remote(PEER, work(5), TTL, Millis(200));
    load.record_remote(zone(), work(7), TTL, Millis(200));
    assert_eq!(load.total(Millis(300)).running, 12);
    assert_eq!(
        load.zone_total(Millis(300)).running,
        5,
        "other zones are left out"
    );
}

#[test]
fn reports_expire() {
    let mut load = EndpointLoad::default();
    load.record_remote(PEER, work(3), TTL, Millis(100));
    load.record_remote(zone(), work(7), Millis(4_000), Millis(100));
    assert_eq!(load.total(Millis(1_599)).running, 10);
    assert_eq!(load.total(Millis(1_600)).running, 7);
    assert_eq!(load.total(Millis(4_100)).running, 0);
}

/// An endpoint that a source no longer lists is idle, but the pressure of what it prefilled lately
/// decays gradually.
#[test]
fn idle_pressure_decays() {
    let mut load = EndpointLoad::default();
    load.record_remote(PEER, work(3), TTL, Millis(0));
    load.record_remote_idle(PEER, Millis(1_000));
    let left = load.total(Millis(1_000));
    assert_eq!((left.running, left.held), (0, 0));
    assert!((5_000..6_000).contains(&left.pressure), "{}", left.pressure);
    for s in 2..15 {
        load.record_remote_idle(PEER, Millis(s * 1_000));
    }
    assert_eq!(load.total(Millis(14_000)), EndpointWork::default());
    load.record_remote_idle(zone(), Millis(15_000));
    assert_eq!(load.total(Millis(15_000)), EndpointWork::default());
}
