//! The directory: endpoints as the platform lists them, with the gaps of its outages bridged, and the
//! availability zones that are cordoned.
//!
//! Entries disappear from the platform's list for two reasons: the endpoint has left, or the list
//! was away and the entry lapsed meanwhile. The first must be obeyed at once, the second must not.
//! They are told apart by whether the list was away shortly before.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use slotmap::{new_key_type, SlotMap};

use crate::announced::{
    is_other_incarnation, AnnouncedState, Announcement, DeclineReason, FormerIncarnations,
};
use crate::clock::Millis;
use crate::direct::cordons::Cordons;
pub use crate::direct::listed::{Change, Cordon, ListedEndpoint, Listing, Revision};

/// Time after the list's return within which live endpoints have written their entries again;
/// the platform gives them about two seconds.
pub const LAPSE_GRACE: Millis = Millis(2_200);

new_key_type! {
    /// An endpoint in the directory; never used again for another one.
    pub struct EndpointKey;
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// Its entry disappeared while the list was away; it counts as ready until then.
    Lapsed(Millis),
    /// The same, and another endpoint has been listed at its address since: it has left for good.
    Displaced,
}

impl EndpointStatus {
    /// Whether an endpoint that stands so takes new work.
    const fn is_open(self) -> bool {
        match self {
            Self::Ready | Self::Lapsed(_) => true,
            Self::Draining | Self::Displaced => false,
        }
    }
}

/// An endpoint and what follows from its entries.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its newest entry.
    pub listed: ListedEndpoint,
    /// Whether it takes new work.
    pub status: EndpointStatus,
    /// Digest of this life of it, for messages between entries.
    pub digest: u32,
    /// What it has announced of itself. No word of the list takes that back: the list hears later than the callers
    /// of the endpoint, and not at all while the store is away.
    pub announced: AnnouncedState,
    /// Until when it warms up by its entries, counted from when they were taken; 0 where none said so.
    told_warm_at: Millis,
    /// When something showed that it may have begun to warm up since its newest entry.
    doubted: Option<Millis>,
}

impl Endpoint {
    /// Until when it is taken to warm up, where that takes `time` from its beginning; 0 where nothing ever
    /// said that it does.
    pub fn warm_until(&self, time: Millis) -> Millis {
        let doubted = self.doubted.map(|at| at + time);
        doubted.map_or(self.told_warm_at, |until| until.max(self.told_warm_at))
    }

    /// Whether it warms up by its own entries.
    pub fn is_listed_warming(&self, now: Millis) -> bool {
        now < self.told_warm_at
    }

    /// Takes what a newer entry says of warming up.
    fn hear_warming(&mut self, warming: Millis, now: Millis) {
        let was_warming = now < self.told_warm_at || self.doubted.is_some();
        if warming > Millis(0) || was_warming {
            self.told_warm_at = now + warming;
        }
        self.doubted = None;
    }
}

/// First four bytes of the BLAKE3 hash of an identity and its life; equal in all entries. Two endpoints of
/// one digest would share what peers tell of them, which is soft; two lives of one endpoint don't.
pub fn digest(id: &str, born: Option<u64>) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(id.as_bytes());
    if let Some(born) = born {
        hasher.update(&born.to_be_bytes());
    }
    let hash = hasher.finalize();
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
    former: FormerIncarnations,
    cordons: Cordons,
    /// Whether the list can't be read now.
    away: bool,
    /// When it could be read again after it was away last.
    returned: Option<Millis>,
}

impl Directory {
    /// The list can't be read.
    pub fn list_unavailable(&mut self) {
        self.away = true;
    }

    /// The list answers (again).
    pub fn list_available(&mut self, now: Millis) {
        if !self.away {
            return;
        }
        self.away = false;
        self.returned = Some(now);
        for endpoint in self.arena.values_mut() {
            if let EndpointStatus::Lapsed(until) = &mut endpoint.status {
                *until = now + LAPSE_GRACE;
            }
        }
    }

    /// Takes a change; returns the key of an endpoint that left for good, or whose life is over.
    pub fn apply(&mut self, change: Change, now: Millis) -> Option<EndpointKey> {
        match change {
            Change::Put(listed) => {
                let gone = self.put(listed, now);
                self.displace();
                gone
            }
            Change::Removed { id, revision } => {
                let gone = self.removed(&id, revision, now);
                self.displace();
                gone
            }
            Change::Cordoned(cordon) => {
                self.cordons.cordon(cordon);
                None
            }
            Change::Uncordoned(cordon) => {
                if self.cordons.uncordon(&cordon) {
                    self.doubt_zone(&cordon.zone, now);
                }
                None
            }
        }
    }

    /// Replaces everything by a whole listing that was begun at `revision`.
    ///
    /// Entries that it does not hold have disappeared; returns the keys of endpoints that left for good, or
    /// whose life is over.
    pub fn replace(
        &mut self,
        all: impl Into<Listing>,
        revision: Revision,
        now: Millis,
    ) -> Vec<EndpointKey> {
        let all = all.into();
        let held: HashSet<String> = all.endpoints.iter().map(|l| l.id.clone()).collect();
        let mut gone = Vec::new();
        for listed in all.endpoints {
            gone.extend(self.put(listed, now));
        }
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !held.contains(*id))
            .cloned()
            .collect();
        let left = missing.iter();
        gone.extend(left.filter_map(|id| self.removed(id, revision, now)));
        self.displace();
        self.replace_cordons(all.cordons, revision, now);
        gone
    }

    /// What the cordons that stood at `revision` change in a list that is complete up to `before`.
    pub fn cordon_changes_to(
        &self,
        all: &[Cordon],
        before: Revision,
        revision: Revision,
    ) -> Vec<Change> {
        self.cordons.changes_to(all, before, revision)
    }

    /// Replaces all cordons by those that stood at `revision`.
    fn replace_cordons(&mut self, all: Vec<Cordon>, revision: Revision, now: Millis) {
        for zone in self.cordons.replace(all, revision) {
            self.doubt_zone(&zone, now);
        }
    }

    /// What a whole listing that was begun at `begun` changes in a list that is complete up to `before`.
    pub fn changes_to(&self, all: &Listing, before: Revision, begun: Revision) -> Vec<Change> {
        let newer = all.endpoints.iter().filter(|l| l.revision > before);
        let held: HashSet<&str> = all.endpoints.iter().map(|l| l.id.as_str()).collect();
        let missing = self.by_id.keys().filter(|id| !held.contains(id.as_str()));
        let removed = missing.map(|id| Change::Removed {
            id: id.clone(),
            revision: begun,
        });
        let cordons = self.cordons.changes_to(&all.cordons, before, begun);
        let endpoints = newer.cloned().map(Change::Put).chain(removed);
        endpoints.chain(cordons).collect()
    }

    /// Finds lapsed entries whose address another endpoint has been listed at since. What is sent for them reaches that
    /// one, though it may rest, and is refused there.
    fn displace(&mut self) {
        let is_lapsed = |e: &Endpoint| matches!(e.status, EndpointStatus::Lapsed(_));
        if !self.arena.values().any(is_lapsed) {
            return;
        }
        let mut listed: HashMap<SocketAddr, Revision> = HashMap::new();
        for endpoint in self.arena.values().filter(|e| !is_lapsed(e)) {
            let newest = listed.entry(endpoint.listed.address).or_default();
            *newest = endpoint.listed.revision.max(*newest);
        }
        for endpoint in self.arena.values_mut().filter(|e| is_lapsed(e)) {
            let newest = listed.get(&endpoint.listed.address);
            if newest.is_some_and(|newest| *newest > endpoint.listed.revision) {
                endpoint.status = EndpointStatus::Displaced;
            }
        }
    }

    /// Ends the grace of lapsed entries; returns those that left for good.
    pub fn expire(&mut self, now: Millis) -> Vec<EndpointKey> {
        let over: Vec<EndpointKey> = self
            .arena
            .iter()
            .filter(|(_, e)| match e.status {
                EndpointStatus::Lapsed(until) => now >= until,
                EndpointStatus::Displaced => true,
                EndpointStatus::Ready | EndpointStatus::Draining => false,
            })
            .map(|(key, _)| key)
            .collect();
        if self.away {
            return Vec::new();
        }
        for key in &over {
            self.remove(*key, now);
        }
        over
    }

    /// An endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.arena.get(key)
    }

    /// Whether an endpoint may be given new work now.
    pub fn takes_work(&self, key: EndpointKey, now: Millis) -> bool {
        self.get(key).is_some_and(|e| self.is_open(e, now))
    }

    /// An endpoint announced something of itself, of which a time is believed for `longest` at most; what it had
    /// announced before.
    pub fn record_announcement(
        &mut self,
        key: EndpointKey,
        announcement: Announcement,
        now: Millis,
        longest: Millis,
    ) -> Option<AnnouncedState> {
        let endpoint = self.arena.get_mut(key)?;
        let before = endpoint.announced;
        endpoint.announced.apply(announcement, now, longest);
        Some(before)
    }

    /// Whether nothing new is sent to the endpoints of an availability zone.
    pub fn is_cordoned(&self, zone: &str) -> bool {
        self.cordons.contains(zone)
    }

    /// An endpoint may have begun to warm up without its entry saying so.
    pub fn assume_warm_up(&mut self, key: EndpointKey, now: Millis) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.doubted = Some(now);
        }
    }

    /// Endpoints of a pool that take new work.
    pub fn available_in_pool<'a>(
        &'a self,
        pool: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + 'a {
        let all = self.arena.iter();
        all.filter(move |(_, e)| e.listed.pool == pool && self.is_open(e, now))
    }

    /// When the first endpoint of a pool has rested that would take work otherwise; `None` where none rests.
    pub fn earliest_backoff_end(&self, pool: &str, now: Millis) -> Option<Millis> {
        let of_pool = self.arena.values().filter(|e| e.listed.pool == pool);
        let resting =
            of_pool.filter(|e| e.announced.decline_reason(now) == Some(DeclineReason::Rests));
        let resting = resting.filter(|e| self.is_open(e, e.announced.rests_until));
        resting.map(|e| e.announced.rests_until).min()
    }

    /// What the platform's list held by the newest changes: all endpoints but those whose entries lapsed, and the cordons.
    pub fn listing(&self) -> Listing {
        let is_listed =
            |e: &&Endpoint| matches!(e.status, EndpointStatus::Ready | EndpointStatus::Draining);
        let listed = self.arena.values().filter(is_listed);
        Listing {
            endpoints: listed.map(|e| e.listed.clone()).collect(),
            cordons: self.cordons.active().collect(),
        }
    }

    /// Endpoints of the smallest pool; 0 where there is none.
    pub fn smallest_pool_size(&self) -> usize {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for endpoint in self.arena.values() {
            *counts.entry(&endpoint.listed.pool).or_default() += 1;
        }
        counts.into_values().min().unwrap_or(0)
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

    /// Whether an endpoint takes new work by the list and by its own word, and its availability zone is not cordoned.
    fn is_open(&self, endpoint: &Endpoint, now: Millis) -> bool {
        let is_willing = endpoint.announced.decline_reason(now).is_none();
        is_willing && endpoint.status.is_open() && !self.cordons.contains(&endpoint.listed.zone)
    }

    /// The endpoints of a zone that takes work again may have to warm up.
    fn doubt_zone(&mut self, zone: &str, now: Millis) {
        let of_zone = self.arena.values_mut().filter(|e| e.listed.zone == zone);
        for endpoint in of_zone {
            endpoint.doubted = Some(now);
        }
    }

    /// Takes an entry unless a newer one of the same endpoint is known. Returns the key of an earlier life
    /// of the endpoint: the new one holds and knows nothing of what that had.
    fn put(&mut self, listed: ListedEndpoint, now: Millis) -> Option<EndpointKey> {
        let known = self.by_id.get(&listed.id).copied();
        let Some(key) = known else {
            self.insert(listed, now);
            return None;
        };
        let endpoint = self.arena.get_mut(key)?;
        if endpoint.listed.revision > listed.revision {
            return None;
        }
        if is_other_incarnation(endpoint.listed.born, listed.born) {
            self.remove(key, now);
            self.insert(listed, now);
            return Some(key);
        }
        if endpoint.listed.revision < listed.revision {
            endpoint.hear_warming(listed.warming, now);
        }
        endpoint.status = listed_status(&listed);
        let born = listed.born.or(endpoint.listed.born);
        endpoint.listed = ListedEndpoint { born, ..listed };
        None
    }

    fn insert(&mut self, listed: ListedEndpoint, now: Millis) {
        let id = listed.id.clone();
        let digest = digest(&id, listed.born);
        let mut endpoint = Endpoint {
            digest,
            status: listed_status(&listed),
            announced: self.former.take(&id, listed.born),
            listed,
            told_warm_at: Millis(0),
            doubted: None,
        };
        endpoint.hear_warming(endpoint.listed.warming, now);
        let key = self.arena.insert(endpoint);
        self.by_digest.insert(digest, key);
        self.by_id.insert(id, key);
    }

    /// An entry disappeared: the endpoint has left, or its entry lapsed while the list was away.
    /// Returns the key of an endpoint that left for good.
    fn removed(&mut self, id: &str, revision: Revision, now: Millis) -> Option<EndpointKey> {
        let key = *self.by_id.get(id)?;
        let endpoint = self.arena.get_mut(key)?;
        let was_removed = matches!(
            endpoint.status,
            EndpointStatus::Lapsed(_) | EndpointStatus::Displaced
        );
        if endpoint.listed.revision > revision || was_removed {
            return None;
        }
        let lapsed = match self.returned {
            _ if self.away => Some(now + LAPSE_GRACE),
            Some(at) if now < at + LAPSE_GRACE => Some(at + LAPSE_GRACE),
            _ => None,
        };
        match lapsed {
            Some(until)
                if endpoint.status == EndpointStatus::Ready && !endpoint.announced.leaves =>
            {
                endpoint.status = EndpointStatus::Lapsed(until);
                None
            }
            _ => {
                self.remove(key, now);
                Some(key)
            }
        }
    }

    fn remove(&mut self, key: EndpointKey, now: Millis) {
        if let Some(endpoint) = self.arena.remove(key) {
            let ListedEndpoint { id, born, .. } = &endpoint.listed;
            self.former.keep(id, *born, endpoint.announced, now);
            self.by_id.remove(id);
            self.by_digest.remove(&endpoint.digest);
        }
    }
}

const fn listed_status(listed: &ListedEndpoint) -> EndpointStatus {
    if listed.draining {
        EndpointStatus::Draining
    } else {
        EndpointStatus::Ready
    }
}
