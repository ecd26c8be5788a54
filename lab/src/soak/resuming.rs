//! Callers of the soak that lose their streams and resume them at any entry, while engines of several
//! software versions serve.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::{Soak, KEYS};
use crate::site;
use crate::standin::LONG_STREAM_EVENTS;

/// Callers at a time.
pub(super) const CALLERS: usize = 6;
/// Software versions of engines, two engines of each in turn.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Path of their streams.
const PATH: &str = "/resume/long-stream";
/// Times that a caller tries to go on with a stream.
const MAX_TRIES: usize = 4;
/// Time for a part of an answer.
const READ_TIME: Duration = Duration::from_secs(4);
/// Time in which nothing happened to an entry, for its answer to count.
const WELL: Duration = Duration::from_secs(3);
/// Streams that are resumed from which on the share that goes on counts.
const MIN_RESUMED: usize = 12;

/// The software version of an engine, by its number.
pub(super) fn version(number: usize) -> &'static str {
    VERSIONS[number / 2 % VERSIONS.len()]
}

/// One attempt of a caller at a stream.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Whether it resumes a stream.
    resumes: bool,
    /// Whether it got further events.
    went_on: bool,
    /// Whether its entry was well, and two engines of the stream's version served.
    counts: bool,
}

/// A stream as its caller has it.
#[derive(Debug, Default)]
struct Stream {
    text: String,
    /// The attempt that brought its first event.
    began_as: Option<String>,
}

impl Stream {
    /// The complete events.
    fn events(&self) -> &str {
        self.text
            .rfind("\n\n")
            .map_or("", |end| &self.text[..end + 2])
    }

    fn last_event(&self) -> u64 {
        let numbers = site::event_numbers(self.events());
        numbers.last().copied().unwrap_or(0)
    }

    fn request(&self, id: &str, key: &str) -> Vec<u8> {
        let request = site::request(PATH, id, key);
        let Some(began_as) = &self.began_as else {
            return request;
        };
        let after = self.last_event();
        let lines = format!("resumes: {began_as}\r\nlast-event-id: {after}\r\ncontent-length");
        let text = String::from_utf8_lossy(&request);
        text.replace("content-length", &lines).into_bytes()
    }

    /// Drops what is no complete event, as a caller does that has lost its connection.
    fn cut(&mut self) {
        self.text.truncate(self.events().len());
    }
}

/// One caller: streams one after the other, each resumed until it is whole.
pub(super) async fn call_on(soak: Rc<Soak>, caller: usize, mut rng: SmallRng) {
    let mut number = 0;
    while !soak.ended.get() {
        number += 1;
        let mut stream = Stream::default();
        for attempt in 0..MAX_TRIES {
            let id = format!("t{caller}-{number}-{attempt}");
            soak.attempt(&mut stream, &id, &mut rng).await;
            if stream.last_event() == LONG_STREAM_EVENTS || soak.ended.get() {
                break;
            }
            sleep(Duration::from_millis(rng.gen_range(0..100))).await;
        }
        soak.check_stream(&stream, &format!("t{caller}-{number}"));
        sleep(Duration::from_millis(rng.gen_range(0..60))).await;
    }
}

impl Soak {
    /// One attempt, at any entry.
    async fn attempt(&self, stream: &mut Stream, id: &str, rng: &mut SmallRng) {
        let before = stream.last_event();
        let resumes = stream.began_as.is_some();
        let begun = Instant::now();
        let entry = rng.gen_range(0..self.entries.len());
        // Half of the callers lose their connection.
        let loses_after = before + rng.gen_range(1..2 * LONG_STREAM_EVENTS);
        let request = stream.request(id, KEYS[0]);
        let counts = self.is_served_well(entry, stream, begun);
        let address = self.entries[entry].callers.get();
        if let Ok(mut connection) = TcpStream::connect(address).await {
            if connection.write_all(&request).await.is_ok() {
                read(&mut connection, stream, loses_after).await;
            }
        }
        stream.cut();
        let went_on = stream.last_event() > before;
        if went_on && !resumes {
            stream.began_as = Some(id.to_owned());
        }
        let attempt = Attempt {
            resumes,
            went_on,
            counts: counts && self.is_served_well(entry, stream, begun),
        };
        self.attempts.borrow_mut().push(attempt);
    }

    /// Whether nothing happened to an entry or the platform lately, and two engines of the stream's
    /// version serve; any version, for a stream that has not begun.
    fn is_served_well(&self, entry: usize, stream: &Stream, begun: Instant) -> bool {
        let since = begun.checked_sub(WELL).unwrap_or(begun);
        let is_well = !self.entries[entry].disturbed.any_since(since)
            && !self.platform.any_since(since)
            && !self.entries[entry].restarting.get();
        let versions = site::event_versions(stream.events());
        let version = versions.first().copied();
        let engines = self.engines.borrow();
        let serving = engines.iter().filter(|relayed| {
            let is_meant = version.is_none_or(|version| relayed.engine.version.get() == version);
            is_meant && relayed.engine.is_willing() && !relayed.harmed.any_since(since)
        });
        is_well && serving.count() >= 2
    }

    /// Events come in order, without a gap, and of one software version.
    fn check_stream(&self, stream: &Stream, name: &str) {
        let numbers = site::event_numbers(stream.events());
        let versions = site::event_versions(stream.events());
        let in_order = numbers.iter().copied().eq(1..=numbers.len() as u64);
        if !in_order || versions.len() > 1 {
            let finding = format!("{name} {PATH}: events {numbers:?} of {versions:?}");
            self.findings.borrow_mut().push(finding);
        }
    }

    /// Streams that are resumed go on at half the share of those that begin, at least.
    pub(super) fn check_resumed(&self) -> Option<String> {
        let attempts = self.attempts.borrow();
        let counted = |resumes: bool| {
            let all = attempts.iter().filter(|a| a.counts && a.resumes == resumes);
            (all.clone().count(), all.filter(|a| a.went_on).count())
        };
        let (begun, began) = counted(false);
        let (resumed, went_on) = counted(true);
        let is_half = 2 * went_on * begun >= began * resumed;
        (resumed >= MIN_RESUMED && !is_half).then(|| {
            format!("{went_on} of {resumed} streams went on, {began} of {begun} new ones began")
        })
    }
}

/// Reads events until the answer or the connection ends, or until the caller has so many.
async fn read(connection: &mut TcpStream, stream: &mut Stream, loses_after: u64) {
    let mut buf = [0; 1 << 12];
    let begin = stream.text.len();
    while stream.last_event() < loses_after && !stream.text.ends_with("\r\n0\r\n\r\n") {
        let Ok(Ok(len)) = timeout(READ_TIME, connection.read(&mut buf)).await else {
            return;
        };
        if len == 0 {
            return;
        }
        stream.text.push_str(&String::from_utf8_lossy(&buf[..len]));
        let answer = &stream.text[begin..];
        if answer.starts_with("HTTP/1.1 5") || answer.starts_with("HTTP/1.1 4") {
            return;
        }
    }
}
