//! Whether an entry is ready, and what it lacks if not.

use serde::{Deserialize, Serialize};

use super::{Entry, ProcessState};
use crate::direct::decision::Decision;

/// What an entry lacks to be ready; the first one that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lack {
    /// The process stops.
    Service,
    /// The list of endpoints has not been read.
    List,
    /// The configuration has not been read.
    Catalog,
    /// The configuration is not proven to be fresh enough for requests with a key.
    Proof,
}

impl Lack {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Service, Self::List, Self::Catalog, Self::Proof];

    /// Name of the gauge that is 1 while it applies.
    pub const fn gauge(self) -> &'static str {
        match self {
            Self::Service => "lacks_service",
            Self::List => "lacks_list",
            Self::Catalog => "lacks_catalog",
            Self::Proof => "lacks_proof",
        }
    }
}

impl Entry {
    /// Whether the load balancer should send connections.
    pub fn is_ready(&self) -> bool {
        self.lack().is_none()
    }

    /// What this entry lacks to be ready; `None` if it is.
    pub fn lack(&self) -> Option<Lack> {
        let bound = self.settings.borrow().bounds.max_key_proof_age();
        let freshness = self.freshness.get();
        let is_fresh = bound.is_none_or(|b| freshness.is_younger_than(self.clock.now(), b));
        if self.process_state() != ProcessState::Serving {
            Some(Lack::Service)
        } else if !self.has_list() {
            Some(Lack::List)
        } else if self.version() == 0 {
            Some(Lack::Catalog)
        } else if !is_fresh {
            Some(Lack::Proof)
        } else {
            None
        }
    }

    /// Logs what this entry lacks if that has changed since the last time.
    pub fn log_readiness(&self) {
        let lacks = self.lack();
        if self.logged_lack.replace(Some(lacks)) != Some(lacks) {
            let age_ms = self.age().0;
            let log = &self.log;
            log.state_change(Decision::Readiness { lacks, age_ms });
        }
    }
}
