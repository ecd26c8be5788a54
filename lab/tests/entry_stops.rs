//! Requests that came late in the grace of a planned stop were taken, passed on, and cut at its end without an answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use violetline_lab::site::*;

/// Callers at a time.
const CALLERS: usize = 12;
/// Time for which callers ask before the stop.
const CALM: Duration = Duration::from_millis(500);
/// Time that a caller takes over a body in pieces.
const UPLOAD: Duration = Duration::from_millis(1_500);
/// Bytes of such a body.
const BODY_BYTES: usize = 32 << 10;

/// Status of the answer to each request by its id, 0 where there was none or it was cut.
type Answers = Rc<RefCell<BTreeMap<String, u16>>>;

/// One caller that asks until connections are refused.
async fn call_on(address: std::net::SocketAddr, caller: usize, path: &str, answers: Answers) {
    for n in 0.. {
        let id = format!("c{caller}-{n}");
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return;
        };
        let sent = match path {
            "/once/upload" => upload(&mut stream, &id).await,
            _ => stream.write_all(&request(path, &id, "k1")).await.is_ok(),
        };
        if !sent {
            continue;
        }
        answers.borrow_mut().insert(id.clone(), 0);
        let answer = timeout(LONG, read_answer(&mut stream)).await;
        if let Ok(answer) = answer.map_err(drop) {
            let status = if answer.is_cut { 0 } else { answer.status };
            answers.borrow_mut().insert(id, status);
        }
    }
}

/// Sends a body in pieces.
async fn upload(stream: &mut TcpStream, id: &str) -> bool {
    let head = format!(
        "POST /once/slow HTTP/1.1\r\nhost: h.example\r\nx-request-id: {id}\r\nx-request-deadline: 4000\r\n\
         authorization: Bearer k1\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for _ in 0..8 {
        if stream.write_all(&[b'x'; BODY_BYTES / 8]).await.is_err() {
            return false;
        }
        sleep(UPLOAD / 8).await;
    }
    true
}

/// Stops one of two entries in calm, and checks that all that reached an engine was answered and that the process
/// ended by itself within its grace.
async fn check_stop(grace: Duration, paths: &[&str]) {
    let mut site = Site::start(4).await;
    let mut settings = site.settings("127.0.0.1", 0, 0, &[]);
    settings["bounds"]["stop_grace_ms"] = json!(grace.as_millis() as u64);
    site.add_entry(&settings).await;
    let callers = site.entries[0].addr("callers");
    let answers = Answers::default();
    let calling =
        (0..CALLERS).map(|i| call_on(callers, i, paths[i % paths.len()], Rc::clone(&answers)));
    let stopping = async {
        sleep(CALM).await;
        site.entries[0].terminate();
        let begun = Instant::now();
        while site.entries[0].is_running() {
            assert!(
                begun.elapsed() < grace,
                "runs at the end of its grace of {grace:?}"
            );
            sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::join!(join_all(calling), stopping);
    let answers = answers.borrow();
    for arrival in site.arrivals() {
        let id = arrival.id();
        let status = answers.get(id).copied().unwrap_or_default();
        assert_eq!(status, 200, "{id}, {}, reached an engine", arrival.route());
    }
    assert!(answers.len() > CALLERS, "{} requests", answers.len());
}

#[actix_rt::test]
async fn whole_grace() {
    let paths = [
        "/once/slow",
        "/once/long",
        "/safe/slow",
        "/stream/long-stream",
        "/once/upload",
        "/once/ok",
    ];
    check_stop(Duration::from_secs(8), &paths).await;
}

#[actix_rt::test]
async fn short_grace() {
    let paths = ["/once/slow", "/safe/slow", "/once/ok", "/stream/events"];
    check_stop(Duration::from_secs(2), &paths).await;
}
