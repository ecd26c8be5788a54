//! The decision-log records of a request.

use super::Job;
use crate::clock::Millis;
use crate::direct::decision::{Decision, RequestOutcome};
use crate::direct::dialect::Resumes;
use crate::direct::directory::{EndpointKey, ListedEndpoint};
use crate::direct::known::load;
use crate::direct::placement::choose::Choice;
use crate::rate::Rate;

impl Job<'_> {
    /// Logs that the request is about to be sent to an endpoint, and counts the attempt.
    pub(super) fn log_placed(&self, choice: &Choice, listed: &ListedEndpoint, now: Millis) {
        self.progress.borrow_mut().endpoint.clone_from(&listed.id);
        let mut running = 0;
        self.entry
            .update_endpoint_state(choice.key, |endpoint_state| {
                running = endpoint_state.load.total(now).running;
            });
        let against = self.entry.decline_reason(choice.key);
        if let Some(what) = against {
            self.entry.metrics.sent_against(what);
        }
        let limit = self.entry.limit(choice.key);
        if limit.is_some() {
            self.entry.metrics.sent_to_limited();
        }
        if choice.reserved_endpoints > 0 {
            let reserved = choice.reserved_endpoints as u64;
            self.entry.metrics.set("reserved_endpoints", reserved);
        }
        let placed = Decision::Placed {
            route: self.route().name.clone(),
            endpoint: listed.id.clone(),
            software_version: listed.software_version.clone(),
            resumes: self.ask.resumes.as_ref().and_then(Resumes::began_as_text),
            attempt: self.attempts,
            priority: load::urgency_at_endpoint(self.route().priority, self.priority()),
            expected_ms: choice.expected_ms as u64,
            cached: choice.reuse.cached,
            moved: choice.reuse.moved,
            moved_from: self.source_endpoint_id(choice),
            unread: choice.footprint.unread,
            reserved_endpoints: choice.reserved_endpoints,
            reserved: choice.reserved_endpoints > 0 && choice.is_reserved,
            running,
            catalog: self.catalog.version,
            proof_age_ms: self.entry.proof_age().map(|age| age.0),
            list: Some(Box::new(self.entry.list_record())),
            left_ms: (self.deadline - now).0,
            against,
            limit_per_s: limit.map(Rate::per_s),
            copy: self.copy_endpoint_id(),
            takes_over: self.resumes_from_copy,
            passed_over: self.unreachable.passed_over(),
            parts: self.parts.to_vec(),
        };
        self.entry.log.request(self.ask.id.as_bytes(), placed);
        let urgency = self.route().priority;
        self.entry.metrics.attempt(&self.pool, urgency, "sent");
    }

    /// Id of the endpoint from which parts of the prompt are fetched.
    fn source_endpoint_id(&self, choice: &Choice) -> Option<String> {
        let directory = self.entry.directory();
        let source = directory.get(choice.reuse.from?)?;
        Some(source.listed.id.clone())
    }

    /// Logs a failed attempt; `may_have_run` tells whether the endpoint may have run it.
    pub(super) fn log_failed(&self, key: EndpointKey, failure: &str, may_have_run: bool) {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let listed = directory.get(key).map(|e| &e.listed);
        let endpoint = listed.map(|listed| listed.id.clone());
        let endpoint_states = self.entry.endpoint_states();
        let endpoint_state = endpoint_states.get(key);
        let failed = Decision::AttemptFailed {
            endpoint: endpoint.unwrap_or_else(|| self.progress.borrow().endpoint.clone()),
            attempt: self.attempts,
            failure: failure.into(),
            may_have_run,
            attempts_left: self.route().max_attempts.saturating_sub(self.attempts),
            urgency: Some(self.route().priority),
            running: endpoint_state
                .map(|endpoint_state| endpoint_state.load.total(now).running.saturating_sub(1)),
            slots: listed.map(|listed| listed.slots),
            fingerprint: if may_have_run {
                self.fingerprint.to_string()
            } else {
                String::new()
            },
        };
        self.entry.log.request(self.ask.id.as_bytes(), failed);
    }

    /// Logs and counts the end of the request; `status` is 0 where the caller got no complete
    /// answer.
    pub(super) fn log_ended(&self, how: RequestOutcome, status: u16) {
        let progress = self.progress.borrow();
        progress.log_ended(self.entry, self.incoming, how, status);
    }
}
