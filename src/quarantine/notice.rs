//! What processes tell each other of requests under suspicion.

use serde::{Deserialize, Serialize};

use super::{EndpointEnd, IncarnationDigest};
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// What entries tell each other of one request; times are ages in ms, so that no two clocks are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// An endpoint ended under it.
    Ended {
        /// The request.
        request: Fingerprint,
        /// The endpoint's life.
        endpoint: IncarnationDigest,
        /// Age of the run's beginning.
        began: u32,
        /// Age of its end.
        ended: u32,
    },
    /// It is under suspicion and was sent to an endpoint.
    Began {
        /// The request.
        request: Fingerprint,
        /// Age of the run's beginning.
        began: u32,
    },
    /// It is taken for the cause of ends: who has just started can't judge that, not knowing what else ended.
    Refused {
        /// The request.
        request: Fingerprint,
        /// Age of the end that told.
        since: u32,
    },
    /// It was under suspicion, and an endpoint has finished it.
    Finished {
        /// The request.
        request: Fingerprint,
        /// Age of that.
        finished: u32,
    },
}

impl Notice {
    /// An end under a request, told at `now`.
    pub(super) fn of_end(request: Fingerprint, end: &EndpointEnd, now: Millis) -> Self {
        Self::Ended {
            request,
            endpoint: end.endpoint,
            began: (now - end.began).as_u32(),
            ended: (now - end.ended).as_u32(),
        }
    }

    /// That a request is taken for the cause since an end, told at `now`.
    pub(super) fn of_cause(request: Fingerprint, since: Millis, now: Millis) -> Self {
        let since = (now - since).as_u32();
        Self::Refused { request, since }
    }

    /// The request that it is about.
    pub const fn request(&self) -> Fingerprint {
        match self {
            Self::Ended { request, .. }
            | Self::Began { request, .. }
            | Self::Refused { request, .. }
            | Self::Finished { request, .. } => *request,
        }
    }

    /// The same some time later.
    pub fn older_by(mut self, time: Millis) -> Self {
        let grow = |age: &mut u32| *age = age.saturating_add(time.as_u32());
        match &mut self {
            Self::Ended { began, ended, .. } => {
                grow(began);
                grow(ended);
            }
            Self::Began { began, .. } => grow(began),
            Self::Refused { since, .. } => grow(since),
            Self::Finished { finished, .. } => grow(finished),
        }
        self
    }
}
