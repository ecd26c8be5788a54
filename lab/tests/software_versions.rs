//! Streams of a pool whose endpoints run several software versions, through entries as processes.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use violetline_lab::site::*;
use violetline_lab::standin::{Condition, Engine, EVENTS, LONG_STREAM_EVENTS};

/// Streams that a test plays.
const STREAMS: usize = 12;
/// Events that a caller has read when its stream is broken off.
const READ_EVENTS: u64 = 3;
/// Time after which an entry knows all versions that a stream of these routes can have begun at:
/// twice the longest time of a route.
const STREAM_LIFE: Duration = Duration::from_secs(8);

/// Age at which a list does not tell whether another version has come.
const OLD_LIST: Duration = Duration::from_secs(4);

/// Lists the engines with versions, in turn.
fn set_versions(site: &Site, versions: &[&'static str]) {
    for (engine, version) in site.engines.iter().zip(versions.iter().cycle()) {
        engine.version.set(version);
        site.store.list(engine, "s1", "ready");
    }
}

/// A site with some entries before engines of these versions.
async fn site_with(entries: u8, versions: &[&'static str]) -> Site {
    let mut site = Site::start(versions.len()).await;
    set_versions(&site, versions);
    site.add_entries(entries).await;
    site
}

/// A request that resumes a stream.
fn resuming(path: &str, id: &str, began_as: Option<&str>, after: u64) -> Vec<u8> {
    let text = String::from_utf8(request(path, id, "k1")).unwrap();
    let resumes = began_as.map_or(String::new(), |id| format!("resumes: {id}\r\n"));
    let lines = format!("{resumes}last-event-id: {after}\r\ncontent-length");
    text.replace("content-length", &lines).into_bytes()
}

/// A stream of which a caller has read some events.
struct Begun {
    stream: TcpStream,
    text: String,
}

impl Begun {
    /// Begins long streams at an entry, `r0` and so on, and reads their first events.
    async fn all_at(site: &Site, entry: usize) -> Vec<Self> {
        let mut all = Vec::new();
        for i in 0..STREAMS {
            let callers = site.entries[entry].addr("callers");
            let mut stream = TcpStream::connect(callers).await.unwrap();
            let request = request("/resume/long-stream", &format!("r{i}"), "k1");
            stream.write_all(&request).await.unwrap();
            let text = String::new();
            all.push(Self { stream, text });
        }
        for begun in &mut all {
            while begun.last_event() < READ_EVENTS {
                assert!(begun.read_more().await, "{}", begun.text);
            }
        }
        all
    }

    /// Reads what has arrived; false at the end of the connection.
    async fn read_more(&mut self) -> bool {
        let mut buf = [0; 1 << 12];
        let read = timeout(LONG, self.stream.read(&mut buf)).await.unwrap();
        let len = read.unwrap_or(0);
        self.text.push_str(&String::from_utf8_lossy(&buf[..len]));
        len > 0
    }

    /// Number of the last complete event.
    fn last_event(&self) -> u64 {
        let complete = self.text.rfind("\n\n").map_or("", |end| &self.text[..end]);
        event_numbers(complete).last().copied().unwrap_or(0)
    }

    fn versions(&self) -> Vec<&str> {
        event_versions(&self.text)
    }

    /// Reads to the end of the connection, and resumes the stream `i` at another entry, where it goes
    /// on to its end.
    async fn resume_at(&mut self, site: &Site, entry: usize, i: usize) {
        while self.read_more().await {}
        let callers = site.entries[entry].addr("callers");
        let (id, began_as) = (format!("again-{i}"), format!("r{i}"));
        let after = self.last_event();
        let request = resuming("/resume/long-stream", &id, Some(&began_as), after);
        let rest = exchange(callers, &request).await;
        assert_eq!(rest.status, 200, "stream {i} does not go on");
        assert_eq!(event_versions(&rest.body), self.versions(), "stream {i}");
        let numbers = event_numbers(&rest.body);
        assert!(numbers.into_iter().eq(after + 1..=LONG_STREAM_EVENTS));
    }
}

/// Resumes all streams at once, at some entries in turn.
async fn resume_all(site: &Site, streams: &mut [Begun], entries: &[usize]) {
    let resuming = streams.iter_mut().enumerate().map(|(i, begun)| {
        let entry = entries[i % entries.len()];
        begun.resume_at(site, entry, i)
    });
    join_all(resuming).await;
}

/// The stream of an engine that crashed went on at another software version within one answer.
#[actix_rt::test]
async fn mixed_within_answer() {
    let site = site_with(1, &["v1", "v2"]).await;
    for i in 0..STREAMS {
        let answer = site.ask("/resume/cut", &format!("r{i}")).await;
        assert_eq!(event_versions(&answer.body).len(), 1, "{}", answer.body);
        assert!(answer.is_cut, "no other engine has its version");
    }
}

/// The copy of a run's memory, from which its stream goes on, was kept at another software version.
#[actix_rt::test]
async fn copy_at_other_version() {
    let site = site_with(1, &["v1", "v2", "v2", "v1", "v1", "v2"]).await;
    let callers = site.entries[0].addr("callers");
    for i in 0..STREAMS {
        let text = String::from_utf8(request("/stream/events", &format!("r{i}"), "k1")).unwrap();
        let long = text.replace("content-length", "x-token-usage: 100,400\r\ncontent-length");
        assert_eq!(exchange(callers, long.as_bytes()).await.status, 200);
    }
    for engine in &site.engines {
        for arrival in engine.arrivals() {
            let copy = arrival.header("x-kv-backup").unwrap().to_owned();
            let mut others = site.engines.iter();
            let at = others.find(|e| e.address.to_string() == copy).unwrap();
            assert_eq!(at.version.get(), engine.version.get());
        }
    }
}

/// Streams that break off go on at an engine of their version where there is one.
#[actix_rt::test]
async fn goes_on_at_version() {
    let site = site_with(1, &["v1", "v2", "v1", "v2"]).await;
    for i in 0..STREAMS {
        let answer = site.ask("/resume/cut", &format!("r{i}")).await;
        assert_eq!(event_numbers(&answer.body).len() as u64, EVENTS);
        assert!(!answer.is_cut);
        assert_eq!(event_versions(&answer.body).len(), 1, "{}", answer.body);
    }
}

/// A caller whose entry was killed resumed its stream at another entry, which did not know the
/// version that began it.
#[actix_rt::test]
async fn mixed_at_other_entry() {
    let mut site = site_with(3, &["v1", "v2", "v1", "v2"]).await;
    let mut streams = Begun::all_at(&site, 0).await;
    site.entries[0].kill();
    resume_all(&site, &mut streams, &[1, 2]).await;
}

/// An entry that can't know the version that began a stream does not guess it.
#[actix_rt::test]
async fn unknown_stream_guessed() {
    let site = site_with(1, &["v1", "v2"]).await;
    let callers = site.entries[0].addr("callers");
    for (i, began_as) in [Some("earlier"), None].into_iter().enumerate() {
        let request = resuming("/resume/events", &format!("r{i}"), began_as, 2);
        let answer = exchange(callers, &request).await;
        assert_eq!(answer.status, 503, "{began_as:?}: {}", answer.body);
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(site.runs(), 0);
}

/// While all endpoints run one version, a stream that nobody remembers goes on. An entry whose list is
/// old does not take the version that it knows for the only one.
#[actix_rt::test]
async fn stale_list_trusted() {
    let mut site = Site::start(2).await;
    let mut settings = site.settings("127.0.0.1", 0, 0, &[]);
    // Requests with a key go on without the store.
    settings["bounds"]["key_removal_ms"] = json!(60_000);
    site.add_entry(&settings).await;
    let callers = site.entries[0].addr("callers");
    let resume = async |id: &str| {
        let began_as = format!("before-{id}");
        let request = resuming("/resume/events", id, Some(&began_as), 2);
        exchange(callers, &request).await.status
    };
    sleep(STREAM_LIFE).await;
    assert_eq!(resume("r1").await, 200);
    site.store.set_condition(Condition::Silent);
    sleep(OLD_LIST).await;
    assert_eq!(resume("r2").await, 503);
    assert_eq!(site.runs(), 1);
}

/// Once all entries have restarted, none knows where the streams began.
#[actix_rt::test]
async fn mixed_after_restart() {
    let mut site = site_with(2, &["v1", "v2", "v1", "v2"]).await;
    let mut streams = Begun::all_at(&site, 0).await;
    for entry in 0..2 {
        site.entries[entry].kill();
        let settings = site.settings_path(entry);
        site.entries[entry] = start_entry(&settings);
        site.wait_ready(entry).await;
    }
    for (i, begun) in streams.iter_mut().enumerate() {
        while begun.read_more().await {}
        let callers = site.entries[i % 2].addr("callers");
        let (id, began_as) = (format!("again-{i}"), format!("r{i}"));
        let after = begun.last_event();
        let request = resuming("/resume/long-stream", &id, Some(&began_as), after);
        let rest = exchange(callers, &request).await;
        let versions = event_versions(&rest.body);
        assert!(
            versions.is_empty() || versions == begun.versions(),
            "stream {i}"
        );
    }
}

/// The entries of a whole availability zone are gone: others keep what is known of their streams.
#[actix_rt::test]
async fn zone_gone() {
    let mut site = Site::start(4).await;
    site.zones = vec!["hall-a", "hall-b", "hall-c"];
    set_versions(&site, &["v1", "v2", "v1", "v2"]);
    site.add_entries(6).await;
    let mut streams = Begun::all_at(&site, 0).await;
    // Both entries of hall-a.
    site.entries[0].kill();
    site.entries[3].kill();
    resume_all(&site, &mut streams, &[1, 2, 4, 5]).await;
}

/// Streams that began while all endpoints ran one version go on once there is another one, at any
/// entry.
#[actix_rt::test]
async fn second_version_appears() {
    let mut site = site_with(3, &["v1", "v1", "v1"]).await;
    for engine in &site.engines {
        // The streams outlast what follows.
        engine.set_event_pause(Duration::from_millis(150));
    }
    sleep(STREAM_LIFE).await;
    let mut streams = Begun::all_at(&site, 0).await;
    let newer = Engine::start("newer").await.unwrap();
    newer.version.set("v2");
    site.store.list(&newer, "s1", "ready");
    sleep(Duration::from_millis(600)).await;
    site.entries[0].kill();
    resume_all(&site, &mut streams, &[1, 2]).await;
}

/// Streams of a route that allows any pause were not bound to a version over their callers' tries.
#[actix_rt::test]
async fn any_pause_unbound() {
    let mut site = Site::start(2).await;
    set_versions(&site, &["v1", "v2"]);
    site.pause_ms = 0;
    site.configure(&["k1"]);
    site.add_entries(1).await;
    let callers = site.entries[0].addr("callers");
    let request = resuming("/resume/events", "r1", Some("earlier"), 2);
    assert_eq!(exchange(callers, &request).await.status, 503);
    assert_eq!(site.runs(), 0);
}
