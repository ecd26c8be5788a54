//! What is checked after a seed: each request against what the engines saw of it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::callers::{CRASH, ODD, UNMARKED};
use super::endless::{is_endless, is_unmarked};
use super::parts::{is_crashing, CRASHING};
use super::{Issue, Report, Soak};
use crate::site::{self, Answer};
use crate::standin::{Arrival, EVENTS};

/// Engines that one request may end in a seed: three to five for each time that all entries that know of it are ended.
const MOST_CRASHES: usize = 12;
/// Seconds from which on an advice to come back is one to stay away.
const LONG_REFUSAL_S: f64 = 60.0;

impl Soak {
    /// Checks all requests.
    pub(super) fn report(&self) -> Report {
        let runs = self.runs();
        let mut report = Report {
            findings: self.findings.take(),
            ..Report::default()
        };
        for (id, issue) in self.issues.borrow().iter() {
            report.requests += 1;
            let status = issue.answer.as_ref().map_or(0, |answer| answer.status);
            *report.statuses.entry(status).or_default() += 1;
            let count = runs.get(id).copied().unwrap_or(0);
            let removed = self.removed.borrow().get(issue.key).copied();
            let broken = check(id, issue, count, removed);
            report
                .findings
                .extend(broken.map(|why| format!("{id} {}: {why}", issue.path)));
        }
        report.findings.extend(self.check_unwilling());
        report.findings.extend(self.check_urgency());
        report.findings.extend(self.check_left());
        report.findings.extend(self.check_resumed());
        report.findings.extend(self.check_parts());
        report.findings.extend(self.check_departed());
        report.crashes = self.crashes();
        if report.crashes > MOST_CRASHES {
            let finding = format!("{} engines ended under one request", report.crashes);
            report.findings.push(finding);
        }
        report
    }

    /// Lives of engines that the one request has ended.
    fn crashes(&self) -> usize {
        let gone = self.gone.borrow();
        let engines = self.engines.borrow();
        let all = engines.iter().chain(gone.iter());
        let crashes = all.flat_map(|relayed| relayed.engine.crashes());
        let is_one_request = |arrival: &Arrival| !arrival.holds(CRASHING);
        crashes.filter(is_one_request).count()
    }

    /// How often engines worked on each request, by its id.
    fn runs(&self) -> HashMap<String, usize> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        let gone = self.gone.borrow();
        let engines = self.engines.borrow();
        let relayed = engines.iter().chain(gone.iter());
        let relayed = relayed.map(|relayed| &relayed.engine);
        for engine in relayed.chain(&self.mixed.engines) {
            for arrival in engine.arrivals().iter().filter(|a| a.ran) {
                *runs.entry(arrival.id().to_owned()).or_default() += 1;
            }
        }
        runs
    }
}

/// Whether a refusal tells a caller to stay away, as is told of requests that end endpoints.
fn is_for_long(answer: &Answer) -> bool {
    let seconds = answer.header("retry-after").and_then(|t| t.parse().ok());
    seconds.is_some_and(|seconds: f64| seconds > LONG_REFUSAL_S)
}

/// Whether the promises were kept for one request; else why not.
fn check(id: &str, issue: &Issue, runs: usize, removed: Option<Instant>) -> Option<String> {
    let repeatable = issue.path.starts_with("/safe") || issue.path.starts_with("/resume");
    if !repeatable && runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    let bound = Duration::from_millis(site::KEY_REMOVAL_MS);
    if runs > 0 && removed.is_some_and(|at| issue.sent > at + bound) {
        return Some(format!("ran with {} after it was removed", issue.key));
    }
    let answer = issue.answer.as_ref()?;
    let crashes = issue.path == CRASH || is_crashing(id);
    if answer.status == 503 && !crashes && is_for_long(answer) {
        return Some("turned away for long, though it is innocent".into());
    }
    if ODD.contains(&issue.path) {
        let is_passed_on = answer.status < 400 || answer.is_sealed();
        return (is_passed_on && !answer.is_cut).then(|| format!("got {answer:?}"));
    }
    match answer.status {
        // Only a whole answer before the bytes without end may look complete.
        200 if is_endless(issue.path) => {
            let is_whole = site::event_numbers(&answer.body) == [1];
            let may_end = is_whole || is_unmarked(issue.path);
            let is_true = answer.is_cut || (may_end && answer.is_sealed());
            (!is_true).then(|| format!("without end, got {:?}", answer.body))
        }
        503 if !repeatable && runs > 0 => Some("told as not run, but ran".into()),
        200 if issue.path.ends_with("events")
            || issue.path.ends_with("cut")
            || issue.path.ends_with("work")
            || UNMARKED.contains(&issue.path) =>
        {
            check_events(answer)
        }
        200 if answer.is_cut && !issue.path.ends_with("unframed") => None,
        200 if answer.body != format!("answer of {id}") => Some(format!("got {:?}", answer.body)),
        200 if !answer.is_sealed() => Some("a success without a seal".into()),
        _ => None,
    }
}

/// Events come in order without a gap, and an answer without a cut has all of them.
fn check_events(answer: &Answer) -> Option<String> {
    let numbers = site::event_numbers(&answer.body);
    let in_order = numbers.iter().copied().eq(1..=numbers.len() as u64);
    let whole = numbers.len() as u64 == EVENTS;
    let versions = site::event_versions(&answer.body);
    if versions.len() > 1 {
        return Some(format!("events of {versions:?}"));
    }
    if !in_order || (!answer.is_cut && !whole) {
        return Some(format!("events {numbers:?}, cut: {}", answer.is_cut));
    }
    None
}
