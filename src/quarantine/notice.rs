//! The messages that processes send each other about suspected requests.

use serde::{Deserialize, Serialize};

use super::{EndpointEnd, IncarnationDigest};
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// One report about one request. Times are ages in ms at sending, so that no two clocks are
/// compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// An endpoint ended while it ran the request.
    Ended {
        /// The request.
        request: Fingerprint,
        /// The endpoint's incarnation.
        endpoint: IncarnationDigest,
        /// Time since the run started, in ms.
        began: u32,
        /// Time since the run was lost, in ms.
        ended: u32,
    },
    /// The request is suspected and was sent to an endpoint.
    Began {
        /// The request.
        request: Fingerprint,
        /// Time since the run started, in ms.
        began: u32,
    },
    /// The request is taken for the cause of ends. A process that has just started relies on this:
    /// it does not know what else ended, so it can't evaluate the request.
    Refused {
        /// The request.
        request: Fingerprint,
        /// Time since the end that decided it, in ms.
        since: u32,
    },
    /// The request was suspected, and an endpoint has completed it.
    Finished {
        /// The request.
        request: Fingerprint,
        /// Time since its completion, in ms.
        finished: u32,
    },
}

impl Notice {
    /// The notice of an end under a request, with ages as of `now`.
    pub(super) fn for_end(request: Fingerprint, end: &EndpointEnd, now: Millis) -> Self {
        Self::Ended {
            request,
            endpoint: end.endpoint,
            began: (now - end.began).as_u32(),
            ended: (now - end.ended).as_u32(),
        }
    }

    /// The notice that a request is taken for the cause since `since`, with its age as of `now`.
    pub(super) fn for_cause(request: Fingerprint, since: Millis, now: Millis) -> Self {
        let since = (now - since).as_u32();
        Self::Refused { request, since }
    }

    /// The request that the notice is about.
    pub const fn request(&self) -> Fingerprint {
        match self {
            Self::Ended { request, .. }
            | Self::Began { request, .. }
            | Self::Refused { request, .. }
            | Self::Finished { request, .. } => *request,
        }
    }

    /// The notice with its ages increased by `time`.
    pub fn aged_by(mut self, time: Millis) -> Self {
        let add_time = |age: &mut u32| *age = age.saturating_add(time.as_u32());
        match &mut self {
            Self::Ended { began, ended, .. } => {
                add_time(began);
                add_time(ended);
            }
            Self::Began { began, .. } => add_time(began),
            Self::Refused { since, .. } => add_time(since),
            Self::Finished { finished, .. } => add_time(finished),
        }
        self
    }
}
