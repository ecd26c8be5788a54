//! Endpoints that other entries report as unreachable. A request to an endpoint that hangs is lost
//! for as long as its caller waits, so the entries that have seen it warn those that have not.
//!
//! Made for an endpoint that hangs or flaps in front of up to 450 entries, for entries that are cut
//! off from many endpoints, and for peers that send false reports: one peer alone has no effect,
//! and reports eject at most [`MAX_EJECTED_PERCENT`] of a pool.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::peers::PeerId;

/// Time for which a report counts, from the failure that it is about.
pub const REPORT_TIME: Millis = Millis(2_000);
/// Peers that must report an endpoint.
const MIN_REPORTERS: usize = 2;
/// Peers whose reports of an endpoint are kept.
const MAX_REPORTERS: usize = 8;
/// Largest part of a pool that is ejected by reports, in percent.
const MAX_EJECTED_PERCENT: usize = 30;
/// Time for which the result of an own request tells whether this entry reaches endpoints. It is
/// shorter than the silence after which a request fails, so that an entry that is cut off has no
/// recent successes when its first requests fail.
const TRIED_TIME: Millis = Millis(1_000);
/// Endpoints in one datagram, the latest failures first.
const MAX_REPORTED: usize = 24;

/// Latest result of an own request at an endpoint.
#[derive(Debug, Clone, Copy)]
struct Tried {
    at: Millis,
    was_reached: bool,
}

/// A report of a peer.
#[derive(Debug, Clone, Copy)]
struct Report {
    source: PeerId,
    /// When the failure was.
    failed_at: Millis,
}

/// An endpoint that is ejected by reports.
#[derive(Debug, Clone)]
struct Ejection {
    pool: String,
    /// The earlier one of the two latest reported failures.
    failed_at: Millis,
}

impl Ejection {
    fn until(&self) -> Millis {
        self.failed_at + REPORT_TIME
    }
}

/// A failure to reach an endpoint, to be reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Digest of the endpoint's incarnation.
    pub endpoint: u32,
    /// When it was.
    pub failed_at: Millis,
}

/// The pool of a reported endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ReportedPool<'a> {
    /// Its name.
    pub name: &'a str,
    /// Number of its endpoints.
    pub endpoints: usize,
}

/// What a report led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportResult {
    /// The endpoint is not ejected: too few peers report it, or this entry reached it later.
    Noted,
    /// The endpoint is ejected from now on.
    Ejected,
    /// It was ejected already.
    StillEjected,
    /// It is not ejected because too many endpoints of its pool are.
    TooMany,
}

/// Failures to reach endpoints, of this entry and of its peers, by the digests of the endpoints'
/// incarnations.
#[derive(Debug, Default)]
pub struct EndpointReports {
    tried: HashMap<u32, Tried>,
    /// Times of own failures that are to be reported.
    own: HashMap<u32, Millis>,
    reports: HashMap<u32, Vec<Report>>,
    ejections: HashMap<u32, Ejection>,
}

impl EndpointReports {
    /// Records that this entry could not reach an endpoint. True if peers are to be told: not if
    /// this entry fails at more than half of the endpoints that it tried, which says more of its
    /// own network.
    pub fn record_failure(&mut self, digest: u32, now: Millis) -> bool {
        self.expire(now);
        let tried = Tried {
            at: now,
            was_reached: false,
        };
        self.tried.insert(digest, tried);
        self.own.insert(digest, now);
        !self.fails_mostly()
    }

    /// Records that an endpoint answered this entry, which ends its ejection by earlier reports;
    /// returns whether there was one.
    pub fn record_success(&mut self, digest: u32, now: Millis) -> bool {
        let tried = Tried {
            at: now,
            was_reached: true,
        };
        self.tried.insert(digest, tried);
        self.own.remove(&digest);
        self.reports.remove(&digest);
        self.ejections.remove(&digest).is_some()
    }

    /// Records the report of a peer that it could not reach an endpoint, or that two others told it
    /// so.
    pub fn record_report(
        &mut self,
        source: PeerId,
        failure: Failure,
        pool: ReportedPool<'_>,
        now: Millis,
    ) -> ReportResult {
        self.expire(now);
        let Failure {
            endpoint,
            failed_at,
        } = failure;
        let tried = self.tried.get(&endpoint);
        let reached_later = tried.is_some_and(|t| t.was_reached && t.at >= failed_at);
        if reached_later || now - failed_at >= REPORT_TIME {
            return ReportResult::Noted;
        }
        let reports = self.reports.entry(endpoint).or_default();
        add_report(reports, Report { source, failed_at });
        let Some(confirmed_at) = confirmed_at(reports) else {
            return ReportResult::Noted;
        };
        self.eject(endpoint, confirmed_at, pool)
    }

    /// Ejects an endpoint because of a failure that enough peers reported, if its pool allows it.
    fn eject(&mut self, digest: u32, failed_at: Millis, pool: ReportedPool<'_>) -> ReportResult {
        if let Some(ejection) = self.ejections.get_mut(&digest) {
            ejection.failed_at = ejection.failed_at.max(failed_at);
            return ReportResult::StillEjected;
        }
        let of_pool = |ejection: &&Ejection| ejection.pool == pool.name;
        let ejected = self.ejections.values().filter(of_pool).count();
        if (ejected + 1) * 100 > pool.endpoints * MAX_EJECTED_PERCENT {
            return ReportResult::TooMany;
        }
        let ejection = Ejection {
            pool: pool.name.to_owned(),
            failed_at,
        };
        self.ejections.insert(digest, ejection);
        ReportResult::Ejected
    }

    /// Endpoints that are ejected by reports, and until when.
    pub fn ejected(&self, now: Millis) -> impl Iterator<Item = (u32, Millis)> + '_ {
        let ejections = self.ejections.iter();
        let ejected = ejections.map(|(digest, ejection)| (*digest, ejection.until()));
        ejected.filter(move |(_, until)| now < *until)
    }

    /// What to report to peers, the latest failures first: own failures, and those that enough
    /// peers reported, with the time of the failure, so that no report outlives it. Empty if this
    /// entry fails mostly.
    pub fn reported(&self, now: Millis) -> Vec<Failure> {
        if self.fails_mostly() {
            return Vec::new();
        }
        let own = self.own.iter().map(|(digest, at)| (*digest, *at));
        let confirmed = self.ejections.iter();
        let confirmed = confirmed.map(|(digest, ejection)| (*digest, ejection.failed_at));
        let mut latest: HashMap<u32, Millis> = HashMap::new();
        for (digest, at) in own.chain(confirmed) {
            let known = latest.entry(digest).or_default();
            *known = at.max(*known);
        }
        let mut failures: Vec<Failure> = latest
            .into_iter()
            .filter(|(_, at)| now - *at < REPORT_TIME)
            .map(|(endpoint, failed_at)| Failure {
                endpoint,
                failed_at,
            })
            .collect();
        failures.sort_unstable_by_key(|f| (std::cmp::Reverse(f.failed_at), f.endpoint));
        failures.truncate(MAX_REPORTED);
        failures
    }

    /// Discards what is known of an endpoint whose incarnation has ended.
    pub fn forget(&mut self, digest: u32) {
        self.tried.remove(&digest);
        self.own.remove(&digest);
        self.reports.remove(&digest);
        self.ejections.remove(&digest);
    }

    /// Drops what no longer counts; returns the endpoints whose ejection has ended.
    pub fn expire(&mut self, now: Millis) -> Vec<u32> {
        self.tried.retain(|_, tried| now - tried.at < TRIED_TIME);
        self.own.retain(|_, at| now - *at < REPORT_TIME);
        for reports in self.reports.values_mut() {
            reports.retain(|report| now - report.failed_at < REPORT_TIME);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        let mut ended = Vec::new();
        self.ejections.retain(|digest, ejection| {
            let remains = now < ejection.until();
            if !remains {
                ended.push(*digest);
            }
            remains
        });
        ended
    }

    /// Whether this entry failed at more than half of the endpoints that it tried lately.
    fn fails_mostly(&self) -> bool {
        let failed = self.tried.values().filter(|t| !t.was_reached).count();
        failed * 2 > self.tried.len()
    }
}

/// Adds a report, or replaces an earlier one of the same peer; of more than [`MAX_REPORTERS`] the
/// latest are kept.
fn add_report(reports: &mut Vec<Report>, new: Report) {
    if let Some(known) = reports.iter_mut().find(|r| r.source == new.source) {
        known.failed_at = known.failed_at.max(new.failed_at);
        return;
    }
    if reports.len() >= MAX_REPORTERS {
        let oldest = (0..reports.len()).min_by_key(|at| reports[*at].failed_at);
        reports.swap_remove(oldest.unwrap_or_default());
    }
    reports.push(new);
}

/// The latest time such that [`MIN_REPORTERS`] peers reported failures at or after it.
fn confirmed_at(reports: &[Report]) -> Option<Millis> {
    let mut times: Vec<Millis> = reports.iter().map(|report| report.failed_at).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(MIN_REPORTERS - 1).copied()
}
