//! Explains a request's outcome from the decision log: selects the lines about the request and
//! about changes of the process's state that may have influenced it.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::clock::Millis;
use crate::direct::decision::{Decision, LogLine, RefusalReason, NO_CONNECTION};
use crate::quarantine::parts::PartId;

/// How long before a request's first line a change of state is still shown: some reads of the
/// store.
const LOOKBACK: Millis = Millis(5_000);

/// The lines of a log that explain a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Explanation {
    /// The lines to print, in the order of the log. Lines about the request itself are marked with
    /// `*`; times are relative to its first line.
    pub text: String,
    /// Number of lines of the log that are not decisions, such as those of a stack trace.
    pub unparsed_lines: usize,
}

/// Collects the lines about a request, and about changes of state that may have influenced it, from
/// the log of one process; `None` where the log does not contain the request.
///
/// Lines may have a prefix before their JSON, as log collectors add one.
pub fn explain(log: &str, id: &str) -> Option<Explanation> {
    let mut unparsed_lines = 0;
    let mut lines = Vec::new();
    for text in log.lines().filter(|text| !text.trim().is_empty()) {
        match parse_line(text) {
            Some(line) => lines.push(line),
            None => unparsed_lines += 1,
        }
    }
    let about = |line: &&LogLine| line.request.as_deref() == Some(id);
    let first = lines.iter().find(about)?.up;
    let last = lines.iter().rev().find(about)?.up;
    let endpoints: BTreeSet<&str> = lines.iter().filter(about).filter_map(endpoint).collect();
    let fingerprints: BTreeSet<String> =
        lines.iter().filter(about).filter_map(fingerprint).collect();
    let parts: BTreeSet<PartId> = lines
        .iter()
        .filter(about)
        .filter_map(refused_part)
        .collect();
    let passes_over = lines.iter().filter(about).any(passes_over_endpoints);
    let has_no_endpoint = lines.iter().filter(about).any(found_no_endpoint);
    let mut text = String::new();
    for line in &lines {
        let is_about_request = about(&line);
        let is_recent = line.up >= first - LOOKBACK && line.up <= last;
        let is_related = line.request.is_none()
            && is_recent
            && (may_affect(&line.decision, &endpoints)
                || (passes_over && reports_unreachable(&line.decision)));
        let reports_end = reports_ended_endpoint(&line.decision, &fingerprints)
            || reports_part(&line.decision, &parts);
        if is_about_request
            || is_related
            || reports_end
            || (line.up <= last && reports_announcement(line, &endpoints, has_no_endpoint))
            || (line.up <= last && reports_speed(&line.decision, &endpoints))
        {
            let mark = if is_about_request { "*" } else { " " };
            let at = line.up.0 as i64 - first.0 as i64;
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "{mark} {at:>+7} ms  {}",
                format_decision(&line.decision)
            );
        }
    }
    Some(Explanation {
        text,
        unparsed_lines,
    })
}

/// Parses a line from its first brace on; `None` where it is not a decision.
fn parse_line(text: &str) -> Option<LogLine> {
    let from = text.find('{')?;
    serde_json::from_str(&text[from..]).ok()
}

/// Identity of the endpoint that a line about a request names; `None` for other lines.
fn endpoint(line: &LogLine) -> Option<&str> {
    match &line.decision {
        Decision::Placed { endpoint, .. }
        | Decision::AttemptFailed { endpoint, .. }
        | Decision::Ended { endpoint, .. } => Some(endpoint),
        _ => None,
    }
}

/// Digest of what the request of a line asks for; `None` where the line does not contain it.
fn fingerprint(line: &LogLine) -> Option<String> {
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

/// Whether a line reports that endpoints ended while they ran a request with one of these
/// fingerprints. Such lines are shown however old they are.
fn reports_ended_endpoint(decision: &Decision, fingerprints: &BTreeSet<String>) -> bool {
    match decision {
        Decision::EndpointEnded { lost, .. } => {
            lost.iter().any(|digest| fingerprints.contains(digest))
        }
        Decision::RequestRefused { fingerprint, .. } => fingerprints.contains(fingerprint),
        _ => false,
    }
}

/// The part of its prompt for which the request of a line was refused; `None` for other lines.
fn refused_part(line: &LogLine) -> Option<PartId> {
    match &line.decision {
        Decision::Refused {
            why: RefusalReason::PartEndsEndpoints { part, .. },
            ..
        } => Some(*part),
        _ => None,
    }
}

/// Whether a line reports that endpoints ended when they were about to answer a prompt with one of
/// these parts, or that it is refused or cleared. Such lines are shown however old they are.
fn reports_part(decision: &Decision, parts: &BTreeSet<PartId>) -> bool {
    match decision {
        Decision::EndpointEnded { runs, .. } => runs.iter().any(|run| run.has_any(parts)),
        Decision::PartRefused { part, .. } | Decision::PartCleared { part } => parts.contains(part),
        _ => false,
    }
}

/// Whether a line reports that a request was refused because no endpoint was available: none was
/// reachable, or all asked to back off or were at their rate limit.
fn found_no_endpoint(line: &LogLine) -> bool {
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

/// Whether a line reports that the request passed over endpoints that refused the connection.
fn passes_over_endpoints(line: &LogLine) -> bool {
    match line.decision {
        Decision::Placed { passed_over, .. } | Decision::Refused { passed_over, .. } => {
            passed_over > 0
        }
        _ => false,
    }
}

/// Whether a line reports that an endpoint was ejected because no connection could be opened.
fn reports_unreachable(decision: &Decision) -> bool {
    matches!(decision, Decision::EndpointHealth { aside: true, why, .. } if why == NO_CONNECTION)
}

/// Whether a line reports that one of these endpoints (any endpoint, with `any`) wants no requests
/// or limits their rate. Such lines are shown however old they are.
fn reports_announcement(line: &LogLine, endpoints: &BTreeSet<&str>, any: bool) -> bool {
    match &line.decision {
        Decision::EndpointAnnounced { endpoint, .. }
        | Decision::EndpointLimited { endpoint, .. } => {
            any || endpoints.contains(endpoint.as_str())
        }
        _ => false,
    }
}

/// Whether a line reports how fast one of these endpoints is. It is written only when that changes,
/// so it is shown however old it is.
fn reports_speed(decision: &Decision, endpoints: &BTreeSet<&str>) -> bool {
    match decision {
        Decision::EndpointSpeed { endpoint, .. } => endpoints.contains(endpoint.as_str()),
        _ => false,
    }
}

/// Whether a recent change of state may have influenced a request that was sent to these endpoints.
fn may_affect(decision: &Decision, endpoints: &BTreeSet<&str>) -> bool {
    match decision {
        Decision::EndpointListed { endpoint, .. }
        | Decision::EndpointHealth { endpoint, .. }
        | Decision::EndpointEnded { endpoint, .. } => endpoints.contains(endpoint.as_str()),
        Decision::Peer { .. }
        | Decision::RequestRefused { .. }
        | Decision::PartRefused { .. }
        | Decision::PartCleared { .. }
        | Decision::EndpointAnnounced { .. }
        | Decision::EndpointSpeed { .. }
        | Decision::EndpointLimited { .. } => false,
        _ => true,
    }
}

/// Formats a decision's name and fields as text.
fn format_decision(decision: &Decision) -> String {
    let fields = match serde_json::to_value(decision) {
        Ok(serde_json::Value::Object(fields)) => fields,
        Ok(other) => return other.to_string(),
        Err(err) => return format!("decision not serializable: {err}"),
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
