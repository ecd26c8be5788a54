//! Limits that endpoints name for all instances together: taken, logged and kept.

use super::Entry;
use crate::announced::NamedLimit;
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::directory::EndpointKey;
use crate::rate::Rate;

impl Entry {
    /// An endpoint answered a request that was sent at a time; what it names counts.
    pub fn endpoint_limited(
        &self,
        key: EndpointKey,
        named: NamedLimit,
        sent: Millis,
        request: &[u8],
    ) {
        let Some(endpoint) = self.directory().get(key).map(|e| e.digest) else {
            return;
        };
        let now = self.clock.now();
        let changed = self.limits.borrow_mut().hear(endpoint, named, sent, now);
        if let Some(limit) = changed {
            self.log_limited(key, limit, request);
        }
    }

    /// The limit of an endpoint; `None` where it has none.
    pub fn limit(&self, key: EndpointKey) -> Option<Rate> {
        let endpoint = self.directory().get(key)?.digest;
        self.limits.borrow().limit(endpoint)
    }

    fn log_limited(&self, key: EndpointKey, limit: Option<Rate>, request: &[u8]) {
        let directory = self.directory();
        let Some(endpoint) = directory.get(key) else {
            return;
        };
        self.log.belief(Decision::EndpointLimited {
            endpoint: endpoint.listed.id.clone(),
            per_s: limit.map(Rate::per_s),
            in_answer_to: String::from_utf8_lossy(request).into_owned(),
        });
    }
}
