//! What endpoints announce of themselves in their answers: that they leave, or that they want no requests for a time.

use crate::clock::Millis;

/// What the head of one answer announces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Whether the endpoint leaves.
    pub leaves: bool,
    /// For how long it wants no requests from this instance.
    pub rest: Option<Millis>,
}

impl Announcement {
    /// Whether it announces nothing.
    pub const fn is_empty(&self) -> bool {
        !self.leaves && self.rest.is_none()
    }
}

/// What an endpoint has announced so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announced {
    /// Whether it leaves.
    pub leaves: bool,
    /// Until when it wants no requests; a time that is over where it wants them.
    pub rests_until: Millis,
}

impl Announced {
    /// Takes what an answer announces. Of several times of rest the latest end counts, whichever answer came first;
    /// none is believed for longer than `longest`.
    pub fn take(&mut self, announcement: Announcement, now: Millis, longest: Millis) {
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
    pub fn standing(&self, now: Millis) -> Option<Unwilling> {
        match self {
            _ if self.leaves => Some(Unwilling::Leaves),
            _ if self.rests(now) => Some(Unwilling::Rests),
            _ => None,
        }
    }
}

/// Why an endpoint wants no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unwilling {
    /// It leaves.
    Leaves,
    /// It asked for rest.
    Rests,
}

impl Unwilling {
    /// Short name, as a metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Leaves => "leaves",
            Self::Rests => "rests",
        }
    }
}
