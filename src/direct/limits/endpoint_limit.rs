//! What one entry knows of one endpoint's limit, and the permits that it issues if it is the
//! endpoint's coordinator.

use super::{LimitObservation, PermitBucket};
use crate::clock::Millis;
use crate::direct::known::load::BANDS;
use crate::direct::peers::ZoneId;
use crate::rate::Rate;

/// How long a limit reported by a peer stays in force after the report arrived, so that a garbled
/// or forged message cannot close an endpoint to the fleet for longer. What the endpoint announced
/// to this entry itself stays in force until it announces something else.
const PEER_REPORT_TTL: Millis = Millis(30_000);
/// Time after its creation during which a new coordinator's bucket stays empty, if the set of
/// serving entries changed shortly before. By the end of it the previous coordinator has heard of
/// the change.
const HANDOVER_DELAY: Millis = Millis(1_000);
/// Time for which a second permit request for the same endpoint is held back while the first one is
/// unanswered: requests that wait together would all ask for the same permit.
const MIN_REQUEST_INTERVAL: Millis = Millis(10);

/// What is known of one endpoint's limit.
#[derive(Debug, Default)]
pub(super) struct EndpointLimit {
    /// The endpoint's availability zone, if known.
    pub(super) zone: Option<ZoneId>,
    /// What the endpoint announced to this entry itself.
    pub(super) observed: Option<LimitObservation>,
    /// When the limit in `observed` last changed.
    pub(super) limit_changed_at: Millis,
    /// What a peer reported, and when the report arrived.
    pub(super) reported: Option<(LimitObservation, Millis)>,
    /// Earliest time at which a permit may be requested, by urgency band.
    pub(super) permit_request_at: [Millis; BANDS],
    /// When the last permit request was sent, if it is still unanswered.
    pub(super) pending_since: Option<Millis>,
    /// Number of permits left over for the next requests, and when they expire.
    pub(super) spare_permits: (u32, Millis),
    /// The permits that this entry issues, if it is the endpoint's coordinator.
    pub(super) bucket: Option<PermitBucket>,
    /// When an observation or permit request for the endpoint last arrived.
    pub(super) updated_at: Millis,
}

impl EndpointLimit {
    /// The observation that is in force now, if any.
    pub(super) fn observation(&self, now: Millis) -> Option<LimitObservation> {
        let is_in_force = |(observation, at): &(LimitObservation, Millis)| {
            observation.limit.is_none() || now < *at + PEER_REPORT_TTL
        };
        let reported = self.reported.filter(is_in_force);
        match (self.observed, reported) {
            (Some(observed), Some((reported, _))) if reported.supersedes(&observed) => {
                Some(reported)
            }
            (Some(observed), _) => Some(observed),
            (None, reported) => reported.map(|(observation, _)| observation),
        }
    }

    /// The limit that is in force now, if any.
    pub(super) fn limit(&self, now: Millis) -> Option<Rate> {
        self.observation(now)?.limit
    }

    /// Earliest time at which a permit for a request of this band may be requested.
    pub(super) fn permit_request_at(&self, band: usize) -> Millis {
        let after_pending = self
            .pending_since
            .map_or(Millis(0), |at| at + MIN_REQUEST_INTERVAL);
        self.permit_request_at[band].max(after_pending)
    }

    /// Postpones permit requests for this band and less urgent ones to `until` at the earliest.
    pub(super) fn postpone(&mut self, band: usize, until: Millis) {
        for at in &mut self.permit_request_at[band..] {
            *at = until.max(*at);
        }
    }

    /// Uses a left-over permit; false if there is none that is still valid.
    pub(super) fn use_spare_permit(&mut self, now: Millis) -> bool {
        let (left, until) = self.spare_permits;
        let is_available = left > 0 && now < until;
        if is_available {
            self.spare_permits.0 -= 1;
        }
        is_available
    }

    /// Takes permits from this entry's own bucket, as the coordinator. `is_settled` tells whether
    /// the set of serving entries has been stable; if not, a new bucket opens after
    /// [`HANDOVER_DELAY`]. Returns the same as [`PermitBucket::take`].
    pub(super) fn take(
        &mut self,
        share: f64,
        is_settled: bool,
        band: usize,
        wanted: u32,
        now: Millis,
    ) -> Result<u32, Millis> {
        let limit = self.limit(now).unwrap_or_default();
        let new_bucket = || match is_settled {
            true => PermitBucket::with_one_permit(now),
            false => PermitBucket::empty_until(now + HANDOVER_DELAY),
        };
        let bucket = self.bucket.get_or_insert_with(new_bucket);
        bucket.take(limit, share, band, wanted, now)
    }
}
