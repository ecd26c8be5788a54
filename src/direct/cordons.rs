//! Cordoned availability zones: operators ask that nothing new be sent to the endpoints of a zone, until
//! they take that back.
//!
//! What was taken back is remembered with its revision, so that an older word of a peer does not
//! cordon the zone again.

use std::collections::HashMap;

use crate::direct::listed::{Change, Cordon, Revision};

/// Zones that are remembered at most; names beyond that are made up, since a fleet has a few dozen.
const MOST_ZONES: usize = 1_000;

/// What was said last of one zone.
#[derive(Debug, Clone, Copy)]
struct Word {
    revision: Revision,
    is_cordoned: bool,
}

/// All zones of which anything was said.
#[derive(Debug, Default)]
pub struct Cordons {
    words: HashMap<String, Word>,
}

impl Cordons {
    /// Whether a zone is cordoned.
    pub fn has(&self, zone: &str) -> bool {
        self.words.get(zone).is_some_and(|word| word.is_cordoned)
    }

    /// All zones that are cordoned.
    pub fn active(&self) -> impl Iterator<Item = Cordon> + '_ {
        let held = self.words.iter().filter(|(_, word)| word.is_cordoned);
        held.map(|(zone, word)| Cordon {
            zone: zone.clone(),
            revision: word.revision,
        })
    }

    /// A zone is cordoned, unless something newer is known.
    pub fn cordon(&mut self, cordon: Cordon) {
        self.say(cordon.zone, cordon.revision, true);
    }

    /// A cordon ended, unless something newer is known; true when it stood until now.
    pub fn uncordon(&mut self, cordon: &Cordon) -> bool {
        self.say(cordon.zone.clone(), cordon.revision, false)
    }

    /// Replaces all by the cordons that stood at `revision`; the zones whose cordon has ended.
    pub fn replace(&mut self, all: Vec<Cordon>, revision: Revision) -> Vec<String> {
        let ended = self.missing_from(&all, revision);
        for cordon in all {
            self.cordon(cordon);
        }
        for zone in &ended {
            self.say(zone.clone(), revision, false);
        }
        ended
    }

    /// What the cordons that stood at `begun` change in a list that is complete up to `before`. Ends that
    /// are known here already are among it, since peers that know the list alone may not have them.
    pub fn changes_to(&self, all: &[Cordon], before: Revision, begun: Revision) -> Vec<Change> {
        let newer = all.iter().filter(|cordon| cordon.revision > before);
        let ending = self.missing_from(all, begun).into_iter();
        let ending = ending.map(|zone| (zone, begun));
        let ended = self.words.iter().filter(|(_, word)| !word.is_cordoned);
        let ended = ended.map(|(zone, word)| (zone.clone(), word.revision));
        let ended = ended.filter(|(_, revision)| *revision > before);
        let ends = ending.chain(ended);
        let ends = ends.map(|(zone, revision)| Change::Uncordoned(Cordon { zone, revision }));
        newer.cloned().map(Change::Cordoned).chain(ends).collect()
    }

    /// Zones that are cordoned here by a word from before `revision`, and not in `all`.
    fn missing_from(&self, all: &[Cordon], revision: Revision) -> Vec<String> {
        let stands = |zone: &str| all.iter().any(|cordon| cordon.zone == zone);
        let held = self.words.iter().filter(|(_, word)| word.is_cordoned);
        held.filter(|(zone, word)| word.revision <= revision && !stands(zone))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Takes a word unless a newer one is known; true when it ended a cordon.
    fn say(&mut self, zone: String, revision: Revision, is_cordoned: bool) -> bool {
        let known = self.words.get(&zone).copied();
        let is_new = known.is_none_or(|word| word.revision <= revision);
        let has_room = known.is_some() || self.words.len() < MOST_ZONES;
        if !is_new || !has_room {
            return false;
        }
        self.words.insert(
            zone,
            Word {
                revision,
                is_cordoned,
            },
        );
        !is_cordoned && known.is_some_and(|word| word.is_cordoned)
    }
}
