//! The platform's list: endpoints, cordons of availability zones, and changes of either.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Number of a point in the history of the platform's documents; a later point has a higher number.
pub type Revision = u64;

/// Number of a history of the platform's documents. When the store is restored from an older copy,
/// the history since then is lost and another one begins, with the next higher number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// One endpoint, as the list has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Identity of the endpoint.
    pub id: String,
    /// Name of the pool that it serves.
    pub pool: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Number of requests that it works on at a time.
    pub slots: u32,
    /// Whether it announced that it will stop.
    pub draining: bool,
    /// Remaining time of its warm-up.
    pub warming: Millis,
    /// When this incarnation of the endpoint began, in ms of Unix time; `None` if the list doesn't
    /// tell.
    pub born: Option<u64>,
    /// Version of its software, as the list names it; not that of the model's weights. It is encoded
    /// apart from the other fields, see [`crate::direct::changes::encode`].
    #[serde(skip)]
    pub software_version: String,
    /// Revision at which this item of the list was written.
    pub revision: Revision,
}

/// A whole listing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// All endpoints.
    pub endpoints: Vec<ListedEndpoint>,
    /// Cordons: availability zones to whose endpoints nothing new is sent.
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
    /// An endpoint was removed from the list.
    Removed {
        /// Identity of the endpoint.
        id: String,
        /// Revision of the removal.
        revision: Revision,
    },
    /// Nothing new is to be sent to the endpoints of an availability zone.
    Cordoned(Cordon),
    /// The cordon of an availability zone was removed.
    Uncordoned(Cordon),
}

impl Change {
    /// The revision of the change.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Put(listed) => listed.revision,
            Self::Removed { revision, .. } => *revision,
            Self::Cordoned(cordon) | Self::Uncordoned(cordon) => cordon.revision,
        }
    }
}

/// A cordon of one availability zone, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    /// Name of the availability zone.
    pub zone: String,
    /// Revision at which it was written or removed.
    pub revision: Revision,
}
