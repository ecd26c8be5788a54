//! Limits that endpoints name in their answers: the requests a second that they take from all instances together.

mod word;

use std::collections::HashMap;

pub use self::word::Word;
use crate::announced::NamedLimit;
use crate::clock::Millis;
use crate::rate::Rate;

/// Endpoints whose limits are remembered: more than those of the largest fleet, 3,500.
const MOST_REMEMBERED: usize = 4_096;

/// What is known of the limits of all endpoints, by the digests of their lives.
#[derive(Debug, Default)]
pub struct Limits {
    by_endpoint: HashMap<u32, Limited>,
}

/// What is known of one endpoint's limit.
#[derive(Debug, Default)]
struct Limited {
    /// The word of an answer to this entry.
    own: Option<Word>,
}

impl Limits {
    /// An answer to a request came that was sent at a time; the limit in force, where that has changed.
    pub fn hear(
        &mut self,
        endpoint: u32,
        named: NamedLimit,
        sent: Millis,
        now: Millis,
    ) -> Option<Option<Rate>> {
        let limit = match named {
            // What stood, stands.
            NamedLimit::Unreadable => return None,
            NamedLimit::None if !self.by_endpoint.contains_key(&endpoint) => return None,
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
        };
        let before = self.limit(endpoint);
        let word = Word {
            limit,
            sent,
            heard: now,
        };
        self.make_room();
        let limited = self.by_endpoint.entry(endpoint).or_default();
        if limited.own.is_none_or(|known| word.replaces(&known)) {
            limited.own = Some(word);
        }
        let after = self.limit(endpoint);
        (after != before).then_some(after)
    }

    /// The limit in force of an endpoint; `None` where it has none.
    pub fn limit(&self, endpoint: u32) -> Option<Rate> {
        self.by_endpoint.get(&endpoint)?.own?.limit
    }

    /// Endpoints that have a limit now.
    pub fn count(&self) -> usize {
        let keys = self.by_endpoint.keys();
        keys.filter(|endpoint| self.limit(**endpoint).is_some())
            .count()
    }

    /// Drops the endpoint that was heard longest ago where there are too many.
    fn make_room(&mut self) {
        if self.by_endpoint.len() < MOST_REMEMBERED {
            return;
        }
        let heard = |limited: &Limited| limited.own.map(|word| word.heard);
        let oldest = self
            .by_endpoint
            .iter()
            .min_by_key(|(_, limited)| heard(limited));
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.by_endpoint.remove(&endpoint);
        }
    }
}
