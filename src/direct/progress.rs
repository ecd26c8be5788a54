//! What is known of a request in flight, for the line at its end, also when its caller leaves.

use crate::clock::Millis;
use crate::direct::decision::{Decision, RequestOutcome};
use crate::direct::entry::Entry;
use crate::direct::intake::IncomingRequest;

/// What is known of a request in flight; empty where it has not got that far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Its id, as the log holds it.
    pub id: Vec<u8>,
    /// Name of its route.
    pub route: String,
    /// Name of the pool that it is sent to.
    pub pool: String,
    /// Urgency of its route.
    pub urgency: Option<u8>,
    /// Id of the endpoint that it was last sent to.
    pub endpoint: String,
    /// When the first byte of its answer left.
    pub first_byte_at: Option<Millis>,
    /// When the last piece of its answer left.
    last: Option<Millis>,
    /// Longest time between two pieces.
    longest_pause: Option<Millis>,
}

impl Progress {
    /// A piece of the answer has left.
    pub fn chunk_sent(&mut self, now: Millis) {
        if let Some(last) = self.last.replace(now) {
            self.longest_pause = self.longest_pause.max(Some(now - last));
        }
    }

    /// Logs and counts the end of the request; `status` is 0 where the caller got no whole answer.
    pub fn log_ended(
        &self,
        entry: &Entry,
        incoming: &IncomingRequest,
        how: RequestOutcome,
        status: u16,
    ) {
        let now = entry.clock.now();
        let ended = Decision::Ended {
            route: self.route.clone(),
            endpoint: self.endpoint.clone(),
            how,
            urgency: self.urgency,
            status,
            first_ms: self.first_byte_at.map(|at| (at - incoming.received_at).0),
            pause_ms: self.longest_pause.map(|pause| pause.0),
            total_ms: (now - incoming.received_at).0,
        };
        entry.log.request(&self.id, ended);
        entry.gauges.request(&self.pool, self.urgency, how.label());
    }
}
