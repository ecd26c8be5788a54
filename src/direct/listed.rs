//! The platform's list: endpoints, cordons of availability zones, and changes of either.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Number of a history of the platform's documents. When the store is restored from an older copy,
/// the history since then is lost and another one begins, with the next higher number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// A point in the history of the platform's documents; a later point is greater. A restored store
/// gives numbers out again, so the era goes first.
///
/// It is encoded as its number alone, as entries of earlier builds expect. Messages between entries
/// append the eras.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision {
    /// The era; `None` where the store names none.
    #[serde(skip)]
    pub era: Option<Era>,
    /// The number that the store gave out.
    pub number: u64,
}

impl Revision {
    /// The revision with this number in an era.
    pub const fn new(era: Option<Era>, number: u64) -> Self {
        Self { era, number }
    }
}

impl From<u64> for Revision {
    /// The revision with this number of a store that names no era.
    fn from(number: u64) -> Self {
        Self::new(None, number)
    }
}

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
    /// The revision of the change, to be altered.
    pub fn revision_mut(&mut self) -> &mut Revision {
        match self {
            Self::Put(listed) => &mut listed.revision,
            Self::Removed { revision, .. } => revision,
            Self::Cordoned(cordon) | Self::Uncordoned(cordon) => &mut cordon.revision,
        }
    }

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
