//! What endpoints announce of themselves in their answers: that they are leaving, that they want a
//! back-off (a rest, no requests for a time), or how many requests a second they accept.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::rate::Rate;

/// Maximum number of incarnations that are remembered after their entries left the list: more than
/// the endpoints of the largest fleet, 3,500.
const MAX_FORMER: usize = 4_096;

/// What the head of one answer announces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Whether the endpoint is leaving.
    pub leaves: bool,
    /// For how long it wants no requests from this instance.
    pub rest: Option<Millis>,
    /// The requests a second that it accepts from all instances together.
    pub limit: AnnouncedLimit,
}

/// A limit for all instances together, as an answer announces it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AnnouncedLimit {
    /// The answer names no limit: there is none, or none any more.
    #[default]
    None,
    /// The named limit can't be read; the known limit stays.
    Unreadable,
    /// The limit.
    Rate(Rate),
}

impl AnnouncedLimit {
    /// Parses the header values in which an answer names a limit, each a single value or a
    /// comma-separated list. The lowest rate that can be parsed counts.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let texts: Vec<&str> = values.flat_map(|text| text.split(',')).collect();
        let rates = texts.iter().filter_map(|text| Rate::parse(text));
        match rates.min() {
            Some(rate) => Self::Rate(rate),
            None if texts.is_empty() => Self::None,
            None => Self::Unreadable,
        }
    }
}

impl Announcement {
    /// Whether the answer announces neither that the endpoint leaves nor a back-off; the limit is
    /// not looked at.
    pub const fn accepts_requests(&self) -> bool {
        !self.leaves && self.rest.is_none()
    }
}

/// Parses the time of a `Retry-After` header: seconds, with or without a fraction, or a date,
/// relative to the `Date` of the same answer (RFC 9110, 10.2.3). `None` where it can't be parsed or
/// the time is not in the future.
pub fn parse_retry_after(value: &str, answer_date: Option<&str>) -> Option<Millis> {
    let value = value.trim();
    let time = match value.parse::<f64>() {
        Ok(seconds) if seconds.is_finite() => Millis((seconds * 1_000.0).ceil() as u64),
        Ok(_) => return None,
        Err(_) => time_between(value, answer_date?)?,
    };
    (time > Millis(0)).then_some(time)
}

/// The time from `answer_date` to the date `value`; `None` if either can't be parsed or `value` is
/// the earlier one.
fn time_between(value: &str, answer_date: &str) -> Option<Millis> {
    let until = httpdate::parse_http_date(value).ok()?;
    let answer_date = httpdate::parse_http_date(answer_date).ok()?;
    let time = until.duration_since(answer_date).ok()?;
    Some(Millis(time.as_millis() as u64))
}

/// The state of an endpoint that results from its announcements so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnnouncedState {
    /// Whether it is leaving.
    pub leaves: bool,
    /// Until when it wants no requests; a time in the past where it wants them.
    pub rests_until: Millis,
}

impl AnnouncedState {
    /// Applies an answer's announcement. Of several back-offs the latest end counts, whichever
    /// answer came first; a back-off counts for `longest` at most.
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

    /// Why the endpoint declines requests now; `None` where it accepts them.
    pub fn decline_reason(&self, now: Millis) -> Option<DeclineReason> {
        match self {
            _ if self.leaves => Some(DeclineReason::Leaves),
            _ if self.rests(now) => Some(DeclineReason::Rests),
            _ => None,
        }
    }
}

/// Why an endpoint declines requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclineReason {
    /// It is leaving.
    Leaves,
    /// It asked for a back-off.
    Rests,
}

impl DeclineReason {
    /// The metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leaves => "leaves",
            Self::Rests => "rests",
        }
    }
}

/// The announcements of endpoints whose entries left the list, by the endpoint's id. An entry that
/// expired and is written again belongs to the same incarnation, whose announcements still hold.
#[derive(Debug, Default)]
pub struct FormerIncarnations {
    by_id: HashMap<String, FormerIncarnation>,
    /// Number of incarnations remembered so far.
    remembered: u64,
}

/// An incarnation whose entry left the list.
#[derive(Debug)]
struct FormerIncarnation {
    /// When it started, in ms of Unix time; `None` where the entry did not say.
    born: Option<u64>,
    announced: AnnouncedState,
    /// Its position in the order in which incarnations were remembered.
    sequence: u64,
}

impl FormerIncarnations {
    /// Remembers the announcements of an incarnation, if any of them still holds.
    pub fn keep(&mut self, id: &str, born: Option<u64>, announced: AnnouncedState, now: Millis) {
        if announced.decline_reason(now).is_none() {
            return;
        }
        if self.by_id.len() >= MAX_FORMER {
            self.drop_oldest();
        }
        self.remembered += 1;
        let former = FormerIncarnation {
            born,
            announced,
            sequence: self.remembered,
        };
        self.by_id.insert(id.to_owned(), former);
    }

    /// Removes and returns what a newly listed endpoint announced before; the default state where
    /// that was another incarnation or nothing is known.
    pub fn take(&mut self, id: &str, born: Option<u64>) -> AnnouncedState {
        match self.by_id.remove(id) {
            Some(former) if !is_other_incarnation(former.born, born) => former.announced,
            _ => AnnouncedState::default(),
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_id.iter().min_by_key(|(_, former)| former.sequence);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_id.remove(&id);
        }
    }
}

/// Whether the start time `listed` in an entry is that of another incarnation than the `known` one.
/// An entry without a start time is taken for the known incarnation.
pub fn is_other_incarnation(known: Option<u64>, listed: Option<u64>) -> bool {
    match (known, listed) {
        (Some(known), Some(listed)) => known != listed,
        (None, _) | (_, None) => false,
    }
}
