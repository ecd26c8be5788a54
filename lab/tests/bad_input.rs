//! Faulty requests get a clear 4xx at once, and the processes go on.

mod common;

use std::net::SocketAddr;

use common::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use violetline_lab::client::End;

const KEY: &str = "authorization: Bearer demo-beam-ops\r\n";

async fn raw(addr: SocketAddr, text: &[u8]) -> String {
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    tcp.write_all(text).await.unwrap();
    let mut buf = vec![0; 4_096];
    let len = tcp.read(&mut buf).await.unwrap_or(0);
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[actix_rt::test]
async fn faulty_requests() {
    let fleet = fleet(1, 1).await;
    let addr = fleet.callers(0);
    let chat_path = "/v1/chat/completions";
    let good = json!({ "model": "violet-1", "messages": [{ "role": "user", "content": "x" }] })
        .to_string();
    let with = |extra: &str| format!("{KEY}{extra}");
    let large = "x".repeat(300 << 10);
    let cases: Vec<(u16, &str, Vec<u8>)> = vec![
        (401, "authorization", post(chat_path, "", &good)),
        (401, "unknown key", post(chat_path, "authorization: Bearer nobody\r\n", &good)),
        (404, "no such path", post("/v1/other", KEY, &good)),
        (404, "no pool", post("/v1/pools/nothing/run", KEY, "{}")),
        (405, "must be POST", b"GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer demo-beam-ops\r\n\r\n".to_vec()),
        (400, "line 1 column", post(chat_path, KEY, "{\"model\":")),
        (400, "messages", post(chat_path, KEY, "{\"model\":\"violet-1\"}")),
        (400, "stream", post(chat_path, KEY, "{\"model\":\"violet-1\",\"messages\":[1],\"stream\":3}")),
        (404, "unknown model", post(chat_path, KEY, "{\"model\":\"m\",\"messages\":[1]}")),
        (400, "unknown class", post(chat_path, &with("x-violetline-class: gold\r\n"), &good)),
        (403, "may not use", post(chat_path, "authorization: Bearer demo-calibration\r\nx-violetline-class: lookup\r\n", &good)),
        (400, "count of ms", post(chat_path, &with("x-violetline-deadline-ms: soon\r\n"), &good)),
        (400, "true or false", post(chat_path, &with("x-violetline-once: maybe\r\n"), &good)),
        (400, "UUIDv7", post("/v1/pools/crate-api/run", &with("idempotency-key: 12\r\n"), "{}")),
        (413, "longer than", post(chat_path, KEY, &large)),
    ];
    for (status, text, request) in cases {
        let answer = raw(addr, &request).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{text}: {answer}"
        );
        assert!(answer.contains(text), "{text} is not in {answer}");
    }
    let broken = raw(addr, b"\x16\x03\x01 not http\r\n\r\n").await;
    assert!(broken.starts_with("HTTP/1.1 400"), "{broken}");
    let head = format!(
        "POST {chat_path} HTTP/1.1\r\nx: {}\r\n\r\n",
        "y".repeat(200 << 10)
    );
    let answer = raw(addr, head.as_bytes()).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
        "{answer}"
    );
    let reply = fleet.caller.chat(addr, &chat("fine", "lookup", 3)).await;
    assert_eq!(reply.end, End::Complete, "the entry goes on");
    fleet.close();
}

#[actix_rt::test]
async fn faulty_frames() {
    let fleet = fleet(1, 1).await;
    let slot = &fleet.slots[position(&fleet, PLAIN_POOL, 0)];
    let link = violetline::link::Link::connect(slot.sidecar.addr("listen"))
        .await
        .unwrap();
    let (mut writer, mut reader) = link.open(violetline::wire::REQUEST_PATH).await.unwrap();
    writer.send(&"no offer at all").await.unwrap();
    let answer = reader.next::<violetline::wire::FromSidecar>().await;
    assert!(!matches!(answer, Ok(Some(_))), "{answer:?}");
    let other = link.open(violetline::wire::REQUEST_PATH).await;
    assert!(other.is_err(), "the connection is closed");
    let unknown = violetline::link::Link::connect(slot.sidecar.addr("listen"))
        .await
        .unwrap();
    assert!(
        unknown.open("/vl9/request").await.is_err(),
        "another wire version is refused"
    );
    let page = fleet
        .caller
        .get(slot.sidecar.addr("admin"), "/metrics")
        .await
        .unwrap();
    assert!(
        page.as_str().unwrap().contains("bad_frames"),
        "it is counted: {page}"
    );
    let reply = fleet
        .caller
        .call(fleet.callers(0), &call("fine", None))
        .await;
    assert_eq!(reply.end, End::Complete, "others are not touched");
    fleet.close();
}
