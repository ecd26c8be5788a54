//! What the platform's list says: endpoints, cordons of availability zones, and changes of either.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// A point in the history of the platform's documents.
pub type Revision = u64;

/// One endpoint as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Identity of this life of the endpoint.
    pub id: String,
    /// Pool that it serves.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it announced its end.
    pub draining: bool,
    /// Time for which it still warms up.
    pub warming: Millis,
    /// When this life of the endpoint began, in ms of Unix time; `None` where it is not told.
    pub born: Option<u64>,
    /// Where in the history this entry was written.
    pub revision: Revision,
}

/// Everything that a whole listing holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Endpoints.
    pub endpoints: Vec<ListedEndpoint>,
    /// Availability zones to whose endpoints nothing new is sent.
    pub cordons: Vec<Cordon>,
}

impl From<Vec<ListedEndpoint>> for Listing {
    fn from(endpoints: Vec<ListedEndpoint>) -> Self {
        Self {
            endpoints,
            cordons: Vec::new(),
        }
    }
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint was added or changed.
    Put(ListedEndpoint),
    /// An entry disappeared.
    Removed {
        /// Identity of the endpoint.
        id: String,
        /// When.
        revision: Revision,
    },
    /// Nothing new is to be sent to the endpoints of an availability zone.
    Cordoned(Cordon),
    /// An availability zone takes work again.
    Uncordoned(Cordon),
}

impl Change {
    /// Where in the history it stands.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Put(listed) => listed.revision,
            Self::Removed { revision, .. } => *revision,
            Self::Cordoned(cordon) | Self::Uncordoned(cordon) => cordon.revision,
        }
    }
}

/// A cordon of one zone, or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    /// Name of the availability zone.
    pub zone: String,
    /// Where in the history it was written or removed.
    pub revision: Revision,
}
