//! The directory: the endpoints on the platform's list, kept through outages of that list, and the
//! availability zones that are cordoned.
//!
//! An entry disappears from the list for one of two reasons: the endpoint has left, or the list was
//! unavailable and the entry expired meanwhile. In the first case the endpoint must get no more
//! requests, in the second case it must stay in use. An entry that disappears while the list is
//! unavailable or shortly after is assumed to have expired.
//!
//! A store that was restored from an older copy has lost what was written since. What endpoints said
//! of their end survives that: an endpoint that said that it leaves stays so until another life of
//! it is listed. One that left is not used until its entry is written again, or has not disappeared
//! for longer than that of an endpoint which no longer writes. Entries that the copy lacks are
//! assumed to be written again soon.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use slotmap::{new_key_type, SlotMap};

use crate::announced::{
    is_other_incarnation, AnnouncedState, Announcement, DeclineReason, FormerIncarnations,
};
use crate::clock::Millis;
use crate::direct::cordons::Cordons;
use crate::direct::departed::{DepartedEndpoints, LostEnd, SaidEnd};
pub use crate::direct::listed::{Change, Cordon, Era, ListedEndpoint, Listing, Revision};
use crate::direct::origins::{Origin, SoftwareHistory};

/// Time within which live endpoints have written their entries again after the list became
/// available; the platform gives them about two seconds.
pub const LAPSE_GRACE: Millis = Millis(2_200);

/// Time after which the entry of an endpoint that left has disappeared from a restored store: longer
/// than the few check-ins of an endpoint after which the platform drops its entry. Where it has not,
/// the endpoint lives.
pub const DEPARTED_GRACE: Millis = Millis(10_000);

new_key_type! {
    /// Key of an endpoint in the directory; never reused for another endpoint.
    pub struct EndpointKey;
}

/// Age of the oldest copy that a store is restored from: of the endpoints that left since, entries
/// that start within that time of the restoration are told.
const MAX_COPY_AGE: Millis = Millis(60_000);

/// What the list says about whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts new requests.
    Ready,
    /// It only finishes the requests that it has.
    Draining,
    /// Its entry expired while the list was unavailable; it counts as ready until this time.
    Lapsed(Millis),
    /// It had left before the store was restored, and the copy still lists it; if it is listed at this
    /// time it lives.
    Departed(Millis),
    /// Its entry expired while the list was unavailable, and another endpoint has been listed at
    /// its address since: it has left for good.
    Displaced,
}

impl EndpointStatus {
    /// Whether an endpoint of this status accepts new requests.
    const fn is_accepting(self) -> bool {
        match self {
            Self::Ready | Self::Lapsed(_) => true,
            Self::Draining | Self::Departed(_) | Self::Displaced => false,
        }
    }
}

/// An endpoint, with what its list entries and its own announcements say about it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its newest list entry.
    pub listed: ListedEndpoint,
    /// Whether it accepts new requests according to the list.
    pub status: EndpointStatus,
    /// Digest of its identity and start time, which names it in messages between entries.
    pub digest: u32,
    /// The origin of streams that it begins.
    pub origin: Origin,
    /// What it has announced in its responses. The list does not override it: the list learns of a
    /// change later than this entry does, and not at all while the store is unavailable.
    pub announced: AnnouncedState,
    /// End of its warm-up according to its list entries, counted from when they were received; 0
    /// where none of them announced a warm-up.
    listed_warm_until: Millis,
    /// Revision at which the list said that it leaves; `None` where it takes new requests.
    leaving_since: Option<Revision>,
    /// When it may have started to warm up after its newest list entry was written; `None` where
    /// nothing suggests that.
    assumed_warm_up: Option<Millis>,
}

impl Endpoint {
    /// End of its listed or assumed warm-up, whichever is later; an assumed one takes `duration`. 0
    /// where neither the list nor an observation ever suggested a warm-up.
    pub fn warm_until(&self, duration: Millis) -> Millis {
        let assumed_end = self.assumed_warm_up.map(|at| at + duration);
        assumed_end.map_or(self.listed_warm_until, |until| {
            until.max(self.listed_warm_until)
        })
    }

    /// Whether it is warming up according to its list entries.
    pub fn is_listed_warming(&self, now: Millis) -> bool {
        now < self.listed_warm_until
    }

    /// Whether an entry is of another life of the endpoint, or of other software.
    fn is_other_life(&self, listed: &ListedEndpoint) -> bool {
        let origin = Origin::of(&listed.pool, &listed.software_version);
        origin != self.origin || is_other_incarnation(self.listed.born, listed.born)
    }

    /// Applies the remaining warm-up time of a newer list entry.
    fn update_warm_up(&mut self, warming: Millis, now: Millis) {
        let was_warming = now < self.listed_warm_until || self.assumed_warm_up.is_some();
        if warming > Millis(0) || was_warming {
            self.listed_warm_until = now + warming;
        }
        self.assumed_warm_up = None;
    }
}

/// First four bytes of the BLAKE3 hash of an endpoint's identity and its start time, if known. All
/// entries compute the same value. Endpoints with colliding digests would share what peers report
/// about them, which only makes estimates less accurate. An endpoint that is started again gets
/// another digest.
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

/// All endpoints that may accept requests or still have some.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: HashMap<String, EndpointKey>,
    by_digest: HashMap<u32, EndpointKey>,
    /// Announcements of endpoints that were removed.
    former: FormerIncarnations,
    departed: DepartedEndpoints,
    cordons: Cordons,
    /// Era of the list.
    era: Option<Era>,
    /// Since when cordons of former eras have been kept; `None` if there are none any more.
    former_cordons_since: Option<Millis>,
    /// When the list of this era became known; `None` where there was no list before.
    restored_at: Option<Millis>,
    software: SoftwareHistory,
    /// Whether the list can't be read now.
    unavailable: bool,
    /// When the list became available after its last outage; `None` before the first one.
    available_since: Option<Millis>,
}

impl Directory {
    /// Notes that the list can't be read; returns whether it could be before.
    pub fn list_unavailable(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailable, true)
    }

    /// Notes that the list can be read. After an outage, the grace of expired entries starts now.
    /// Returns whether there was one.
    pub fn list_available(&mut self, now: Millis) -> bool {
        if !self.unavailable {
            return false;
        }
        self.unavailable = false;
        self.available_since = Some(now);
        for endpoint in self.endpoints.values_mut() {
            if let EndpointStatus::Lapsed(until) = &mut endpoint.status {
                *until = now + LAPSE_GRACE;
            }
        }
        true
    }

    /// Notes that the list goes on in a later era: the store was restored from an older copy. Entries
    /// that the copy lacks are waited for as after an outage. Returns whether the era is new.
    pub fn begin_era(&mut self, era: Option<Era>, now: Millis) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        if self.endpoints.is_empty() {
            return false;
        }
        self.restored_at = Some(now);
        self.former_cordons_since = Some(now);
        self.available_since = Some(now);
        self.cordons.keep_former();
        true
    }

    /// Applies to an entry what survives a restoration of the store: marks it as draining where this
    /// life of the endpoint said so in a former era.
    pub fn carry_over(&self, listed: &mut ListedEndpoint) {
        let known = self.key(&listed.id).and_then(|key| self.get(key));
        let said_before = |since: Revision| since.era < listed.revision.era;
        listed.draining |= known.is_some_and(|known| {
            !known.is_other_life(listed) && known.leaving_since.is_some_and(said_before)
        });
    }

    /// What endpoints said of their ends that the restored store has lost: for an entry that has read
    /// nothing but the copy. None once all has been written again.
    pub fn lost_ends(&self, now: Millis) -> Vec<LostEnd> {
        let lately = |at: &Millis| now < *at + MAX_COPY_AGE;
        let Some(restored_at) = self.restored_at.filter(lately) else {
            return Vec::new();
        };
        // An entry of which the new era says nothing new keeps its revision of a former one.
        let said_before = |e: &&Endpoint| e.leaving_since.is_some_and(|since| since.era < self.era);
        let leaving = self.endpoints.values().filter(said_before);
        let leaving = leaving.map(|endpoint| LostEnd {
            id: endpoint.listed.id.clone(),
            born: endpoint.listed.born,
            said: SaidEnd::Leaves,
        });
        let left = self
            .departed
            .lost_ends(self.era, restored_at - MAX_COPY_AGE);
        leaving.chain(left).collect()
    }

    /// Applies an end that a peer knows and the restored store has lost.
    pub fn apply_lost_end(&mut self, end: LostEnd, now: Millis) {
        let known = self.by_id.get(&end.id).copied();
        let known = known.and_then(|key| Some((key, self.endpoints.get_mut(key)?)));
        let known = known.filter(|(_, e)| !is_other_incarnation(e.listed.born, end.born));
        match (end.said, known) {
            (SaidEnd::Leaves, Some((_, endpoint))) => {
                endpoint.leaving_since.get_or_insert(Revision::default());
                endpoint.listed.draining = true;
                endpoint.status = listed_status(&endpoint.listed);
            }
            (SaidEnd::Leaves, None) => {
                let leaves = AnnouncedState {
                    leaves: true,
                    ..AnnouncedState::default()
                };
                self.former.keep(&end.id, end.born, leaves, now);
            }
            (SaidEnd::Left { last_entry }, known) => {
                let listed = known.map(|(_, endpoint)| endpoint);
                if let Some(endpoint) = listed {
                    if endpoint.listed.revision.number != last_entry {
                        return;
                    }
                    endpoint.status = EndpointStatus::Departed(now + DEPARTED_GRACE);
                }
                self.departed.keep_lost(&end.id, end.born, last_entry, now);
            }
        }
    }

    /// Applies a change; returns the key of an endpoint that left for good or was started again.
    pub fn apply(&mut self, change: Change, now: Millis) -> Option<EndpointKey> {
        match change {
            Change::Put(listed) => {
                let removed_key = self.put(listed, now);
                self.mark_displaced();
                removed_key
            }
            Change::Removed { id, revision } => {
                let removed_key = self.entry_removed(&id, revision, now);
                self.mark_displaced();
                removed_key
            }
            Change::Cordoned(cordon) => {
                self.cordons.cordon(cordon);
                None
            }
            Change::Uncordoned(cordon) => {
                if self.cordons.uncordon(&cordon) {
                    self.assume_zone_warm_up(&cordon.zone, now);
                }
                None
            }
        }
    }

    /// Replaces everything by a complete listing whose read began at `revision`.
    ///
    /// Entries that it lacks have disappeared, unless they are newer than `revision`. Returns the
    /// keys of endpoints that left for good or were started again.
    pub fn replace(
        &mut self,
        all: impl Into<Listing>,
        revision: Revision,
        now: Millis,
    ) -> Vec<EndpointKey> {
        let all = all.into();
        let listed_ids: HashSet<String> = all.endpoints.iter().map(|l| l.id.clone()).collect();
        let mut removed_keys = Vec::new();
        for listed in all.endpoints {
            removed_keys.extend(self.put(listed, now));
        }
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !listed_ids.contains(*id))
            .cloned()
            .collect();
        let missing_ids = missing.iter();
        removed_keys.extend(missing_ids.filter_map(|id| self.entry_removed(id, revision, now)));
        self.software.record_gap(now);
        self.mark_displaced();
        self.replace_cordons(all.cordons, revision, now);
        removed_keys
    }

    /// Changes that lead from a list that is complete up to `before` to the cordons in force at
    /// `revision`.
    pub fn cordon_changes_to(
        &self,
        all: &[Cordon],
        before: Revision,
        revision: Revision,
    ) -> Vec<Change> {
        self.cordons.changes_to(all, before, revision)
    }

    /// Replaces all cordons by those in force at `revision`.
    fn replace_cordons(&mut self, all: Vec<Cordon>, revision: Revision, now: Millis) {
        for zone in self.cordons.replace(all, revision) {
            self.assume_zone_warm_up(&zone, now);
        }
    }

    /// Changes that lead from a list that is complete up to `before` to a complete listing whose
    /// read began at revision `begun`.
    pub fn changes_to(&self, all: &Listing, before: Revision, begun: Revision) -> Vec<Change> {
        let is_known = |l: &ListedEndpoint| before.era != begun.era && self.lists_same(l);
        let newer = all.endpoints.iter();
        let newer = newer.filter(|l| l.revision > before && !is_known(l));
        let listed_ids: HashSet<&str> = all.endpoints.iter().map(|l| l.id.as_str()).collect();
        let missing = self
            .by_id
            .keys()
            .filter(|id| !listed_ids.contains(id.as_str()));
        let removed = missing.map(|id| Change::Removed {
            id: id.clone(),
            revision: begun,
        });
        let cordons = self.cordons.changes_to(&all.cordons, before, begun);
        let endpoints = newer.cloned().map(Change::Put).chain(removed);
        endpoints.chain(cordons).collect()
    }

    /// Whether the list says the same of an endpoint already, at whatever revision.
    fn lists_same(&self, listed: &ListedEndpoint) -> bool {
        let Some(known) = self.key(&listed.id).and_then(|key| self.get(key)) else {
            return false;
        };
        let dated = ListedEndpoint {
            revision: known.listed.revision,
            ..listed.clone()
        };
        // A warm-up that is told again starts again, unless the entry is that of the copy.
        let is_copied = known.listed.revision.number == listed.revision.number;
        let is_warm = listed.warming == Millis(0);
        known.status == listed_status(listed) && known.listed == dated && (is_warm || is_copied)
    }

    /// Marks expired entries as displaced where another endpoint has been listed at their address
    /// since. Requests for them would reach that endpoint, which refuses them and may have asked
    /// this instance to back off.
    fn mark_displaced(&mut self) {
        let is_lapsed = |e: &Endpoint| matches!(e.status, EndpointStatus::Lapsed(_));
        // The copy of a restored store lists endpoints that left, before one that has their address.
        let is_departed = |e: &Endpoint| matches!(e.status, EndpointStatus::Departed(_));
        if !self.endpoints.values().any(is_lapsed) {
            return;
        }
        let mut listed: HashMap<SocketAddr, Revision> = HashMap::new();
        let present = self.endpoints.values();
        for endpoint in present.filter(|e| !is_lapsed(e) && !is_departed(e)) {
            let newest = listed.entry(endpoint.listed.address).or_default();
            *newest = endpoint.listed.revision.max(*newest);
        }
        for endpoint in self.endpoints.values_mut().filter(|e| is_lapsed(e)) {
            let newest = listed.get(&endpoint.listed.address);
            if newest.is_some_and(|newest| *newest > endpoint.listed.revision) {
                endpoint.status = EndpointStatus::Displaced;
            }
        }
    }

    /// Ends the cordons that the restored store does not list, once operators have had time to write
    /// them again; returns their zones.
    pub fn expire_cordons(&mut self, now: Millis) -> Vec<String> {
        let is_over = |at: Millis| now >= at + LAPSE_GRACE;
        if !self.former_cordons_since.is_some_and(is_over) {
            return Vec::new();
        }
        self.former_cordons_since = None;
        let ended = self.cordons.end_former(self.era);
        for zone in &ended {
            self.assume_zone_warm_up(zone, now);
        }
        ended
    }

    /// Removes displaced endpoints and those whose grace after an outage has ended, and returns
    /// their keys. Does nothing while the list is unavailable.
    pub fn expire(&mut self, now: Millis) -> Vec<EndpointKey> {
        let expired: Vec<EndpointKey> = self
            .endpoints
            .iter()
            .filter(|(_, e)| match e.status {
                EndpointStatus::Lapsed(until) => now >= until,
                EndpointStatus::Displaced => true,
                EndpointStatus::Ready | EndpointStatus::Draining => false,
                EndpointStatus::Departed(_) => false,
            })
            .map(|(key, _)| key)
            .collect();
        if self.unavailable {
            return Vec::new();
        }
        self.readmit_departed(now);
        for key in &expired {
            self.remove(*key, now);
        }
        expired
    }

    /// Takes departed endpoints for alive whose entries have not disappeared in time.
    fn readmit_departed(&mut self, now: Millis) {
        for endpoint in self.endpoints.values_mut() {
            if matches!(endpoint.status, EndpointStatus::Departed(until) if now >= until) {
                endpoint.status = listed_status(&endpoint.listed);
                self.departed.forget(&endpoint.listed.id);
            }
        }
    }

    /// Notes that endpoints may have come and gone unnoticed.
    pub fn record_gap(&mut self, now: Millis) {
        self.software.record_gap(now);
    }

    /// The software versions of the endpoints, and of those that have left.
    pub fn software(&self) -> &SoftwareHistory {
        &self.software
    }

    /// Whether any pool has had endpoints of several software versions since a time.
    pub fn has_several_versions(&self, since: Millis) -> bool {
        self.software.has_several(since)
    }

    /// The endpoint with this key; `None` once it has been removed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Whether an endpoint may be sent new requests now; false once it has been removed.
    pub fn accepts_requests(&self, key: EndpointKey, now: Millis) -> bool {
        self.get(key).is_some_and(|e| self.is_accepting(e, now))
    }

    /// Records what an endpoint announced in a response; a requested back-off is limited to
    /// `longest`. Returns what it had announced before; `None` once it has been removed.
    pub fn record_announcement(
        &mut self,
        key: EndpointKey,
        announcement: Announcement,
        now: Millis,
        longest: Millis,
    ) -> Option<AnnouncedState> {
        let endpoint = self.endpoints.get_mut(key)?;
        let before = endpoint.announced;
        endpoint.announced.apply(announcement, now, longest);
        Some(before)
    }

    /// Whether an availability zone is cordoned, so that its endpoints get no new requests.
    pub fn is_cordoned(&self, zone: &str) -> bool {
        self.cordons.has(zone)
    }

    /// Notes that an endpoint may have started to warm up although its list entry does not say so.
    pub fn assume_warm_up(&mut self, key: EndpointKey, now: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.assumed_warm_up = Some(now);
        }
    }

    /// Endpoints of a pool that may be sent new requests now.
    pub fn available_in_pool<'a>(
        &'a self,
        pool: &'a str,
        now: Millis,
    ) -> impl Iterator<Item = (EndpointKey, &'a Endpoint)> + 'a {
        let all = self.endpoints.iter();
        all.filter(move |(_, e)| e.listed.pool == pool && self.is_accepting(e, now))
    }

    /// Earliest end of a back-off that an endpoint of the pool has asked for, among those that
    /// accept requests again after it; `None` where there is none.
    pub fn earliest_backoff_end(&self, pool: &str, now: Millis) -> Option<Millis> {
        let of_pool = self.endpoints.values().filter(|e| e.listed.pool == pool);
        let backing_off =
            of_pool.filter(|e| e.announced.decline_reason(now) == Some(DeclineReason::Rests));
        let backing_off = backing_off.filter(|e| self.is_accepting(e, e.announced.rests_until));
        backing_off.map(|e| e.announced.rests_until).min()
    }

    /// The platform's list as of the newest changes: all endpoints except those whose entries have
    /// expired, and the cordons.
    pub fn listing(&self) -> Listing {
        let is_listed = |e: &&Endpoint| {
            use EndpointStatus::{Departed, Draining, Ready};
            matches!(e.status, Ready | Draining | Departed(_))
        };
        let listed = self.endpoints.values().filter(is_listed);
        Listing {
            endpoints: listed.map(|e| e.listed.clone()).collect(),
            cordons: self.cordons.active().collect(),
        }
    }

    /// Number of endpoints in the smallest pool; 0 where there are none.
    pub fn smallest_pool_size(&self) -> usize {
        let mut counts: HashMap<&str, usize> = HashMap::new();
        for endpoint in self.endpoints.values() {
            *counts.entry(&endpoint.listed.pool).or_default() += 1;
        }
        counts.into_values().min().unwrap_or(0)
    }

    /// All endpoints, whatever their status.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Key of the endpoint with this identity.
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.by_id.get(id).copied()
    }

    /// Key of the endpoint with this [`digest`].
    pub fn by_digest(&self, digest: u32) -> Option<EndpointKey> {
        self.by_digest.get(&digest).copied()
    }

    /// Whether an endpoint accepts new requests according to both the list and its own
    /// announcements, and its availability zone is not cordoned.
    fn is_accepting(&self, endpoint: &Endpoint, now: Millis) -> bool {
        let is_willing = endpoint.announced.decline_reason(now).is_none();
        is_willing && endpoint.status.is_accepting() && !self.cordons.has(&endpoint.listed.zone)
    }

    /// Notes that the endpoints of a zone that was uncordoned may have to warm up.
    fn assume_zone_warm_up(&mut self, zone: &str, now: Millis) {
        let of_zone = self
            .endpoints
            .values_mut()
            .filter(|e| e.listed.zone == zone);
        for endpoint in of_zone {
            endpoint.assumed_warm_up = Some(now);
        }
    }

    /// Adds or updates an endpoint, unless a newer entry of it is known. Where the endpoint was
    /// started again or has other software, it gets a new key and the old one is returned, because the new process has
    /// neither the requests nor the memory of the old one.
    fn put(&mut self, mut listed: ListedEndpoint, now: Millis) -> Option<EndpointKey> {
        self.carry_over(&mut listed);
        let is_departed = self.departed.is_copied(&listed);
        let known = self.by_id.get(&listed.id).copied();
        let Some(key) = known else {
            self.insert(listed, is_departed, now);
            return None;
        };
        let endpoint = self.endpoints.get_mut(key)?;
        if endpoint.listed.revision > listed.revision {
            return None;
        }
        if endpoint.is_other_life(&listed) {
            self.remove(key, now);
            self.insert(listed, false, now);
            return Some(key);
        }
        let is_copied = endpoint.listed.revision.era < listed.revision.era
            && endpoint.listed.revision.number == listed.revision.number;
        if endpoint.listed.revision < listed.revision && !is_copied {
            endpoint.update_warm_up(listed.warming, now);
        }
        endpoint.status = match endpoint.status {
            EndpointStatus::Departed(until) if is_departed => EndpointStatus::Departed(until),
            _ => listed_status(&listed),
        };
        endpoint.leaving_since = listed
            .draining
            .then(|| endpoint.leaving_since.unwrap_or(listed.revision));
        let born = listed.born.or(endpoint.listed.born);
        endpoint.listed = ListedEndpoint { born, ..listed };
        if !is_departed {
            let id = endpoint.listed.id.clone();
            self.departed.forget(&id);
        }
        None
    }

    /// Adds an endpoint; `is_departed` says whether it had left before the store was restored.
    fn insert(&mut self, listed: ListedEndpoint, is_departed: bool, now: Millis) {
        let id = listed.id.clone();
        let digest = digest(&id, listed.born);
        if !is_departed {
            self.departed.forget(&id);
        }
        let mut endpoint = Endpoint {
            digest,
            origin: Origin::of(&listed.pool, &listed.software_version),
            status: match is_departed {
                true => EndpointStatus::Departed(now + DEPARTED_GRACE),
                false => listed_status(&listed),
            },
            announced: self.former.take(&id, listed.born),
            leaving_since: listed.draining.then_some(listed.revision),
            listed,
            listed_warm_until: Millis(0),
            assumed_warm_up: None,
        };
        endpoint.update_warm_up(endpoint.listed.warming, now);
        self.software.added(endpoint.origin);
        let key = self.endpoints.insert(endpoint);
        self.by_digest.insert(digest, key);
        self.by_id.insert(id, key);
    }

    /// Handles an entry that disappeared: during an outage of the list or shortly after, a ready
    /// endpoint that has not announced its end stays in use for a grace. Otherwise the endpoint is
    /// removed, and its key is returned.
    fn entry_removed(&mut self, id: &str, revision: Revision, now: Millis) -> Option<EndpointKey> {
        let key = *self.by_id.get(id)?;
        let endpoint = self.endpoints.get_mut(key)?;
        let was_removed = matches!(
            endpoint.status,
            EndpointStatus::Lapsed(_) | EndpointStatus::Displaced
        );
        if endpoint.listed.revision > revision || was_removed {
            return None;
        }
        let grace_end = match self.available_since {
            _ if self.unavailable => Some(now + LAPSE_GRACE),
            Some(at) if now < at + LAPSE_GRACE => Some(at + LAPSE_GRACE),
            _ => None,
        };
        match grace_end {
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
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.software.removed(endpoint.origin, now);
            self.departed.keep(&endpoint.listed, now);
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
