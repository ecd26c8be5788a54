//! From a request's id to its cause: the lines about it, and what the process believed meanwhile.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::clock::Millis;
use crate::direct::decision::{Decision, Line, RefusalReason};

/// How long before a request changes of belief may bear on it: some reads of the store.
const BEFORE: Millis = Millis(5_000);

/// What was found in a log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Explanation {
    /// Lines to print.
    pub text: String,
    /// Lines of the log that were no decision; such as a stack trace.
    pub unreadable: usize,
}

/// Collects all lines about a request and the beliefs that bear on it; `None` when the log of one
/// process does not hold the request.
///
/// Lines may have a prefix before their JSON, as log collectors put it there.
pub fn explain(log: &str, id: &str) -> Option<Explanation> {
    let mut unreadable = 0;
    let mut lines = Vec::new();
    for text in log.lines().filter(|text| !text.trim().is_empty()) {
        match read(text) {
            Some(line) => lines.push(line),
            None => unreadable += 1,
        }
    }
    let about = |line: &&Line| line.request.as_deref() == Some(id);
    let first = lines.iter().find(about)?.up;
    let last = lines.iter().rev().find(about)?.up;
    let endpoints: BTreeSet<&str> = lines.iter().filter(about).filter_map(endpoint).collect();
    let asked: BTreeSet<String> = lines.iter().filter(about).filter_map(fingerprint).collect();
    let without = lines.iter().filter(about).any(is_without_endpoint);
    let mut text = String::new();
    for line in &lines {
        let is_own = about(&line);
        let is_near = line.up >= first - BEFORE && line.up <= last;
        let bears = line.request.is_none() && is_near && bears_on(&line.decision, &endpoints);
        let speaks = speaks_of(&line.decision, &asked);
        if is_own || bears || speaks || (line.up <= last && announces(line, &endpoints, without)) {
            let mark = if is_own { "*" } else { " " };
            let at = line.up.0 as i64 - first.0 as i64;
            // Writing to a string does not fail.
            let _ = writeln!(text, "{mark} {at:>+7} ms  {}", tell(&line.decision));
        }
    }
    Some(Explanation { text, unreadable })
}

/// Reads a line from its first brace on.
fn read(text: &str) -> Option<Line> {
    let from = text.find('{')?;
    serde_json::from_str(&text[from..]).ok()
}

/// The endpoint that a line about a request names.
fn endpoint(line: &Line) -> Option<&str> {
    match &line.decision {
        Decision::Placed { endpoint, .. }
        | Decision::AttemptFailed { endpoint, .. }
        | Decision::Ended { endpoint, .. } => Some(endpoint),
        _ => None,
    }
}

/// Digest of what the request of a line asks for, where the line tells it.
fn fingerprint(line: &Line) -> Option<String> {
    match &line.decision {
        Decision::AttemptFailed { fingerprint, .. } if !fingerprint.is_empty() => {
            Some(fingerprint.clone())
        }
        Decision::Refused {
            why: RefusalReason::EndsEndpoints { fingerprint, .. },
            ..
        } => Some(fingerprint.to_string()),
        _ => None,
    }
}

/// Whether a line tells that endpoints ended under what was asked for, however long before.
fn speaks_of(decision: &Decision, asked: &BTreeSet<String>) -> bool {
    match decision {
        Decision::EndpointEnded { lost, .. } => lost.iter().any(|digest| asked.contains(digest)),
        Decision::RequestRefused { fingerprint, .. } => asked.contains(fingerprint),
        _ => false,
    }
}

/// Whether a request found no endpoint that takes requests.
fn is_without_endpoint(line: &Line) -> bool {
    match &line.decision {
        Decision::Refused { why, .. } => matches!(
            why,
            RefusalReason::NoEndpoint
                | RefusalReason::EndpointsRest { .. }
                | RefusalReason::EndpointsLimited { .. }
        ),
        _ => false,
    }
}

/// Whether a line tells that one of these endpoints wants no requests, however long before; of a request that found none,
/// any endpoint.
fn announces(line: &Line, endpoints: &BTreeSet<&str>, any: bool) -> bool {
    match &line.decision {
        Decision::EndpointAnnounced { endpoint, .. }
        | Decision::EndpointLimited { endpoint, .. } => {
            any || endpoints.contains(endpoint.as_str())
        }
        _ => false,
    }
}

/// Whether a change of belief may be a cause for a request at these endpoints.
fn bears_on(decision: &Decision, endpoints: &BTreeSet<&str>) -> bool {
    match decision {
        Decision::EndpointListed { endpoint, .. }
        | Decision::EndpointHealth { endpoint, .. }
        | Decision::EndpointEnded { endpoint, .. } => endpoints.contains(endpoint.as_str()),
        Decision::Peer { .. }
        | Decision::RequestRefused { .. }
        | Decision::EndpointAnnounced { .. }
        | Decision::EndpointLimited { .. } => false,
        _ => true,
    }
}

/// The decision's name and fields, as in the log.
fn tell(decision: &Decision) -> String {
    let fields = match serde_json::to_value(decision) {
        Ok(serde_json::Value::Object(fields)) => fields,
        Ok(other) => return other.to_string(),
        Err(err) => return format!("not printable: {err}"),
    };
    let name = fields.get("what").and_then(|what| what.as_str());
    let mut text = name.unwrap_or_default().to_owned();
    for (field, value) in fields.iter().filter(|(field, _)| *field != "what") {
        let value = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(text, "  {field}={value}");
    }
    text
}
