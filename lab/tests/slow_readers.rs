//! Callers that read slower than their endpoint sends. Guards against an entry that buffers for
//! them without a bound, and against endpoints that stay busy for callers that have left.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout, Instant};
use violetline_lab::site::*;
use violetline_lab::standin::{header, Room, WhenFull};
use violetline_lab::usage;

/// Callers at once.
const CALLERS: usize = 16;
/// Memory that an entry may hold for a caller of a stream, in bytes: an event of up to 64 KB, as it
/// arrives and encoded, and what its allocator keeps.
const STREAM_BYTES: u64 = 512 << 10;
/// Memory that an entry may hold for a caller of a whole answer of 4 MB, in bytes.
const WHOLE_BYTES: u64 = 6 << 20;
/// Time without a byte from the engine after which it is held back.
const HELD_BACK_TIME: Duration = Duration::from_millis(500);
/// Time after which requests for whole answers are over: their route's `timeout_ms`, and a little.
const ROUTE_TIME: Duration = Duration::from_millis(4_500);
/// Pause between two reads of a slow caller, and bytes of one.
const READ_PAUSE: Duration = Duration::from_millis(10);
const READ_BYTES: usize = 4 << 10;
/// Time for which callers read slowly.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
/// Receive buffer of a slow caller, in bytes; otherwise the system reads ahead for it.
const RECEIVE_BUFFER: u32 = 8 << 10;
/// Streams whose callers wait for long.
const STREAM: ModelKind = ModelKind {
    name: "patient",
    service: "s1",
    priority: 1,
    attempts: 1,
    prompt_tokens: 400,
    answer_tokens: 100,
    target_ms: 1_000,
    patience_ms: 60_000,
};

/// A site with one entry, and one engine that has places for all callers.
async fn site() -> Site {
    let mut site = Site::start(0).await;
    site.kinds = vec![STREAM];
    site.configure(&["k1"]);
    let room = Room {
        slots: CALLERS,
        queue: 4,
        memory_tokens: 300_000,
        when_full: WhenFull::TurnsAway,
    };
    site.add_engines(1, room).await;
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_entry(&settings).await;
    site
}

/// A request for a stream that never ends, from a caller with a small buffer.
async fn call(site: &Site, id: &str) -> TcpStream {
    let request = String::from_utf8(model_request(&STREAM, id, "k1")).unwrap();
    send(site, request.replace("/work ", "/flood ").as_bytes()).await
}

/// Sends a request on a connection with a small buffer.
async fn send(site: &Site, request: &[u8]) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    let connecting = socket.connect(site.entries[0].addr("callers"));
    let mut stream = connecting.await.unwrap();
    stream.write_all(request).await.unwrap();
    stream
}

/// Reads slowly for a time; what came.
async fn read_slowly(stream: &mut TcpStream, time: Duration) -> Vec<u8> {
    let until = Instant::now() + time;
    let mut seen = Vec::new();
    let mut buf = [0; READ_BYTES];
    while Instant::now() < until {
        let read = stream.read(&mut buf).await.unwrap();
        assert!(read > 0, "the stream ended");
        seen.extend_from_slice(&buf[..read]);
        sleep(READ_PAUSE).await;
    }
    seen
}

/// Memory that the entry holds, in bytes.
fn resident(site: &Site) -> u64 {
    usage::resident(site.entries[0].id())
}

/// Whether the engine sends nothing more, because nothing is read.
async fn is_held_back(site: &Site) -> bool {
    let before = site.engines[0].flooded();
    sleep(HELD_BACK_TIME).await;
    site.engines[0].flooded() == before
}

/// Starts a stream for each caller.
async fn call_all(site: &Site) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        callers.push(call(site, &format!("r{i}")).await);
    }
    wait_for("the engine works for all", || async {
        site.runs() == CALLERS
    })
    .await;
    callers
}

/// The entry holds a bounded number of bytes for each caller, the engine sends no more than is read,
/// and what comes is in order.
#[actix_rt::test]
async fn memory_bounded() {
    let site = site().await;
    let before = resident(&site);
    let mut callers = call_all(&site).await;
    wait_for("the engine is held back", || is_held_back(&site)).await;
    let unread = site.engines[0].flooded();
    let reading = callers
        .iter_mut()
        .map(|caller| read_slowly(caller, SLOW_TIME));
    for seen in join_all(reading).await {
        let numbers = event_numbers(&String::from_utf8_lossy(&seen));
        let count = numbers.len() as u64;
        assert!(count > 0 && numbers.into_iter().eq(1..=count));
    }
    wait_for("the engine is held back", || is_held_back(&site)).await;
    let growth = resident(&site).saturating_sub(before);
    assert!(growth < CALLERS as u64 * STREAM_BYTES, "{growth} bytes");
    assert!(unread > growth, "the sockets were full: {unread}");
}

/// A caller that leaves while the entry can't write to it frees its place at the engine, long before
/// its time is over.
#[actix_rt::test]
async fn leaves_while_blocked() {
    let site = site().await;
    let callers = call_all(&site).await;
    wait_for("the engine is held back", || is_held_back(&site)).await;
    assert_eq!(site.engines[0].load(), (CALLERS, 0));
    drop(callers);
    wait_for("all places are free", || async {
        site.engines[0].load() == (0, 0)
    })
    .await;
    assert_eq!(site.engines[0].cancelled(), CALLERS as u64);
}

/// Requests for large whole answers, which nobody reads; the engine has sent all of them.
async fn call_large(site: &Site) -> Vec<TcpStream> {
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let request = request("/once/large", &format!("r{i}"), "k1");
        callers.push(send(site, &request).await);
    }
    wait_for("the engine has answered", || async {
        site.runs() == CALLERS && site.engines[0].load() == (0, 0)
    })
    .await;
    callers
}

/// What the entry holds for whole answers was kept for as long as their callers stayed, also beyond
/// the time of the requests.
#[actix_rt::test]
async fn whole_answers_dropped() {
    let site = site().await;
    let before = resident(&site);
    let _callers = call_large(&site).await;
    let growth = || resident(&site).saturating_sub(before);
    assert!(growth() < CALLERS as u64 * WHOLE_BYTES, "{}", growth());
    sleep(ROUTE_TIME).await;
    wait_for("the memory is free", || async {
        growth() < CALLERS as u64 * STREAM_BYTES
    })
    .await;
}

/// An answer that could not be written in time was written again from its beginning, after what had
/// been written of it, and looked complete. It must end short.
#[actix_rt::test]
async fn late_answer_cut() {
    let site = site().await;
    let mut callers = call_large(&site).await;
    sleep(ROUTE_TIME).await;
    let mut seen = Vec::new();
    // A reset is an end, too.
    let _ = timeout(LONG, callers[0].read_to_end(&mut seen)).await;
    let text = String::from_utf8(seen).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let length: usize = header(head, "content-length").unwrap().parse().unwrap();
    assert!(body.len() < length, "{} of {length} bytes", body.len());
    let lines = body.split_inclusive('\n').filter(|line| line.len() == 8);
    assert!(lines
        .enumerate()
        .all(|(i, line)| line == format!("{i:07}\n")));
}
