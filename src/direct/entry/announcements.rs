//! What endpoints announce of themselves to this entry: recorded, logged and counted.

use super::Entry;
use crate::announced::{Announcement, DeclineReason};
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::directory::EndpointKey;

impl Entry {
    /// Records what an endpoint announced of itself in its answer to a request: that it leaves, or
    /// that it wants no requests for a time. `request` is the caller's id of that request.
    pub fn record_announcement(
        &self,
        key: EndpointKey,
        announcement: Announcement,
        request: &[u8],
    ) {
        if announcement.accepts_requests() {
            return;
        }
        let now = self.clock.now();
        let longest = Millis(self.settings.borrow().bounds.longest_rest_ms);
        let mut directory = self.directory.borrow_mut();
        let Some(before) = directory.record_announcement(key, announcement, now, longest) else {
            return;
        };
        drop(directory);
        let mut endpoint = String::new();
        self.update_endpoint_state(key, |endpoint_state| {
            endpoint.clone_from(&endpoint_state.id);
            if let Some(rest) = announcement.rest {
                let until = now + rest.min(longest);
                endpoint_state.record.requested_backoff(now, until);
            }
        });
        if announcement.leaves && !before.leaves {
            self.metrics.announced(DeclineReason::Leaves);
            self.log_announced(request, &endpoint, DeclineReason::Leaves, None);
        }
        if let Some(rest) = announcement.rest {
            self.metrics.announced(DeclineReason::Rests);
            self.log_announced(request, &endpoint, DeclineReason::Rests, Some(rest));
        }
    }

    fn log_announced(
        &self,
        request: &[u8],
        endpoint: &str,
        what: DeclineReason,
        time: Option<Millis>,
    ) {
        let announced = Decision::EndpointAnnounced {
            endpoint: endpoint.into(),
            announces: what,
            for_ms: time.map(|time| time.0),
            in_answer_to: String::from_utf8_lossy(request).into_owned(),
        };
        self.log.state_change(announced);
    }

    /// Why an endpoint wants no requests now, by its own announcements; `None` if it wants them.
    pub fn decline_reason(&self, key: EndpointKey) -> Option<DeclineReason> {
        let now = self.clock.now();
        self.directory().get(key)?.announced.decline_reason(now)
    }
}
