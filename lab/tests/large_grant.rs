//! Many callers that send large requests at once, to endpoints behind sidecars.

mod common;

use std::time::Duration;

use common::*;
use futures_util::future::join_all;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use violetline_lab::fleet::Fleet;
use violetline_lab::site::{read_answer, Answer};
use violetline_lab::usage;

/// Longest body that a bundle can allow.
const LARGE_BYTES: usize = 1 << 20;
/// What callers leave out of their bodies, in bytes.
const REST_BYTES: usize = 1 << 10;
/// Callers at once.
const MANY: usize = 120;
/// Memory that an entry may use whose settings name none, in bytes.
const ENTRY_BYTES: u64 = 88 << 20;
/// Time for bodies to be sent as far as they are.
const SEND_TIME: Duration = Duration::from_millis(2_000);

/// Sends a request but the end of its body.
async fn begin_large(fleet: &Fleet) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let head = format!(
        "POST /v1/pools/{PLAIN_POOL}/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer demo-beam-ops\r\n\
         x-violetline-class: lookup\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let body = vec![b'x'; LARGE_BYTES - REST_BYTES];
    // One that is refused may be closed before all was written.
    let _ = stream.write_all(&body).await;
    stream
}

/// Bodies that arrived were held by an entry whatever their sum. Now those that do not fit are refused
/// as not run, and a small request is served beside the others.
#[actix_rt::test]
async fn bodies_bounded() {
    let mut spec = spec(1, 2);
    spec.bundle["limits"]["max_body_bytes"] = json!(LARGE_BYTES);
    let fleet = Fleet::start(spec).await.unwrap();
    let mut callers = join_all((0..MANY).map(|_| begin_large(&fleet))).await;
    sleep(SEND_TIME).await;
    let resident = usage::resident(fleet.entries[0].process.id());
    assert!(resident < ENTRY_BYTES, "{resident} bytes");
    let served = spawn_call(&fleet, 0, call("small", None)).await.unwrap();
    assert_eq!(served.status, 200, "{served:?}");
    let rest = vec![b'x'; REST_BYTES];
    for stream in &mut callers {
        let _ = stream.write_all(&rest).await;
    }
    let answers = join_all(callers.iter_mut().map(read_answer)).await;
    let refused = |answer: &&Answer| answer.status == 503 && answer.body.contains("no_memory");
    let refused = answers.iter().filter(refused).count();
    assert!(refused > 0 && refused < MANY, "{refused} refused");
}
