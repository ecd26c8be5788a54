//! Endpoints that entries report to each other as unreachable.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::known::health::{Fault, Grade, HealthRecord};
use violetline::direct::known::reports::{EndpointReports, Failure, ReportResult, ReportedPool};
use violetline::direct::peers::{
    encode_shared, ObservationSchedule, PeerId, SharedFailure, SharedKind, SharedObservations,
    NEIGHBORS_PER_ROUND, REMOTES_PER_ROUND, ROUND_INTERVAL,
};

const NOW: Millis = Millis(100_000);
const POOL: ReportedPool<'static> = ReportedPool {
    name: "chat",
    endpoints: 50,
};

fn failure(endpoint: u32, failed_at: Millis) -> Failure {
    Failure {
        endpoint,
        failed_at,
    }
}

/// Reports of `peers` peers about an endpoint.
fn report(reports: &mut EndpointReports, endpoint: u32, peers: u64, at: Millis) -> ReportResult {
    let mut result = ReportResult::Noted;
    for peer in 0..peers {
        result = reports.record_report(PeerId(peer), failure(endpoint, at), POOL, at);
    }
    result
}

fn is_ejected(reports: &EndpointReports, endpoint: u32, now: Millis) -> bool {
    reports.ejected(now).any(|(ejected, _)| ejected == endpoint)
}

/// Guards against a single peer, with false or corrupted reports, that ejects endpoints.
#[test]
fn one_peer_without_effect() {
    let mut reports = EndpointReports::default();
    for endpoint in 0..50 {
        for age in 0..100 {
            let failure = failure(endpoint, NOW - Millis(age * 40));
            let result = reports.record_report(PeerId(1), failure, POOL, NOW);
            assert_eq!(result, ReportResult::Noted);
        }
    }
    assert_eq!(reports.ejected(NOW).count(), 0);
    assert_eq!(reports.reported(NOW), []);
}

#[test]
fn two_peers_eject() {
    let mut reports = EndpointReports::default();
    let at = NOW - Millis(500);
    reports.record_report(PeerId(1), failure(7, at), POOL, NOW);
    let result = reports.record_report(PeerId(2), failure(7, NOW), POOL, NOW);
    assert_eq!(result, ReportResult::Ejected);
    // It lasts 2 s from the earlier one of the two failures.
    assert!(is_ejected(&reports, 7, at + Millis(1_999)));
    assert!(!is_ejected(&reports, 7, at + Millis(2_000)));
    assert_eq!(reports.expire(at + Millis(2_000)), [7]);
}

/// Guards against reports of failures that lie further apart than 2 s.
#[test]
fn distant_failures_ignored() {
    let mut reports = EndpointReports::default();
    report(&mut reports, 7, 1, NOW);
    let later = NOW + Millis(2_000);
    let result = reports.record_report(PeerId(9), failure(7, later), POOL, later);
    assert_eq!(result, ReportResult::Noted);
}

/// Guards against reports that keep each other alive: what is passed on has the age of the failure.
#[test]
fn passed_on_reports_expire() {
    let mut fleet: Vec<EndpointReports> = (0..6).map(|_| EndpointReports::default()).collect();
    for reports in &mut fleet {
        report(reports, 7, 2, NOW);
    }
    let mut now = NOW;
    for _ in 0..100 {
        now = now + Millis(100);
        for from in 0..fleet.len() {
            let shared: Vec<SharedFailure> = fleet[from]
                .reported(now)
                .into_iter()
                .map(|failure| SharedFailure::new(failure, now))
                .collect();
            for reports in &mut fleet {
                for failure in &shared {
                    let source = PeerId(100 + from as u64);
                    reports.record_report(source, failure.received(now), POOL, now);
                }
            }
        }
        let ejected = fleet.iter().any(|reports| is_ejected(reports, 7, now));
        assert_eq!(ejected, now < NOW + Millis(2_000), "{now:?}");
    }
}

/// Guards against an endpoint that stays ejected although it answers.
#[test]
fn own_success_ends_ejection() {
    let mut reports = EndpointReports::default();
    assert_eq!(report(&mut reports, 7, 2, NOW), ReportResult::Ejected);
    let later = NOW + Millis(300);
    assert!(reports.record_success(7, later));
    assert!(!is_ejected(&reports, 7, later));
    // Reports of earlier failures arrive late.
    for peer in 0..4 {
        let result = reports.record_report(PeerId(peer), failure(7, NOW), POOL, later);
        assert_eq!(result, ReportResult::Noted);
    }
    // It fails again.
    let again = later + Millis(100);
    assert_eq!(report(&mut reports, 7, 2, again), ReportResult::Ejected);
}

/// Guards against reports that take most of a pool out of use.
#[test]
fn most_of_pool_kept() {
    let mut reports = EndpointReports::default();
    for endpoint in 0..50 {
        let result = report(&mut reports, endpoint, 3, NOW);
        let expected = if endpoint < 15 {
            ReportResult::StillEjected
        } else {
            ReportResult::TooMany
        };
        assert_eq!(result, expected, "{endpoint}");
    }
    assert_eq!(reports.ejected(NOW).count(), 15);
    let small = ReportedPool {
        name: "small",
        endpoints: 3,
    };
    for peer in 0..3 {
        let result = reports.record_report(PeerId(peer), failure(99, NOW), small, NOW);
        assert_ne!(result, ReportResult::Ejected);
    }
}

/// Guards against an entry that is cut off from endpoints and reports them all.
#[test]
fn cut_off_entry_silent() {
    let mut reports = EndpointReports::default();
    assert!(!reports.record_failure(0, NOW));
    for endpoint in 10..13 {
        reports.record_success(endpoint, NOW);
    }
    assert!(reports.record_failure(1, NOW));
    assert_eq!(reports.reported(NOW).len(), 2);
    for endpoint in 2..5 {
        reports.record_failure(endpoint, NOW);
    }
    assert_eq!(reports.reported(NOW), []);
}

/// Guards against a health record that is better with reports than without.
#[test]
fn own_ejection_kept() {
    let mut record = HealthRecord::default();
    let reported = record.with_ejection(NOW + Millis(500));
    assert!(reported.is_ejected());
    assert_eq!(reported.grade(NOW), Grade::Poor);
    record.failed(NOW, Fault::Unreachable);
    let both = record.with_ejection(NOW + Millis(1));
    assert_eq!(both.grade(NOW + Millis(10)), Grade::Poor);
    assert_eq!(record.grade(NOW + Millis(10)), Grade::Poor);
}

/// Guards against datagrams that are repeated or overtaken by later ones being applied.
#[test]
fn overtaken_datagrams_dropped() {
    let mut schedule = ObservationSchedule::default();
    assert!(schedule.is_newer(PeerId(1), 5, NOW));
    assert!(!schedule.is_newer(PeerId(1), 5, NOW));
    assert!(!schedule.is_newer(PeerId(1), 4, NOW));
    assert!(schedule.is_newer(PeerId(1), 6, NOW));
    assert!(schedule.is_newer(PeerId(2), 1, NOW));
}

/// Guards against growth with forged identities, and against peers that are shut out for good by
/// them.
#[test]
fn sources_bounded() {
    let mut schedule = ObservationSchedule::default();
    let accepted = (0..5_000).filter(|id| schedule.is_newer(PeerId(*id), 1, NOW));
    assert_eq!(accepted.count(), 1_024);
    let later = NOW + Millis(60_000);
    assert!(schedule.is_newer(PeerId(9_999), 1, later));
}

/// Zones of a fleet.
const ZONES: usize = 4;
/// Engines of the pool.
const ENGINES: u32 = 50;
/// Engine that fails.
const BAD: u32 = 0;
/// Time between two requests of one entry at one engine, in ms.
const REQUEST_INTERVAL_MS: u64 = 5_000;
/// Time after which a request to an engine that hangs fails.
const SILENCE: Millis = Millis(1_200);
/// Step of the replay.
const STEP: Millis = Millis(10);

/// One entry of a replay.
#[derive(Default)]
struct Entry {
    reports: EndpointReports,
    schedule: ObservationSchedule,
    /// Position among its peers at which the next datagrams begin.
    cursor: usize,
    /// Whether its requests reach no engine.
    is_cut_off: bool,
    /// Whether its datagrams reach no peer.
    is_mute: bool,
}

/// A replay of entries that send requests to engines and reports to each other.
struct Fleet {
    rng: StdRng,
    entries: Vec<Entry>,
    now: Millis,
    /// Datagrams under way, by the time of their arrival.
    under_way: BTreeMap<u64, Vec<(usize, usize, SharedObservations)>>,
    /// Failed requests under way, by the time at which they fail.
    failing: BTreeMap<u64, Vec<(usize, u32)>>,
    sent_bytes: usize,
    /// Requests to the bad engine while it hung.
    lost: usize,
}

impl Fleet {
    /// Entries that have just reached some engines.
    fn new(entries: usize) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(entries as u64),
            entries: (0..entries).map(|_| Entry::default()).collect(),
            now: NOW,
            under_way: BTreeMap::new(),
            failing: BTreeMap::new(),
            sent_bytes: 0,
            lost: 0,
        };
        for entry in &mut fleet.entries {
            for engine in 1..8 {
                entry.reports.record_success(engine, NOW);
            }
        }
        fleet
    }

    /// Peers to which an entry sends next: some of its own zone and some of the others.
    fn targets(&mut self, entry: usize, rounds: usize) -> Vec<usize> {
        let all = 0..self.entries.len();
        let (own, other): (Vec<usize>, Vec<usize>) = all
            .filter(|peer| *peer != entry)
            .partition(|peer| peer % ZONES == entry % ZONES);
        let cursor = self.entries[entry].cursor;
        self.entries[entry].cursor += rounds;
        // Entries begin at different positions.
        let start = |per_round: usize| (entry * 37 + cursor) * per_round;
        let mut targets = Vec::new();
        for (peers, per_round) in [(own, NEIGHBORS_PER_ROUND), (other, REMOTES_PER_ROUND)] {
            let count = (per_round * rounds).min(peers.len());
            let from = start(per_round);
            targets.extend((0..count).map(|i| peers[(from + i) % peers.len()]));
        }
        targets
    }

    fn send(&mut self, from: usize, targets: Vec<usize>) {
        let now = self.now;
        for to in targets {
            let entry = &mut self.entries[from];
            let failures = entry.reports.reported(now).into_iter();
            let shared = SharedObservations {
                number: entry.schedule.next_number(),
                unreachable: failures.map(|f| SharedFailure::new(f, now)).collect(),
                ..SharedObservations::default()
            };
            let bytes = encode_shared(SharedKind::Observations, PeerId(0), &shared).unwrap();
            if shared.is_empty() || !entry.schedule.may_send_reports(bytes.len(), now) {
                continue;
            }
            self.sent_bytes += bytes.len() + 28;
            if entry.is_mute || self.rng.gen_bool(0.1) {
                continue;
            }
            let arrives = now + Millis(self.rng.gen_range(1..30));
            self.under_way
                .entry(arrives.0)
                .or_default()
                .push((from, to, shared));
        }
    }

    fn fail(&mut self, entry: usize, engine: u32) {
        if self.entries[entry].reports.record_failure(engine, self.now) {
            self.burst(entry);
        }
    }

    fn burst(&mut self, entry: usize) {
        self.entries[entry].schedule.record_new_report(self.now);
        let targets = self.targets(entry, 2);
        self.send(entry, targets);
    }

    fn receive(&mut self, from: usize, to: usize, shared: &SharedObservations) {
        let now = self.now;
        let entry = &mut self.entries[to];
        let source = PeerId(from as u64);
        if !entry.schedule.is_newer(source, shared.number, now) {
            return;
        }
        let mut is_confirmed = false;
        for failure in &shared.unreachable {
            let result = entry
                .reports
                .record_report(source, failure.received(now), POOL, now);
            is_confirmed |= result == ReportResult::Ejected;
        }
        if is_confirmed {
            self.burst(to);
        }
    }

    /// Delivers what is due, and starts a round of each entry that has one now.
    fn gossip(&mut self) {
        let later = self.under_way.split_off(&(self.now.0 + 1));
        let due = std::mem::replace(&mut self.under_way, later);
        for (from, to, shared) in due.into_values().flatten() {
            self.receive(from, to, &shared);
        }
        for entry in 0..self.entries.len() {
            let is_round = (self.now.0 + entry as u64 * 10) % ROUND_INTERVAL.0 == 0;
            let repeats = self.entries[entry].schedule.repeats_reports(self.now);
            if is_round && repeats {
                let targets = self.targets(entry, 1);
                self.send(entry, targets);
            }
        }
    }

    /// Sends requests to engines; the bad one hangs where `hangs` is true.
    fn request(&mut self, hangs: bool) {
        let later = self.failing.split_off(&(self.now.0 + 1));
        let due = std::mem::replace(&mut self.failing, later);
        for (entry, engine) in due.into_values().flatten() {
            self.fail(entry, engine);
        }
        let part = STEP.0 as f64 / REQUEST_INTERVAL_MS as f64;
        for entry in 0..self.entries.len() {
            for engine in 0..ENGINES {
                let is_sent = self.rng.gen_bool(part)
                    && !is_ejected(&self.entries[entry].reports, engine, self.now);
                if !is_sent {
                    continue;
                }
                let is_lost = engine == BAD && hangs;
                self.lost += usize::from(is_lost);
                if is_lost || self.entries[entry].is_cut_off {
                    let fails = (self.now + SILENCE).0;
                    self.failing.entry(fails).or_default().push((entry, engine));
                } else {
                    self.entries[entry].reports.record_success(engine, self.now);
                }
            }
        }
    }

    /// Runs for a time; `hangs` says whether the bad engine hangs at a time since the start.
    fn run(&mut self, time: Millis, hangs: impl Fn(Millis) -> bool) {
        let until = self.now + time;
        while self.now < until {
            self.gossip();
            self.request(hangs(self.now - NOW));
            self.now = self.now + STEP;
        }
    }

    /// Number of entries for which an engine is ejected by reports.
    fn ejected(&self, engine: u32) -> usize {
        let entries = self.entries.iter();
        entries
            .filter(|entry| is_ejected(&entry.reports, engine, self.now))
            .count()
    }
}

/// Guards against each entry losing requests of its own at an engine that hangs.
#[test]
fn hanging_engine_avoided_by_all() {
    for entries in [27, 100, 450] {
        let mut fleet = Fleet::new(entries);
        // The first few see it at once, those of the same zone and of others.
        for entry in [0, 1, 2, 3, 4] {
            fleet.fail(entry, BAD);
        }
        let time = Millis(1_000);
        while fleet.now < NOW + time {
            fleet.gossip();
            fleet.now = fleet.now + STEP;
        }
        let unaware = (0..entries).filter(|entry| {
            let reports = &fleet.entries[*entry].reports;
            let has_own = reports
                .reported(fleet.now)
                .iter()
                .any(|f| f.endpoint == BAD);
            !has_own && !is_ejected(reports, BAD, fleet.now)
        });
        assert_eq!(unaware.count(), 0, "{entries} entries");
        let per_entry = fleet.sent_bytes / entries;
        assert!(per_entry <= 5_500, "{entries} entries: {per_entry} bytes");
    }
}

/// Guards against an engine that hangs for long taking a request of each entry all the time.
#[test]
fn long_hang_loses_less() {
    let time = Millis(10_000);
    let mut fleet = Fleet::new(27);
    fleet.run(time, |_| true);
    // Without reports each entry would have sent a request in 5 s.
    let unwarned = fleet.entries.len() as u64 * time.0 / REQUEST_INTERVAL_MS;
    assert!(fleet.lost as u64 <= unwarned / 2, "{}", fleet.lost);
}

/// Guards against an engine that flaps staying out of use after it has recovered.
#[test]
fn flapping_engine_taken_back() {
    let mut fleet = Fleet::new(27);
    fleet.run(Millis(12_600), |since| (since.0 / 1_400) % 2 == 0);
    assert!(fleet.lost > 0);
    // The last requests fail after the silence, and the reports of them count for 2 s.
    fleet.run(Millis(3_300), |_| false);
    assert_eq!(fleet.ejected(BAD), 0);
}

/// Guards against entries that are cut off from the engines, or whose datagrams are lost, harming
/// the others.
#[test]
fn cut_off_entries_harmless() {
    let mut fleet = Fleet::new(27);
    fleet.run(Millis(5_000), |_| false);
    for entry in 0..9 {
        fleet.entries[entry].is_cut_off = true;
    }
    for entry in 9..12 {
        fleet.entries[entry].is_mute = true;
    }
    for _ in 0..100 {
        fleet.run(Millis(100), |_| false);
        for engine in 0..ENGINES {
            assert_eq!(fleet.ejected(engine), 0, "engine {engine}");
        }
    }
    // An engine that hangs is still reported by the others.
    let mut most = 0;
    for _ in 0..50 {
        fleet.run(Millis(100), |_| true);
        most = fleet.ejected(BAD).max(most);
    }
    assert!(most > 13, "{most}");
}

/// Guards against a datagram schedule that lets reports exceed their part of the traffic.
#[test]
fn report_traffic_bounded() {
    let mut schedule = ObservationSchedule::default();
    let mut sent = 0;
    for ms in 0..10_000 {
        if schedule.may_send_reports(200, NOW + Millis(ms)) {
            sent += 228;
        }
    }
    assert!(sent <= 10_000 + 4_096, "{sent}");
    let to: SocketAddr = SocketAddr::from(([10, 0, 0, 1], 7_000));
    assert!(schedule.due(to, 26, NOW + Millis(10_000)).is_some());
}
