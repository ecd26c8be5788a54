//! What endpoints announce of themselves in their answers: that they leave, or that they want no requests for a time.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::rate::Rate;

/// Lives that are remembered after their entries went: more than the endpoints of the largest fleet, 3,500.
const MOST_FORMER: usize = 4_096;

/// What the head of one answer announces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Whether the endpoint leaves.
    pub leaves: bool,
    /// For how long it wants no requests from this instance.
    pub rest: Option<Millis>,
    /// The requests a second that it takes from all instances together.
    pub limit: AnnouncedLimit,
}

/// What an answer says of a limit for all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// It names none: there is none, or none any more.
    #[default]
    None,
    /// What it names can't be read: it says nothing.
    Unreadable,
    /// This.
    Rate(Rate),
}

impl AnnouncedLimit {
    /// Reads the texts in which an answer names a limit, one after the other or as a list: the lowest that can be read.
    pub fn parse<'a>(told: impl Iterator<Item = &'a str>) -> Self {
        let texts: Vec<&str> = told.flat_map(|text| text.split(',')).collect();
        let rates = texts.iter().filter_map(|text| Rate::parse(text));
        match rates.min() {
            Some(rate) => Self::Rate(rate),
            None if texts.is_empty() => Self::None,
            None => Self::Unreadable,
        }
    }
}

impl Announcement {
    /// Whether it announces nothing against requests.
    pub const fn accepts_requests(&self) -> bool {
        !self.leaves && self.rest.is_none()
    }
}

/// The time in a `Retry-After`: seconds, with or without a fraction, or a date, counted from the `Date` of the same answer
/// (RFC 9110, 10.2.3). `None` for what is no time ahead.
pub fn parse_retry_after(told: &str, answered: Option<&str>) -> Option<Millis> {
    let told = told.trim();
    let time = match told.parse::<f64>() {
        Ok(seconds) if seconds.is_finite() => Millis((seconds * 1_000.0).ceil() as u64),
        Ok(_) => return None,
        Err(_) => until_date(told, answered?)?,
    };
    (time > Millis(0)).then_some(time)
}

/// The time from one date to a later one.
fn until_date(told: &str, answered: &str) -> Option<Millis> {
    let until = httpdate::parse_http_date(told).ok()?;
    let answered = httpdate::parse_http_date(answered).ok()?;
    let time = until.duration_since(answered).ok()?;
    Some(Millis(time.as_millis() as u64))
}

/// What an endpoint has announced so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnnouncedState {
    /// Whether it leaves.
    pub leaves: bool,
    /// Until when it wants no requests; a time that is over where it wants them.
    pub rests_until: Millis,
}

impl AnnouncedState {
    /// Takes what an answer announces. Of several times of rest the latest end counts, whichever answer came first;
    /// none is believed for longer than `longest`.
    pub fn apply(&mut self, announcement: Announcement, now: Millis, longest: Millis) {
        self.leaves |= announcement.leaves;
        if let Some(rest) = announcement.rest {
            self.rests_until = self.rests_until.max(now + rest.min(longest));
        }
    }

    /// Whether it wants no requests now.
    pub fn rests(&self, now: Millis) -> bool {
        now < self.rests_until
    }

    /// What of it holds now; `None` where nothing does.
    pub fn decline_reason(&self, now: Millis) -> Option<DeclineReason> {
        match self {
            _ if self.leaves => Some(DeclineReason::Leaves),
            _ if self.rests(now) => Some(DeclineReason::Rests),
            _ => None,
        }
    }
}

/// Why an endpoint wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// It leaves.
    Leaves,
    /// It asked for rest.
    Rests,
}

impl DeclineReason {
    /// Short name, as a metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leaves => "leaves",
            Self::Rests => "rests",
        }
    }
}

/// What endpoints had announced whose entries went from the list. An entry that lapsed and is written again is of the same
/// life, and what that announced still holds.
#[derive(Debug, Default)]
pub struct FormerIncarnations {
    by_id: HashMap<String, Former>,
    /// Lives that were kept so far.
    kept: u64,
}

/// One life that is remembered.
#[derive(Debug)]
struct Former {
    /// When it began, in ms of Unix time; `None` where that was not told.
    born: Option<u64>,
    announced: AnnouncedState,
    /// Its place in the order in which lives were kept.
    number: u64,
}

impl FormerIncarnations {
    /// Remembers what a life has announced, if anything of it still holds.
    pub fn keep(&mut self, id: &str, born: Option<u64>, announced: AnnouncedState, now: Millis) {
        if announced.decline_reason(now).is_none() {
            return;
        }
        if self.by_id.len() >= MOST_FORMER {
            self.drop_oldest();
        }
        self.kept += 1;
        let former = Former {
            born,
            announced,
            number: self.kept,
        };
        self.by_id.insert(id.to_owned(), former);
    }

    /// What an endpoint that is listed (again) has announced; nothing where that was another life of it.
    pub fn take(&mut self, id: &str, born: Option<u64>) -> AnnouncedState {
        match self.by_id.remove(id) {
            Some(former) if !is_other_incarnation(former.born, born) => former.announced,
            _ => AnnouncedState::default(),
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_id.iter().min_by_key(|(_, former)| former.number);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}

/// Whether an entry is of another life of an endpoint; one that does not tell when it began is taken for
/// the life that is known.
pub fn is_other_incarnation(known: Option<u64>, told: Option<u64>) -> bool {
    match (known, told) {
        (Some(known), Some(told)) => known != told,
        (None, _) | (_, None) => false,
    }
}
