//! The progress of a request in flight, for the log line at its end. It is kept outside the future
//! that handles the request, so that the line can also be written when the caller disconnects.

use crate::clock::Millis;
use crate::direct::channel::Framing;
use crate::direct::decision::{Decision, RequestOutcome};
use crate::direct::entry::Entry;
use crate::direct::intake::IncomingRequest;

/// The progress of a request in flight; fields are empty until the request gets that far.
#[derive(Debug, Default)]
pub struct Progress {
    /// The caller's id of the request.
    pub id: Vec<u8>,
    /// Name of its route.
    pub route: String,
    /// Name of the pool whose endpoints it is sent to.
    pub pool: String,
    /// Urgency of its route; 0 is the highest.
    pub urgency: Option<u8>,
    /// Identity of the endpoint that it was last sent to.
    pub endpoint: String,
    /// When the first byte of the response was about to be sent to the caller.
    pub first_byte_at: Option<Millis>,
    /// How the last endpoint's response marks its end; `None` before its head arrived.
    pub framing: Option<Framing>,
    /// Length of the unfinished event at the end of the endpoint's stream, in bytes.
    pub unfinished_bytes: usize,
    /// When the last chunk of a streamed response was sent.
    last_chunk_at: Option<Millis>,
    /// Longest time between two chunks; `None` before the second one.
    longest_pause: Option<Millis>,
}

impl Progress {
    /// Notes that a chunk of the response has been sent to the caller.
    pub fn chunk_sent(&mut self, now: Millis) {
        if let Some(last) = self.last_chunk_at.replace(now) {
            self.longest_pause = self.longest_pause.max(Some(now - last));
        }
    }

    /// Logs and counts the end of the request; `status` is 0 where the caller got no complete
    /// response.
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
            framing: self.framing,
            unfinished_bytes: self.unfinished_bytes,
            total_ms: (now - incoming.received_at).0,
        };
        entry.log.request(&self.id, ended);
        entry.metrics.request(&self.pool, self.urgency, how.label());
    }
}
