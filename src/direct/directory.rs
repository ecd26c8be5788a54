//! The directory: endpoints as the platform lists them, with the gaps of its outages bridged.
//!
//! Entries disappear from the platform's list for two reasons: the endpoint has left, or the list
//! was away and the entry lapsed meanwhile. The first must be obeyed at once, the second must not.
//! They are told apart by whether the list was away shortly before.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use slotmap::{new_key_type, SlotMap};

use crate::clock::Millis;

/// Time after the list's return within which live endpoints have written their entries again;
/// the platform gives them about two seconds.
pub const LAPSE_GRACE: Millis = Millis(2_200);

new_key_type! {
    /// An endpoint in the directory; never used again for another one.
    pub struct EndpointKey;
}

/// A point in the history of the platform's documents.
pub type Revision = u64;

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// Its entry disappeared while the list was away; it counts as ready until then.
    Lapsed(Millis),
}

/// One endpoint as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
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
    /// Time for which it is still slow after its start.
    pub warming: Millis,
    /// Where in the history this entry was written.
    pub revision: Revision,
}

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An endpoint was added or changed.
    Put(Listed),
    /// An entry disappeared.
    Removed {
        /// Identity of the endpoint.
        id: String,
        /// When.
        revision: Revision,
    },
}

impl Change {
    /// Where in the history it stands.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Put(listed) => listed.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// An endpoint and what follows from its entries.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its newest entry.
    pub listed: Listed,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Digest of its identity, for messages between entries.
    pub digest: u32,
}

/// First four bytes of an identity's BLAKE3 hash; equal in all entries. Two endpoints of one digest
/// would share what peers tell of them, which is soft.
pub fn digest(id: &str) -> u32 {
    let hash = blake3::hash(id.as_bytes());
    let mut head = [0; 4];
    head.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_be_bytes(head)
}

/// All endpoints that may take work or have some.
#[derive(Debug, Default)]
pub struct Directory {
    arena: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<String, EndpointKey>,
    by_digest: HashMap<u32, EndpointKey>,
    /// Whether the list can't be read now.
    away: bool,
    /// When it could be read again after it was away last.
    returned: Option<Millis>,
}

impl Directory {
    /// The list can't be read.
    pub fn list_away(&mut self) {
        self.away = true;
    }

    /// The list answers (again).
    pub fn list_answers(&mut self, now: Millis) {
        if !self.away {
            return;
        }
        self.away = false;
        self.returned = Some(now);
        for endpoint in self.arena.values_mut() {
            if let Standing::Lapsed(until) = &mut endpoint.standing {
                *until = now + LAPSE_GRACE;
            }
        }
    }

    /// Takes a change; returns the key of an endpoint that left for good.
    pub fn apply(&mut self, change: Change, now: Millis) -> Option<EndpointKey> {
        match change {
            Change::Put(listed) => {
                self.put(listed);
                None
            }
            Change::Removed { id, revision } => self.removed(&id, revision, now),
        }
    }

    /// Replaces everything by a whole listing that was begun at `revision`.
    ///
    /// Entries that it does not hold have disappeared; returns those that left for good.
    pub fn replace(
        &mut self,
        all: Vec<Listed>,
        revision: Revision,
        now: Millis,
    ) -> Vec<EndpointKey> {
        let held: Vec<String> = all.iter().map(|listed| listed.id.clone()).collect();
        for listed in all {
            self.put(listed);
        }
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !held.contains(id))
            .cloned()
            .collect();
        missing
            .iter()
            .filter_map(|id| self.removed(id, revision, now))
            .collect()
    }

    /// What a whole listing that was begun at `begun` changes in a list that is complete up to `before`.
    pub fn changes_to(&self, all: &[Listed], before: Revision, begun: Revision) -> Vec<Change> {
        let newer = all.iter().filter(|listed| listed.revision > before);
        let held: HashSet<&str> = all.iter().map(|listed| listed.id.as_str()).collect();
        let missing = self.by_id.keys().filter(|id| !held.contains(id.as_str()));
        let removed = missing.map(|id| Change::Removed {
            id: id.clone(),
            revision: begun,
        });
        newer.cloned().map(Change::Put).chain(removed).collect()
    }

    /// Ends the grace of lapsed entries; returns those that left for good.
    pub fn expire(&mut self, now: Millis) -> Vec<EndpointKey> {
        let over: Vec<EndpointKey> = self
            .arena
            .iter()
            .filter(|(_, e)| matches!(e.standing, Standing::Lapsed(until) if now >= until))
            .map(|(key, _)| key)
            .collect();
        if self.away {
            return Vec::new();
        }
        for key in &over {
            self.remove(*key);
        }
        over
    }

    /// An endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key)
    }

    /// Whether an endpoint may be given new work now.
    pub fn takes_work(&self, key: EndpointKey) -> bool {
        self.get(key)
            .is_some_and(|endpoint| endpoint.standing != Standing::Draining)
    }

    /// Endpoints of a pool that take new work.
    pub fn of_pool<'a>(
        &'a self,
        pool: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + 'a {
        self.arena.iter().filter(move |(_, endpoint)| {
            endpoint.listed.pool == pool && endpoint.standing != Standing::Draining
        })
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.arena.iter()
    }

    /// Key of an endpoint by its identity.
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Key of an endpoint by the digest of its identity.
    pub fn by_digest(&self, digest: u32) -> Option<EndpointKey> {
        self.by_digest.get(&digest).copied()
    }

    /// Takes an entry unless a newer one of the same endpoint is known.
    fn put(&mut self, listed: Listed) {
        let standing = if listed.draining {
            Standing::Draining
        } else {
            Standing::Ready
        };
        let known = self.by_id.get(&listed.id).copied();
        match known.and_then(|key| self.arena.get_mut(key)) {
            Some(endpoint) if endpoint.listed.revision > listed.revision => {}
            Some(endpoint) => {
                endpoint.standing = standing;
                endpoint.listed = listed;
            }
            None => {
                let id = listed.id.clone();
                let digest = digest(&id);
                let key = self.arena.insert(Endpoint {
                    digest,
                    listed,
                    standing,
                });
                self.by_digest.insert(digest, key);
                self.by_id.insert(id, key);
            }
        }
    }

    /// An entry disappeared: the endpoint has left, or its entry lapsed while the list was away.
    /// Returns the key of an endpoint that left for good.
    fn removed(&mut self, id: &str, revision: Revision, now: Millis) -> Option<EndpointKey> {
        let key = *self.by_id.get(id)?;
        let endpoint = self.arena.get_mut(key)?;
        if endpoint.listed.revision > revision || matches!(endpoint.standing, Standing::Lapsed(_)) {
            return None;
        }
        let lapsed = match self.returned {
            _ if self.away => Some(now + LAPSE_GRACE),
            Some(at) if now < at + LAPSE_GRACE => Some(at + LAPSE_GRACE),
            _ => None,
        };
        match lapsed {
            Some(until) if endpoint.standing == Standing::Ready => {
                endpoint.standing = Standing::Lapsed(until);
                None
            }
            _ => {
                self.remove(key);
                Some(key)
            }
        }
    }

    fn remove(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.arena.remove(key) {
            self.by_id.remove(&endpoint.listed.id);
            self.by_digest.remove(&endpoint.digest);
        }
    }
}
