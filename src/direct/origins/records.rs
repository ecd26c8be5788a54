//! Where each of the streams began that may still be resumed.

use std::collections::{HashMap, VecDeque};

use super::{Origin, StreamKey};
use crate::clock::Millis;

/// Maximum number of streams that are remembered: those that an entry of a large fleet begins, and
/// keeps for others, in a minute.
const MAX_RECORDS: usize = 1 << 15;

#[derive(Debug, Clone, Copy)]
struct Record {
    origin: Origin,
    until: Millis,
    /// Whether the whole stream has been delivered, so that its caller has no reason to resume it.
    is_delivered: bool,
}

/// Origins of streams that this entry relayed, or that peers gave it to keep.
#[derive(Debug, Default)]
pub struct OriginRecords {
    by_stream: HashMap<StreamKey, Record>,
    /// Streams in the order in which they were recorded; one that was recorded again is in it twice.
    order: VecDeque<StreamKey>,
    /// Own streams that no peer has been told of.
    untold: VecDeque<StreamKey>,
}

impl OriginRecords {
    /// Records the origin of a stream until a time. Beyond the maximum number the oldest records
    /// are dropped.
    pub fn record(&mut self, stream: StreamKey, origin: Origin, until: Millis) {
        let record = Record {
            origin,
            until,
            is_delivered: false,
        };
        self.by_stream.insert(stream, record);
        self.order.push_back(stream);
        while self.order.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    /// Records that peers have not been told of a stream.
    pub fn record_untold(&mut self, stream: StreamKey) {
        self.untold.push_back(stream);
        if self.untold.len() > MAX_RECORDS {
            self.untold.pop_front();
        }
    }

    /// Records that a whole stream has been delivered.
    pub fn record_delivery(&mut self, stream: StreamKey) {
        if let Some(record) = self.by_stream.get_mut(&stream) {
            record.is_delivered = true;
        }
    }

    /// The origin of a stream; `None` where it is not remembered.
    pub fn get(&self, stream: StreamKey, now: Millis) -> Option<Origin> {
        let record = self.by_stream.get(&stream)?;
        (now < record.until).then_some(record.origin)
    }

    /// Takes at most `count` of the streams that no peer has been told of, that are still remembered
    /// and not delivered.
    pub fn take_untold(&mut self, count: usize, now: Millis) -> Vec<(StreamKey, Origin)> {
        let mut taken = Vec::new();
        while taken.len() < count {
            let Some(stream) = self.untold.pop_front() else {
                break;
            };
            let record = self.by_stream.get(&stream);
            let open = record.filter(|record| now < record.until && !record.is_delivered);
            taken.extend(open.map(|record| (stream, record.origin)));
        }
        taken
    }

    /// Drops records whose time is over.
    pub fn expire(&mut self, now: Millis) {
        while let Some(oldest) = self.order.front() {
            let record = self.by_stream.get(oldest);
            if record.is_some_and(|record| now < record.until) {
                break;
            }
            self.drop_oldest();
        }
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        self.by_stream.remove(&oldest);
    }
}
