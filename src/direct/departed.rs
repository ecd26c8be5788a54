//! Endpoints whose entries left the list. A store that was restored from an older copy lists some
//! of them again, as if they had not left.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::announced::is_other_incarnation;
use crate::clock::Millis;
use crate::direct::listed::{Era, ListedEndpoint, Revision};

/// Maximum number of endpoints that are remembered: more than the largest fleet has, 3,500.
const MAX_DEPARTED: usize = 4_096;

/// The last entry of an endpoint that left.
#[derive(Debug, Clone, Copy)]
struct LastEntry {
    born: Option<u64>,
    revision: Revision,
    /// When it left.
    left_at: Millis,
}

/// What was said of the end of an endpoint's life before the store was restored, and is lost there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostEnd {
    /// Identity of the endpoint.
    pub id: String,
    /// When that life began, in ms of Unix time; `None` if the list doesn't tell.
    pub born: Option<u64>,
    /// What was said.
    pub said: SaidEnd,
}

/// How an endpoint's end was said.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SaidEnd {
    /// It leaves.
    Leaves,
    /// It left.
    Left {
        /// Number of the revision of its last entry.
        last_entry: u64,
    },
}

/// The endpoints that left last, by their ids.
#[derive(Debug, Default)]
pub struct DepartedEndpoints {
    by_id: HashMap<String, LastEntry>,
    /// Ids in the order in which they left; some may have been listed again.
    order: VecDeque<String>,
}

impl DepartedEndpoints {
    /// Remembers an endpoint that left, by its last entry.
    pub fn keep(&mut self, listed: &ListedEndpoint, now: Millis) {
        self.insert(&listed.id, listed.born, listed.revision, now);
    }

    /// Remembers an endpoint that left before this process read the list, by the number of its last
    /// entry.
    pub fn keep_lost(&mut self, id: &str, born: Option<u64>, last_entry: u64, now: Millis) {
        self.insert(id, born, last_entry.into(), now);
    }

    fn insert(&mut self, id: &str, born: Option<u64>, revision: Revision, left_at: Millis) {
        let last = LastEntry {
            born,
            revision,
            left_at,
        };
        if self.by_id.insert(id.to_owned(), last).is_none() {
            self.order.push_back(id.to_owned());
        }
        while self.order.len() > MAX_DEPARTED {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }

    /// Forgets an endpoint that is listed again.
    pub fn forget(&mut self, id: &str) {
        if self.by_id.remove(id).is_some() {
            self.order.retain(|departed| departed != id);
        }
    }

    /// The endpoints that left after a time, in eras before `era`.
    pub fn lost_ends(&self, era: Option<Era>, since: Millis) -> impl Iterator<Item = LostEnd> + '_ {
        let is_lost = move |last: &LastEntry| last.revision.era < era && last.left_at >= since;
        let lost = self.by_id.iter().filter(move |(_, last)| is_lost(last));
        lost.map(|(id, last)| LostEnd {
            id: id.clone(),
            born: last.born,
            said: SaidEnd::Left {
                last_entry: last.revision.number,
            },
        })
    }

    /// Whether an entry of a later era is the last one of an endpoint that left, and so comes from
    /// the copy. An entry that the endpoint wrote since has another number.
    pub fn is_copied(&self, listed: &ListedEndpoint) -> bool {
        self.by_id.get(&listed.id).is_some_and(|last| {
            last.revision.era < listed.revision.era
                && last.revision.number == listed.revision.number
                && !is_other_incarnation(last.born, listed.born)
        })
    }
}
