//! Cordoned availability zones: operators request that nothing new is sent to the endpoints of a
//! zone until they end the cordon.
//!
//! Ended cordons are remembered with their revision, so that outdated information from a peer does
//! not cordon the zone again. Cordons that a restored store has lost stay for a time, in which
//! operators write them again.

use std::collections::HashMap;

use crate::direct::listed::{Change, Cordon, Era, Revision};

/// Maximum number of remembered zones. A fleet has a few dozen, so names beyond this are invalid.
const MAX_ZONES: usize = 1_000;

/// Latest known state of one zone.
#[derive(Debug, Clone, Copy)]
struct ZoneState {
    revision: Revision,
    is_cordoned: bool,
}

/// All zones whose cordons were set or ended.
#[derive(Debug, Default)]
pub struct Cordons {
    zones: HashMap<String, ZoneState>,
    /// Whether cordons of former eras stay, though they are not listed in the present one.
    keeps_former: bool,
}

impl Cordons {
    /// Whether a zone is cordoned.
    pub fn has(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_cordoned)
    }

    /// Iterates over all active cordons.
    pub fn active(&self) -> impl Iterator<Item = Cordon> + '_ {
        let cordoned = self.zones.iter().filter(|(_, state)| state.is_cordoned);
        cordoned.map(|(zone, state)| Cordon {
            zone: zone.clone(),
            revision: state.revision,
        })
    }

    /// Keeps the cordons of former eras until [`Self::end_former`].
    pub fn keep_former(&mut self) {
        self.keeps_former = true;
    }

    /// Ends the cordons of eras before `era`, which are not listed in it; returns their zones.
    pub fn end_former(&mut self, era: Option<Era>) -> Vec<String> {
        self.keeps_former = false;
        let cordoned = self.zones.iter_mut().filter(|(_, state)| state.is_cordoned);
        let former = cordoned.filter(|(_, state)| state.revision.era < era);
        let ended = former.map(|(zone, state)| {
            state.is_cordoned = false;
            zone.clone()
        });
        ended.collect()
    }

    /// Cordons a zone, unless something newer is known.
    pub fn cordon(&mut self, cordon: Cordon) {
        self.update(cordon.zone, cordon.revision, true);
    }

    /// Ends a cordon, unless something newer is known; returns true if the zone was cordoned until
    /// now.
    pub fn uncordon(&mut self, cordon: &Cordon) -> bool {
        self.update(cordon.zone.clone(), cordon.revision, false)
    }

    /// Replaces all cordons by those that were active at `revision`; returns the zones whose cordon
    /// ended by that.
    pub fn replace(&mut self, all: Vec<Cordon>, revision: Revision) -> Vec<String> {
        let ended = self.missing_from(&all, revision);
        for cordon in all {
            self.cordon(cordon);
        }
        for zone in &ended {
            self.update(zone.clone(), revision, false);
        }
        ended
    }

    /// Changes that lead from a list that is complete up to `before` to the cordons `all` that were
    /// active at `begun`. They include ends of cordons that are already known here, since peers
    /// that know only the list may not have them.
    pub fn changes_to(&self, all: &[Cordon], before: Revision, begun: Revision) -> Vec<Change> {
        let newer = all.iter().filter(|cordon| cordon.revision > before);
        let ending = self.missing_from(all, begun).into_iter();
        let ending = ending.map(|zone| (zone, begun));
        let ended = self.zones.iter().filter(|(_, state)| !state.is_cordoned);
        let ended = ended.map(|(zone, state)| (zone.clone(), state.revision));
        let ended = ended.filter(|(_, revision)| *revision > before);
        let ends = ending.chain(ended);
        let ends = ends.map(|(zone, revision)| Change::Uncordoned(Cordon { zone, revision }));
        newer.cloned().map(Change::Cordoned).chain(ends).collect()
    }

    /// Zones that are cordoned here by information not newer than `revision`, and are not in `all`.
    fn missing_from(&self, all: &[Cordon], revision: Revision) -> Vec<String> {
        let is_listed = |zone: &str| all.iter().any(|cordon| cordon.zone == zone);
        let cordoned = self.zones.iter().filter(|(_, state)| state.is_cordoned);
        let is_kept = |state: &ZoneState| self.keeps_former && state.revision.era < revision.era;
        cordoned
            .filter(|(zone, state)| state.revision <= revision && !is_listed(zone))
            .filter(|(_, state)| !is_kept(state))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Sets the state of a zone unless a newer one is known; returns true if this ended a cordon.
    fn update(&mut self, zone: String, revision: Revision, is_cordoned: bool) -> bool {
        let known = self.zones.get(&zone).copied();
        let is_new = known.is_none_or(|state| state.revision <= revision);
        let has_room = known.is_some() || self.zones.len() < MAX_ZONES;
        if !is_new || !has_room {
            return false;
        }
        self.zones.insert(
            zone,
            ZoneState {
                revision,
                is_cordoned,
            },
        );
        !is_cordoned && known.is_some_and(|state| state.is_cordoned)
    }
}
