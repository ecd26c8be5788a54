//! State of other availability zones. An entry tracks the entries of its own zone one by one, and
//! of each other zone only a summary that any entry there may send.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Digest of an availability zone's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(u32);

impl ZoneId {
    /// Returns the digest of a name; `None` if the name is empty.
    pub fn of(name: &str) -> Option<Self> {
        let hash = blake3::hash(name.as_bytes());
        let mut prefix = [0; 4];
        prefix.copy_from_slice(&hash.as_bytes()[..4]);
        (!name.is_empty()).then_some(Self(u32::from_be_bytes(prefix)))
    }
}

/// The last report of a zone: when it came, and how many entries serve there.
#[derive(Debug, Clone, Copy)]
struct ZoneReport {
    reported_at: Millis,
    entries: u32,
}

/// The last report of each other zone.
#[derive(Debug, Default)]
pub(super) struct ZoneReports(BTreeMap<ZoneId, ZoneReport>);

impl ZoneReports {
    /// Records how many entries serve in a zone, as one of them reported.
    pub(super) fn record(&mut self, zone: ZoneId, entries: u32, now: Millis) {
        let reported_at = now;
        self.0.insert(
            zone,
            ZoneReport {
                reported_at,
                entries,
            },
        );
    }

    /// Whether a zone reported entries that serve within the last `silence`.
    pub(super) fn has_serving(&self, zone: ZoneId, now: Millis, silence: Millis) -> bool {
        let report = self.0.get(&zone);
        report.is_some_and(|report| report.entries > 0 && now - report.reported_at < silence)
    }

    /// Returns the number of serving entries of each zone that reported within the last `silence`.
    pub(super) fn entry_counts(
        &self,
        now: Millis,
        silence: Millis,
    ) -> impl Iterator<Item = usize> + '_ {
        let reports = self.0.values();
        let fresh = reports.filter(move |report| now - report.reported_at < silence);
        fresh.map(|report| report.entries as usize)
    }
}
