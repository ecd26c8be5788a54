//! What an entry knows of the platform: the configuration, the list of endpoints, and how fresh
//! both are.

use std::cell::Ref;
use std::rc::Rc;

use super::{Entry, ListSource};
use crate::clock::Millis;
use crate::direct::catalog::Catalog;
use crate::direct::changes::ChangeBatch;
use crate::direct::decision::Decision;
use crate::direct::dialect::{ParsedRequest, UnreadableEntry};
use crate::direct::directory::Cordon;
use crate::direct::directory::{Change, Directory, EndpointStatus, Era, Listing, Revision};
use crate::direct::freshness::Freshness;
use crate::direct::patch::Patch;
use crate::direct::resolve::{resolve, Allowed, CatalogState, Denied};
use crate::direct::versions::{self, EncodedPatch, VersionUpdate};

/// Most keys of unreadable store entries that are remembered, so that each is logged once.
const MAX_UNREADABLE_KEYS: usize = 1_000;

/// Time for which a later version that a peer has is waited for. It is fetched within some ms; a peer
/// that ended with it does not keep requests with a key from being served.
const LOST_VERSION_WAIT: Millis = Millis(5_000);

impl Entry {
    /// The configuration in force; `None` before the first one.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// The encoded update from version `version` to the configuration in force, for a peer; `None`
    /// if there is none.
    pub fn catalog_since(&self, version: u64) -> Option<Vec<u8>> {
        let catalog = self.catalog()?;
        self.version_log.borrow().since(version, &catalog)
    }

    /// Version of the configuration in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |c| c.version)
    }

    /// When the configuration in force was last proven to be the newest.
    pub fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// Age of that proof; `None` if there has been none.
    pub fn proof_age(&self) -> Option<Millis> {
        self.freshness.get().age(self.clock.now())
    }

    /// The listed endpoints.
    pub fn directory(&self) -> Ref<'_, Directory> {
        self.directory.borrow()
    }

    /// Whether a whole list of endpoints has ever been applied.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Store revision up to which the list of endpoints is complete here.
    pub fn list_revision(&self) -> Revision {
        self.list_revision.get()
    }

    /// Era in which the configuration in force was written, as far as known.
    pub fn catalog_era(&self) -> Option<Era> {
        self.catalog_era.get()
    }

    /// Store revision up to which the configuration in force is known to be the newest.
    pub fn catalog_revision(&self) -> Revision {
        self.catalog_revision.get()
    }

    /// Store revision up to which both the list and the configuration have been applied.
    pub fn applied(&self) -> Revision {
        self.list_revision.get().min(self.catalog_revision.get())
    }

    /// Puts a configuration in force if it is newer than the current one; versions never go back.
    /// `from` names its source in the log.
    ///
    /// Proofs of freshness stay valid: what was the newest version at some time had no successor
    /// then, and so no later version either.
    pub fn apply_catalog(&self, catalog: Box<Catalog>, from: &str) {
        if catalog.version <= self.version() {
            self.note_older_catalog(catalog.version);
            return;
        }
        let patched = self.catalog().and_then(|old| patch_catalog(&old, &catalog));
        match patched {
            Some((catalog, written)) => self.put_in_force(catalog, vec![written], from),
            None => self.put_in_force(*catalog, Vec::new(), from),
        }
    }

    /// Logs that the store or a peer holds an older version than the one in force, once for each.
    fn note_older_catalog(&self, version: u64) {
        let in_force = self.version();
        if version < in_force && self.older_catalog.replace(Some(version)) != Some(version) {
            self.log
                .state_change(Decision::CatalogOlder { version, in_force });
        }
    }

    /// Applies an update from a peer, as far as it is newer. Returns false if its patches do not
    /// apply to the version in force.
    pub fn apply_newer_catalog(&self, newer: VersionUpdate, from: &str) -> bool {
        let (patches, written) = match newer {
            VersionUpdate::Full(catalog) => {
                self.apply_catalog(catalog, from);
                return true;
            }
            VersionUpdate::Patches(patches, written) => (patches, written),
        };
        let Some(own) = self.catalog() else {
            return false;
        };
        // Patches up to the version in force are skipped: it may have advanced meanwhile.
        let Some(first) = patches.iter().position(|p| p.base == own.version) else {
            return false;
        };
        let made = Patch::apply_all(&patches[first..], &own);
        let Some(catalog) = made.filter(|made| made.version > own.version) else {
            return false;
        };
        let kept = patches.iter().zip(written).skip(first);
        let kept = kept.map(|(patch, payload)| EncodedPatch {
            base: patch.base,
            version: patch.version,
            payload,
        });
        self.put_in_force(catalog, kept.collect(), from);
        true
    }

    /// Puts a newer version in force. `patches` lead to it from the version before and are kept for
    /// peers; empty if there are none.
    fn put_in_force(&self, catalog: Catalog, patches: Vec<EncodedPatch>, from: &str) {
        self.log.state_change(Decision::CatalogInForce {
            version: catalog.version,
            before: self.version(),
            from: from.into(),
        });
        self.catalog_era.set(self.era_of_version(catalog.version));
        self.version_log.borrow_mut().advance(patches);
        self.newer_catalog_since.set(None);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
    }

    /// Era in which a version that comes into force now was written, as far as known: the one that the
    /// peer told which has it, otherwise the latest one known.
    fn era_of_version(&self, version: u64) -> Option<Era> {
        let told = self.peer_version.get();
        let told = told.filter(|(peer_version, ..)| *peer_version == version);
        let latest = self.store_era.get().max(self.list_revision.get().era);
        told.map_or(latest, |(_, era, _)| era)
    }

    /// Applies a whole listing that was begun at revision `begun`, and records the changes against
    /// the current list for peers.
    ///
    /// When the store has dropped its history, its watchers list again. Without these records their
    /// peers would have to do so as well.
    pub fn apply_listing(&self, listed: impl Into<Listing>, begun: Revision) {
        let mut listed: Listing = listed.into();
        let now = self.clock.now();
        let before = self.list_revision.get();
        if begun.era < before.era {
            return;
        }
        self.begin_era(begun.era);
        // Changes that arrived while the listing was read may have removed endpoints that it still
        // holds.
        let directory = self.directory.borrow();
        let is_known = |id: &str| directory.key(id).is_some();
        let endpoints = &mut listed.endpoints;
        endpoints.retain(|l| begun >= before || l.revision > before || is_known(&l.id));
        endpoints.iter_mut().for_each(|l| directory.carry_over(l));
        drop(directory);
        if begun > before {
            let changes = self.directory.borrow().changes_to(&listed, before, begun);
            let mut log = self.change_log.borrow_mut();
            log.append_listing(before, begun, &changes);
        }
        let gone = self.directory.borrow_mut().replace(listed, begun, now);
        self.forget(&gone);
        self.has_list.set(true);
        self.list_advanced(before.max(begun));
        self.add_missing_endpoint_states();
    }

    /// Applies all changes of the list up to a revision, and records them for peers.
    ///
    /// Changes that the list already includes are skipped: an older entry of an endpoint that has
    /// left meanwhile would bring it back.
    pub fn apply_changes(&self, changes: Vec<Change>, up_to: Revision) {
        self.apply_peer_changes(ChangeBatch {
            changes,
            up_to,
            spans: Vec::new(),
        });
    }

    /// Applies the changes received from a peer. If the list has advanced since the peer was asked,
    /// into a span that the peer knows only from a listing, the changes do not apply to it; then
    /// the store is asked.
    pub fn apply_peer_changes(&self, passed: ChangeBatch) {
        let before = self.list_revision.get();
        let ChangeBatch { up_to, .. } = passed;
        if up_to <= before {
            return;
        }
        if !passed.applies_to(before) {
            self.rewatch_requested.notify_one();
            return;
        }
        self.begin_era(up_to.era);
        let mut changes = passed.changes;
        changes.retain(|change| change.revision() > before);
        let directory = self.directory.borrow();
        for change in &mut changes {
            if let Change::Put(listed) = change {
                directory.carry_over(listed);
            }
        }
        drop(directory);
        let mut log = self.change_log.borrow_mut();
        log.append(before, up_to, &changes);
        log.append_spans(&passed.spans);
        drop(log);
        if !passed.spans.is_empty() {
            self.directory.borrow_mut().record_gap(self.clock.now());
        }
        for change in changes {
            self.apply_change(change);
        }
        self.list_advanced(up_to);
    }

    /// Counts that the list goes on in a later era, and lets the directory prepare for it.
    fn begin_era(&self, era: Option<Era>) {
        let now = self.clock.now();
        if self.directory.borrow_mut().begin_era(era, now) {
            self.metrics.store_restored();
            self.log_process(
                "store restored",
                "the list is read anew, from an older copy",
            );
        }
    }

    /// Records the source of the list of endpoints, and logs it if the list has advanced beyond the
    /// revision `after`. A peer that brought nothing new does not show that there is nothing.
    pub fn log_list_advanced(&self, after: Revision, from: ListSource) {
        let up_to = self.list_revision.get();
        if up_to > after || !matches!(from, ListSource::Peer(_)) {
            self.confirm_list(self.clock.now(), from);
        }
        if up_to > after {
            self.log.state_change(Decision::ListKnown {
                from: from.to_string(),
                era: up_to.era,
                restored: after.era < up_to.era && after.number > 0,
                after: after.number,
                up_to: up_to.number,
            });
        }
    }

    /// Applies and logs one change of the list.
    fn apply_change(&self, change: Change) {
        let (endpoint, revision, said) = match &change {
            Change::Put(listed) if listed.draining => (&listed.id, listed.revision, "draining"),
            Change::Put(listed) => (&listed.id, listed.revision, "ready"),
            Change::Removed { id, revision } => (id, *revision, "removed"),
            Change::Cordoned(_) | Change::Uncordoned(_) => return self.apply_cordon(change),
        };
        let mut standing = said.to_owned();
        let endpoint = endpoint.clone();
        let now = self.clock.now();
        let gone = self.directory.borrow_mut().apply(change, now);
        self.forget(gone.as_slice());
        self.add_missing_endpoint_states();
        let directory = self.directory.borrow();
        let entry = directory.key(&endpoint).and_then(|key| directory.get(key));
        let software_version =
            entry.map_or_else(String::new, |e| e.listed.software_version.clone());
        match entry.map(|e| e.status) {
            Some(EndpointStatus::Lapsed(_)) => standing = "lapsed while the list was away".into(),
            Some(EndpointStatus::Departed(_)) => {
                standing = "left before the store was restored".into();
            }
            _ => {}
        }
        self.log.state_change(Decision::EndpointListed {
            endpoint,
            standing,
            software_version,
            revision: revision.number,
            era: revision.era,
        });
    }

    /// Applies a change of a zone's cordon, and logs it if the zone becomes cordoned or uncordoned.
    fn apply_cordon(&self, change: Change) {
        let (Change::Cordoned(cordon) | Change::Uncordoned(cordon)) = &change else {
            return;
        };
        let zone = cordon.zone.clone();
        let revision = cordon.revision;
        let before = self.directory.borrow().is_cordoned(&zone);
        let now = self.clock.now();
        let gone = self.directory.borrow_mut().apply(change, now);
        self.forget(gone.as_slice());
        let cordoned = self.directory.borrow().is_cordoned(&zone);
        if cordoned != before {
            self.log.state_change(Decision::ZoneCordon {
                zone,
                cordoned,
                revision: revision.number,
                era: revision.era,
            });
        }
    }

    /// Applies the complete set of cordons that the store had at a revision.
    pub fn apply_cordons(&self, all: Vec<Cordon>, revision: Revision) {
        let directory = self.directory.borrow();
        let changes = directory.cordon_changes_to(&all, Revision::default(), revision);
        drop(directory);
        for change in changes {
            self.apply_cordon(change);
        }
    }

    /// Counts a store entry that cannot be read, and logs it the first time.
    pub fn report_unreadable(&self, found: UnreadableEntry) {
        self.metrics.unreadable();
        let mut known = self.unreadable.borrow_mut();
        if known.len() < MAX_UNREADABLE_KEYS && known.insert(found.key.clone()) {
            self.log.state_change(Decision::EntryUnreadable {
                key: found.key,
                why: found.why,
            });
        }
    }

    /// Records that the configuration in force is the newest up to a revision. A proof of freshness
    /// that waited for this takes effect, unless the store was restored meanwhile: what it held when
    /// it was asked may be lost.
    pub fn confirm_catalog_at(&self, revision: Revision) {
        self.catalog_revision
            .set(self.catalog_revision.get().max(revision));
        if let Some((asked, wanted)) = self.pending_proof.get() {
            if wanted <= self.catalog_revision.get() {
                self.pending_proof.set(None);
                if wanted.era == self.catalog_revision.get().era {
                    self.prove(asked);
                }
            }
        }
    }

    /// Records that the store, asked at `asked`, was at `revision`. This proves the configuration
    /// fresh if it is known to be the newest up to there; otherwise returns false, and the proof
    /// waits for [`Self::confirm_catalog_at`].
    pub fn prove_up_to(&self, asked: Millis, revision: Revision) -> bool {
        let is_known = self.catalog_revision.get() >= revision;
        if is_known {
            self.prove(asked);
        } else {
            self.pending_proof.set(Some((asked, revision)));
        }
        is_known
    }

    /// Records that a peer, asked at `asked`, had a proof of this age for the version in force
    /// here.
    pub fn prove_by_peer(&self, asked: Millis, age: Millis) {
        let mut freshness = self.freshness.get();
        freshness.prove_by_peer(asked, age);
        self.set_freshness(freshness);
    }

    fn prove(&self, asked: Millis) {
        let mut freshness = self.freshness.get();
        freshness.prove(asked);
        self.set_freshness(freshness);
    }

    /// A newer proof shows that the store answers some entry, so the list is available.
    fn set_freshness(&self, freshness: Freshness) {
        if self.is_version_lost() {
            return;
        }
        let before = self.freshness.replace(freshness);
        if freshness.is_newer_than(&before) && !self.is_store_silent() {
            self.mark_list_available();
        }
    }

    /// Records that a peer has a later version, which was written in `era`. If that is before the era
    /// in which the own version is the newest, the restored store has lost it: that the store has
    /// nothing newer proves nothing, so the proofs of freshness are void.
    pub fn note_peer_version(&self, peer_version: u64, era: Option<Era>) {
        if peer_version > self.version() {
            self.peer_version
                .set(Some((peer_version, era, self.clock.now())));
            self.void_lost_proofs();
        }
    }

    /// Voids the proofs of freshness while a peer has a later version that the store has lost.
    fn void_lost_proofs(&self) {
        if !self.is_version_lost() || self.proof_age().is_none() {
            return;
        }
        if let Some((peer_version, ..)) = self.peer_version.get() {
            self.log.state_change(Decision::ProofVoid {
                version: self.version(),
                peer_version,
            });
        }
        self.freshness.set(Freshness::default());
    }

    /// Whether a peer told lately of a later version that the store has lost.
    fn is_version_lost(&self) -> bool {
        let now = self.clock.now();
        let own_era = self.catalog_revision.get().era;
        self.peer_version.get().is_some_and(|(version, era, at)| {
            version > self.version() && era < own_era && now - at < LOST_VERSION_WAIT
        })
    }

    /// Whether the configuration allows a request now: its route and team, or why it is denied.
    pub fn allow(&self, ask: &ParsedRequest) -> Result<Allowed, Denied> {
        let catalog = self.catalog();
        let freshness = self.freshness();
        let knowledge = CatalogState {
            catalog: catalog.as_deref(),
            freshness: &freshness,
            max_key_proof_age: self.settings.borrow().bounds.max_key_proof_age(),
        };
        resolve(knowledge, ask, self.clock.now())
    }

    /// Removes endpoints whose grace period after a lapse has ended, idle connections that are too
    /// old and outdated suspicions, and counts the fleet.
    pub fn expire(&self) {
        let now = self.clock.now();
        self.update_list_availability();
        let gone = self.directory.borrow_mut().expire(now);
        self.forget(&gone);
        self.expire_cordons(now);
        self.close_idle(now);
        self.update_fleet_size();
        self.quarantine.borrow_mut().expire(now);
    }
}

impl Entry {
    /// Ends the cordons that a restored store has lost and nobody wrote again.
    fn expire_cordons(&self, now: Millis) {
        let ended = self.directory.borrow_mut().expire_cordons(now);
        let revision = self.list_revision.get();
        for zone in ended {
            self.log.state_change(Decision::ZoneCordon {
                zone,
                cordoned: false,
                revision: revision.number,
                era: revision.era,
            });
        }
    }
}

/// Builds the new version by patching the old one, so that both share what did not change, and
/// encodes the patch for peers; `None` if there is no such patch.
fn patch_catalog(old: &Catalog, new: &Catalog) -> Option<(Catalog, EncodedPatch)> {
    let patch = Patch::between(old, new)?;
    let written = EncodedPatch {
        base: patch.base,
        version: patch.version,
        payload: versions::encode_compressed(&patch)?,
    };
    let catalog = Patch::apply_all(&[patch], old)?;
    Some((catalog, written))
}
