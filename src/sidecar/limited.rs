//! The limit that the endpoint names. All calls to it pass here, so this process keeps the limit by itself.

use super::Sidecar;
use crate::announced::AnnouncedLimit;
use crate::clock::Millis;
use crate::direct::known::load::BANDS;
use crate::direct::limits::{LimitObservation, PermitBucket};

/// What the endpoint has said of its limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limited {
    word: LimitObservation,
    allowance: PermitBucket,
}

impl Sidecar {
    /// Takes what an answer to a call says of a limit.
    pub fn limited(&self, named: AnnouncedLimit, sent_at: Millis) {
        let received_at = self.node.clock.now();
        let limit = match named {
            AnnouncedLimit::Unreadable => return,
            AnnouncedLimit::None => None,
            AnnouncedLimit::Rate(rate) => Some(rate),
        };
        let word = LimitObservation {
            limit,
            sent_at,
            received_at,
        };
        let mut limited = self.limited.borrow_mut();
        let known = limited.map(|limited| limited.word);
        if known.map_or(limit.is_none(), |known| !word.supersedes(&known)) {
            return;
        }
        if known.and_then(|known| known.limit) != limit {
            tracing::info!(per_s = ?limit.map(|rate| rate.per_s()), "the endpoint names another limit");
        }
        let allowance = limited.map(|limited| limited.allowance);
        *limited = Some(Limited {
            word,
            allowance: allowance.unwrap_or_else(|| PermitBucket::empty_until(received_at)),
        });
    }

    /// Whether a call of a priority may be made now within the limit; else how long none may be.
    pub fn take_call(&self, priority: u8) -> Result<(), Millis> {
        let now = self.node.clock.now();
        let mut limited = self.limited.borrow_mut();
        let Some(limited) = limited.as_mut() else {
            return Ok(());
        };
        let Some(limit) = limited.word.limit else {
            return Ok(());
        };
        let band = usize::from(priority).min(BANDS - 1);
        let taken = limited.allowance.take(limit, 1.0, band, 1, now);
        taken.map(|_| ()).map_err(|turn| turn - now)
    }

    /// Another life of the endpoint has begun, which has named no limit.
    pub(super) fn forget_limit(&self) {
        *self.limited.borrow_mut() = None;
    }
}
