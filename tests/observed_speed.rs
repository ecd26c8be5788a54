//! Step times of engines that entries observe in streams and share.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::known::observed::{
    ObservedEndpoints, ObservedTime, SpeedChange, StreamTimes,
};
use violetline::direct::peers::{
    decode_shared, encode_shared, split_shared, ObservationSchedule, PeerId, SharedFailure,
    SharedKind, SharedObservations, SharedTime, MAX_REMOTE_BYTES, ROUND_INTERVAL,
};

const POOL: &str = "chat";
const NOW: Millis = Millis(100_000);
/// Time of an event at an engine of usual speed, in ms.
const EVENT_MS: f64 = 30.0;

/// A stream whose events take `event_ms` each.
fn stream(events: u32, event_ms: u64) -> StreamTimes {
    let mut times = StreamTimes::default();
    for i in 0..u64::from(events) {
        times.record(Millis(1_000 + i * event_ms), 1, 1.0);
    }
    times
}

/// Guards against a speed learned from a few events.
#[test]
fn short_streams_ignored() {
    assert_eq!(stream(7, 30).event_ms(), None);
    assert_eq!(stream(8, 30).event_ms(), Some(30.0));
}

/// Guards against events that arrive in one read looking like a fast engine.
#[test]
fn joined_events_averaged() {
    let mut times = StreamTimes::default();
    let mut now = Millis(1_000);
    times.record(now, 1, 1.0);
    for _ in 0..10 {
        now = now + Millis(90);
        times.record(now, 1, 1.0);
        times.record(now, 1, 1.0);
        times.record(now, 1, 1.0);
    }
    // The first of each three events comes after 90 ms, the others at once; 30 ms each.
    assert!(times.event_ms().unwrap() >= 29.0, "{:?}", times.event_ms());
    let mut burst = StreamTimes::default();
    burst.record(now, 60, 1.0);
    assert_eq!(burst.event_ms(), None);
}

/// Guards against a rate of events above that of the clock being lost in its milliseconds.
#[test]
fn short_steps_measured() {
    let mut times = StreamTimes::default();
    for i in 0..60_u64 {
        times.record(Millis(1_000 + i * 7 / 2), 1, 1.0);
    }
    let event_ms = times.event_ms().unwrap();
    assert!((3.3..=3.7).contains(&event_ms), "{event_ms}");
}

/// Guards against a prompt that is prefilled beside a stream making the engine look slow.
#[test]
fn prefill_beside_stream_ignored() {
    let mut times = StreamTimes::default();
    let mut now = Millis(1_000);
    for i in 0..48 {
        now = now + Millis(if i % 2 == 0 { 30 } else { 160 });
        times.record(now, 1, 1.0);
    }
    assert_eq!(times.event_ms(), Some(30.0));
}

/// Guards against a momentary slowdown, which the endpoint reports only when an answer begins,
/// being taken for its speed.
#[test]
fn momentary_slowdown_ignored() {
    let mut times = StreamTimes::default();
    let mut now = Millis(1_000);
    for i in 0..30 {
        // The report decays to 1 in the 12th step, but the slowdown ended with the fourth.
        let reported = if i < 12 { 2.0 } else { 1.0 };
        now = now + Millis(if i < 4 { 75 } else { 30 });
        times.record(now, 1, reported);
    }
    assert_eq!(times.event_ms(), Some(30.0));
    let mut short = StreamTimes::default();
    for i in 0..12 {
        short.record(Millis(i * 30), 1, 2.5);
    }
    assert_eq!(short.event_ms(), None);
}

fn observed_time(endpoint: u32, event_ms: f64, weight: f64) -> ObservedTime {
    ObservedTime {
        endpoint,
        event_ms,
        weight,
    }
}

/// Four endpoints, each with `streams` streams of this entry.
fn observed(streams: u32) -> ObservedEndpoints {
    let mut observed = ObservedEndpoints::default();
    for endpoint in 0..4 {
        for _ in 0..streams {
            observed.record_stream(endpoint, POOL, EVENT_MS, NOW);
        }
    }
    observed
}

/// Guards against choices that change although nothing is known.
#[test]
fn unknown_endpoints_typical() {
    let mut unknown = ObservedEndpoints::default();
    assert_eq!(unknown.relative_time(7, NOW), 1.0);
    let mut two_known = ObservedEndpoints::default();
    for _ in 0..9 {
        two_known.record_stream(0, POOL, 20.0, NOW);
        two_known.record_stream(1, POOL, 60.0, NOW);
    }
    assert_eq!(two_known.relative_time(1, NOW), 1.0);
}

/// Guards against one odd stream changing what is known of an endpoint.
#[test]
fn single_stream_without_effect() {
    for odd in [0.1, 3_000.0] {
        for streams in [0, 2, 3, 8] {
            let mut observed = observed(8);
            for _ in 0..streams {
                observed.record_stream(9, POOL, EVENT_MS, NOW);
            }
            observed.record_stream(9, POOL, odd, NOW);
            for endpoint in [0, 1, 2, 3, 9] {
                let relative = observed.relative_time(endpoint, NOW);
                assert_eq!(relative, 1.0, "{odd} {streams}");
            }
        }
    }
}

/// Guards against values beyond the bounds.
#[test]
fn relative_time_bounded() {
    let mut observed = observed(8);
    for _ in 0..12 {
        observed.record_stream(8, POOL, EVENT_MS * 90.0, NOW);
        observed.record_stream(9, POOL, EVENT_MS / 90.0, NOW);
        observed.record_stream(10, POOL, f64::NAN, NOW);
    }
    assert_eq!(observed.relative_time(8, NOW), 4.0);
    assert_eq!(observed.relative_time(9, NOW), 0.25);
    assert_eq!(observed.relative_time(10, NOW), 1.0);
}

/// Guards against a value that flips between two steps with the noise of single streams.
#[test]
fn noise_without_effect() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut observed = ObservedEndpoints::default();
    for second in 0..300 {
        let now = NOW + Millis(second * 1_000);
        for endpoint in 0..12 {
            let event_ms = EVENT_MS * rng.gen_range(0.9..1.1);
            observed.record_stream(endpoint, POOL, event_ms, now);
        }
        for endpoint in 0..12 {
            assert_eq!(observed.relative_time(endpoint, now), 1.0, "{second} s");
        }
    }
}

/// Guards against a peer with false figures that makes a pool look slow, or one endpoint of which
/// more is known.
#[test]
fn false_peer_bounded() {
    for event_ms in [0.06, 9_000.0] {
        let mut observed = observed(8);
        for endpoint in 0..4 {
            let time = observed_time(endpoint, event_ms, 25.0);
            observed.record_remote(PeerId(1), POOL, time, NOW);
            observed.record_remote(PeerId(1), POOL, time, NOW);
        }
        for endpoint in 0..4 {
            assert_eq!(observed.relative_time(endpoint, NOW), 1.0);
        }
    }
    for event_ms in [0.06, 9_000.0] {
        let mut observed = observed(6);
        observed.record_remote(PeerId(1), POOL, observed_time(0, event_ms, 25.0), NOW);
        observed.record_remote(PeerId(1), POOL, observed_time(9, event_ms, 25.0), NOW);
        for endpoint in [0, 9] {
            assert_eq!(observed.relative_time(endpoint, NOW), 1.0, "{event_ms}");
        }
    }
}

/// Number of endpoints that are known at `now`.
fn known(observed: &mut ObservedEndpoints, now: Millis) -> usize {
    observed.take_changes(now);
    observed.known()
}

/// Guards against corrupted figures being used.
#[test]
fn corrupted_figures_ignored() {
    let mut observed = observed(0);
    for endpoint in 0..4 {
        for (event_ms, weight) in [(0.0, 9.0), (f64::MAX, 9.0), (f64::NAN, 9.0), (30.0, 0.0)] {
            let time = observed_time(endpoint, event_ms, weight);
            observed.record_remote(PeerId(1), POOL, time, NOW);
        }
    }
    assert_eq!(known(&mut observed, NOW), 0);
    let bytes = [0xff; 64];
    assert!(decode_shared::<SharedObservations>(&bytes).is_none());
}

/// Guards against one peer's observations being counted several times, and against growth with the
/// number of peers.
#[test]
fn repeated_reports_counted_once() {
    let mut observed = ObservedEndpoints::default();
    for _ in 0..20 {
        let time = observed_time(1, EVENT_MS, 1.0);
        observed.record_remote(PeerId(1), POOL, time, NOW);
    }
    assert_eq!(known(&mut observed, NOW), 0);
    for peer in 0..500 {
        let time = observed_time(1, EVENT_MS, 1.0);
        observed.record_remote(PeerId(peer), POOL, time, NOW);
    }
    assert_eq!(known(&mut observed, NOW + Millis(2_000)), 1);
    // Eight streams decay below three after 85 s, five hundred after 443 s.
    assert_eq!(known(&mut observed, NOW + Millis(100_000)), 0);
}

/// Guards against log lines that repeat what has not changed, or that miss a change.
#[test]
fn changes_taken_once() {
    let mut observed = observed(8);
    for _ in 0..8 {
        observed.record_stream(8, POOL, EVENT_MS * 2.0, NOW);
    }
    let changes = observed.take_changes(NOW);
    let expected = SpeedChange {
        endpoint: 8,
        relative_time: 2.0,
        event_ms: Some(EVENT_MS * 2.0),
    };
    assert_eq!(changes, [expected]);
    assert_eq!(observed.take_changes(NOW + Millis(2_000)), []);
    let later = observed.take_changes(NOW + Millis(600_000));
    assert_eq!(later.len(), 1);
    assert_eq!((later[0].relative_time, later[0].event_ms), (1.0, None));
}

/// Guards against an endpoint that was started again inheriting the speed of the former one.
#[test]
fn other_incarnation_unknown() {
    let mut observed = observed(8);
    for _ in 0..8 {
        observed.record_stream(8, POOL, EVENT_MS * 2.0, NOW);
    }
    assert_eq!(observed.relative_time(8, NOW), 2.0);
    observed.forget(8);
    assert_eq!(observed.relative_time(8, NOW), 1.0);
    assert_eq!(observed.relative_time(9, NOW), 1.0);
}

fn address(i: usize) -> SocketAddr {
    let [_, .., high, low] = (i as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

/// Guards against an observation that is missing for good after a lost datagram.
#[test]
fn observations_sent_twice() {
    let mut schedule = ObservationSchedule::default();
    let mut sent = Vec::new();
    let to = address(1);
    for round in 0..40 {
        let now = NOW + Millis(round * ROUND_INTERVAL.0);
        sent.extend(schedule.due(to, 1, now).map(|due| (now, due)));
    }
    assert!(sent.len() >= 10);
    for at in 2..sent.len() {
        assert_eq!(sent[at].1.since, sent[at - 2].0);
    }
    assert_eq!(sent[0].1.since, Millis(0));
    assert_eq!(sent[1].1.since, Millis(0));
    let greeting = schedule.greet(to, NOW + Millis(60_000));
    assert_eq!(greeting.since, Millis(0));
}

/// Guards against a datagram that does not fit one packet.
#[test]
fn largest_datagram_fits() {
    let mut schedule = ObservationSchedule::default();
    let due = schedule.greet(address(1), NOW);
    let time = SharedTime {
        endpoint: u32::MAX,
        event_us: u32::MAX,
        weight_tenths: u8::MAX,
    };
    let failure = SharedFailure {
        endpoint: u32::MAX,
        age_ms: u16::MAX,
    };
    let shared = SharedObservations {
        number: u32::MAX,
        times: vec![time; due.most],
        unreachable: vec![failure; 24],
    };
    let bytes = encode_shared(SharedKind::Observations, PeerId(u64::MAX), &shared).unwrap();
    assert!(bytes.len() <= MAX_REMOTE_BYTES);
    let (kind, from, payload) = split_shared(&bytes).unwrap();
    assert_eq!((kind, from), (SharedKind::Observations, PeerId(u64::MAX)));
    assert_eq!(decode_shared(payload), Some(shared));
}

/// Entries that share what they observe of engines at 0.7, 0.7 and 1.7 of the usual time.
struct Fleet {
    rng: StdRng,
    entries: Vec<(ObservedEndpoints, ObservationSchedule)>,
    /// Bytes sent by all entries, with 28 bytes of headers each.
    sent_bytes: usize,
}

const ENGINES: u32 = 50;
/// Time between two streams of one entry at one engine.
const STREAM_INTERVAL_MS: u64 = 5_000;
/// Targets of a gossip round.
const ROUND_TARGETS: usize = 9;

fn speed(engine: u32) -> f64 {
    if engine % 3 == 2 {
        1.7
    } else {
        0.7
    }
}

impl Fleet {
    fn new(entries: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(entries as u64),
            entries: (0..entries).map(|_| Default::default()).collect(),
            sent_bytes: 0,
        }
    }

    /// The time of an event in one stream: a third of the streams run beside prompts, and a tenth
    /// arrives joined or under a slowdown that was not reported.
    fn event_ms(&mut self, engine: u32) -> f64 {
        let base = EVENT_MS * speed(engine) * self.rng.gen_range(0.9..1.1);
        match self.rng.gen_range(0..30) {
            0 => base * 0.4,
            1..=2 => base * 2.5,
            3..=12 => base * self.rng.gen_range(1.5..6.0),
            _ => base,
        }
    }

    fn run(&mut self, until: Millis) {
        let rounds = until.0 / ROUND_INTERVAL.0;
        for round in 0..rounds {
            let now = NOW + Millis(round * ROUND_INTERVAL.0);
            for entry in 0..self.entries.len() {
                self.observe(entry, now);
                self.gossip(entry, round as usize, now);
            }
        }
    }

    fn observe(&mut self, entry: usize, now: Millis) {
        let part = ROUND_INTERVAL.0 as f64 / STREAM_INTERVAL_MS as f64;
        for engine in 0..ENGINES {
            if self.rng.gen_bool(part) {
                let event_ms = self.event_ms(engine);
                self.entries[entry]
                    .0
                    .record_stream(engine, POOL, event_ms, now);
            }
        }
    }

    /// Sends to some entries in turn; every tenth datagram is lost.
    fn gossip(&mut self, entry: usize, round: usize, now: Millis) {
        let others = self.entries.len() - 1;
        for target in 0..ROUND_TARGETS.min(others) {
            let to = (entry + 1 + (round * ROUND_TARGETS + target) % others) % (others + 1);
            let (observed, schedule) = &mut self.entries[entry];
            let Some(due) = schedule.due(address(to), others, now) else {
                continue;
            };
            let times = observed.own_times(due.since, due.most, now);
            let shared = SharedObservations {
                times: times.into_iter().map(Into::into).collect(),
                ..SharedObservations::default()
            };
            let from = PeerId(entry as u64);
            let bytes = encode_shared(SharedKind::Observations, from, &shared).unwrap();
            self.sent_bytes += bytes.len() + 28;
            if self.rng.gen_bool(0.1) {
                continue;
            }
            let (_, from, payload) = split_shared(&bytes).unwrap();
            let shared: SharedObservations = decode_shared(payload).unwrap();
            for time in shared.times {
                self.entries[to]
                    .0
                    .record_remote(from, POOL, time.into(), now);
            }
        }
    }

    /// Fraction of the values at all entries that tell slow engines from the others.
    fn correct(&mut self, now: Millis) -> f64 {
        let mut correct = 0;
        for (observed, _) in &mut self.entries {
            for engine in 0..ENGINES {
                let relative = observed.relative_time(engine, now);
                let expected = if speed(engine) > 1.0 {
                    1.9..=3.1
                } else {
                    0.8..=1.3
                };
                correct += u32::from(expected.contains(&relative));
            }
        }
        f64::from(correct) / (self.entries.len() as f64 * f64::from(ENGINES))
    }
}

/// Guards against engines whose speed is never learned, as with one request of each entry in 5 s
/// and a record that decays in 4 s.
#[test]
fn uneven_engines_told_apart() {
    for entries in [27, 100, 450] {
        let mut fleet = Fleet::new(entries);
        let time = Millis(45_000);
        fleet.run(time);
        let correct = fleet.correct(NOW + time);
        let per_s = fleet.sent_bytes as f64 / entries as f64 / (time.0 as f64 / 1_000.0);
        eprintln!("{entries} entries: {correct} {per_s} bytes/s");
        assert!(correct >= 0.98, "{entries} entries: {correct}");
        assert!(per_s <= 1_500.0, "{entries} entries: {per_s} bytes/s");
    }
}

/// Guards against an entry that knows nothing for a minute after a restart.
#[test]
fn restarted_entry_informed() {
    let mut fleet = Fleet::new(27);
    let time = Millis(45_000);
    fleet.run(time);
    let now = NOW + time;
    let mut restarted = ObservedEndpoints::default();
    for (i, (observed, schedule)) in fleet.entries.iter_mut().enumerate().take(8) {
        let due = schedule.greet(address(99), now);
        for time in observed.own_times(due.since, due.most, now) {
            restarted.record_remote(PeerId(i as u64), POOL, time, now);
        }
    }
    fleet.entries = vec![(restarted, ObservationSchedule::default())];
    let correct = fleet.correct(now);
    assert!(correct >= 0.98, "{correct}");
}
