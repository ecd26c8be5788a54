//! What one entry knows of one endpoint's limit, and what it gives out as its coordinator.

use super::{LimitObservation, PermitBucket};
use crate::clock::Millis;
use crate::direct::load::BANDS;
use crate::direct::peers::ZoneId;
use crate::rate::Rate;

/// Time for which a peer's word on a limit counts after it came: one answer that is garbled or forged can't close an endpoint
/// to the fleet for longer. What an endpoint said to this entry counts until it says otherwise.
const TOLD_LASTS: Millis = Millis(30_000);
/// Time after entries have changed from which on a new coordinator gives out permits: the one before it has heard of the
/// change by then.
const HANDOVER: Millis = Millis(1_000);
/// Time between two questions of one entry for an endpoint where the first is not answered yet: requests that wait together
/// would all ask for the same permit.
const BETWEEN_ASKS: Millis = Millis(10);

/// What is known of one endpoint's limit.
#[derive(Debug, Default)]
pub(super) struct Limited {
    pub(super) zone: Option<ZoneId>,
    /// The word of an answer to this entry.
    pub(super) own: Option<LimitObservation>,
    /// When that named another limit than the one before.
    pub(super) changed: Millis,
    /// A peer's word, and when it came.
    pub(super) told: Option<(LimitObservation, Millis)>,
    /// When a permit may be asked for, by band.
    pub(super) permit_request_at: [Millis; BANDS],
    /// When the last question was asked that is not answered yet.
    pub(super) asking: Option<Millis>,
    /// Permits that are kept for the next requests, and until when.
    pub(super) kept: (u32, Millis),
    /// What this entry gives out, as its coordinator.
    pub(super) allowance: Option<PermitBucket>,
    /// When anything was heard of it.
    pub(super) updated_at: Millis,
}

impl Limited {
    /// The word that counts now.
    pub(super) fn word(&self, now: Millis) -> Option<LimitObservation> {
        let lasts = |(word, at): &(LimitObservation, Millis)| {
            word.limit.is_none() || now < *at + TOLD_LASTS
        };
        let told = self.told.filter(lasts);
        match (self.own, told) {
            (Some(own), Some((told, _))) if told.supersedes(&own) => Some(told),
            (Some(own), _) => Some(own),
            (None, told) => told.map(|(word, _)| word),
        }
    }

    pub(super) fn limit(&self, now: Millis) -> Option<Rate> {
        self.word(now)?.limit
    }

    /// When a permit for a request of a band may be asked for.
    pub(super) fn permit_request_at(&self, band: usize) -> Millis {
        let asked = self.asking.map_or(Millis(0), |at| at + BETWEEN_ASKS);
        self.permit_request_at[band].max(asked)
    }

    /// Nothing is asked before a time, for requests of a band and of less urgent ones.
    pub(super) fn wait(&mut self, band: usize, until: Millis) {
        for at in &mut self.permit_request_at[band..] {
            *at = until.max(*at);
        }
    }

    /// Uses a permit that is kept.
    pub(super) fn use_kept(&mut self, now: Millis) -> bool {
        let (left, until) = self.kept;
        let is_kept = left > 0 && now < until;
        if is_kept {
            self.kept.0 -= 1;
        }
        is_kept
    }

    /// Takes permits as the coordinator.
    pub(super) fn take(
        &mut self,
        part: f64,
        is_settled: bool,
        band: usize,
        wanted: u32,
        now: Millis,
    ) -> Result<u32, Millis> {
        let limit = self.limit(now).unwrap_or_default();
        let empty_until = || match is_settled {
            true => PermitBucket::with_one_permit(now),
            false => PermitBucket::empty_until(now + HANDOVER),
        };
        let allowance = self.allowance.get_or_insert_with(empty_until);
        allowance.take(limit, part, band, wanted, now)
    }
}
