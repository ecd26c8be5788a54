//! Streams that end in every way, with and without a mark of their end, through entries as processes.

use bytes::Bytes;
use futures_util::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use violetline::bundle::PoolKind;
use violetline::endpoint::{Call, Endpoint, EndpointError, HttpEndpoint};
use violetline::ids::{Incarnation, RequestId};
use violetline_lab::site::*;

/// Whether a caller gets a stream that ends at a place of an event as a complete one, by how its
/// engine marks the end.
async fn is_complete(site: &Site, wish: &str) -> bool {
    let answer = site.ask(&format!("/stream/{wish}"), wish).await;
    assert!(
        answer.status == 200 || answer.status == 502,
        "{wish}: {answer:?}"
    );
    answer.status == 200 && !answer.is_cut
}

/// An engine that crashed inside an event closed its connection, which was all that marked the end
/// of its answer: the caller got the half event and a valid end.
#[actix_rt::test]
async fn broken_off_as_complete() {
    let site = Site::with_entry(1).await;
    for place in ["id", "data", "line", "crlf-line"] {
        for marks in ["close", "chunks", "length"] {
            let wish = format!("{marks}-{place}");
            assert!(!is_complete(&site, &wish).await, "{wish}");
        }
    }
}

/// Without a length or chunks, an answer that ended before its first event is not a stream.
#[actix_rt::test]
async fn nothing_as_complete() {
    let site = Site::with_entry(1).await;
    assert!(!is_complete(&site, "close-head").await);
    assert!(!is_complete(&site, "reset-head").await);
}

#[actix_rt::test]
async fn whole_ones_complete() {
    let site = Site::with_entry(1).await;
    for wish in [
        "close-whole",
        "chunks-whole",
        "length-whole",
        "close-crlf",
        "chunks-crlf",
    ] {
        assert!(is_complete(&site, wish).await, "{wish}");
        let answer = site.ask(&format!("/stream/{wish}"), "r1").await;
        assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5], "{wish}");
    }
}

/// Nothing of an unfinished event reaches the caller, and a stream that may be resumed goes on after
/// the last complete one.
#[actix_rt::test]
async fn resumed_after_unfinished() {
    let site = Site::with_entry(2).await;
    for wish in ["close-data", "close-line", "chunks-id", "length-data"] {
        let answer = site.ask(&format!("/resume/{wish}"), wish).await;
        assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5], "{wish}");
        assert!(!answer.is_cut, "{wish}");
    }
    let taken_up = site.arrivals();
    let after = taken_up.iter().filter_map(|a| a.header("last-event-id"));
    assert_eq!(after.collect::<Vec<_>>(), ["3"; 4]);
}

/// A process that was killed between two events closed its connections as at the end of an answer,
/// and the caller got a valid end.
#[actix_rt::test]
async fn killed_as_complete() {
    let site = Site::with_entry(1).await;
    assert!(!is_complete(&site, "killed-between").await);
    let site = Site::with_entry(1).await;
    let answer = site.ask("/once/killed-between", "whole").await;
    assert_eq!(answer.status, 502, "{answer:?}");
    let site = Site::with_entry(2).await;
    let answer = site.ask("/resume/killed-between", "resumed").await;
    assert_eq!(event_numbers(&answer.body), [1, 2, 3, 4, 5]);
    assert!(!answer.is_cut);
}

/// An engine that leaves may end with its last answer, which is complete.
#[actix_rt::test]
async fn last_answer_complete() {
    let site = Site::with_entry(1).await;
    site.engines[0].set_leaving(true);
    assert!(is_complete(&site, "killed-whole").await);
}

/// A caller with HTTP/1.0 knows no chunks: it reads until the connection ends, and only a reset tells
/// it that the stream broke off.
#[actix_rt::test]
async fn old_caller_misled() {
    let site = Site::with_entry(1).await;
    let whole = read_to_end(&site, "events").await.unwrap();
    assert!(
        !whole.to_lowercase().contains("transfer-encoding"),
        "{whole}"
    );
    let (_, body) = whole.split_once("\r\n\r\n").unwrap();
    assert!(body.starts_with("id: 1\n"), "{body}");
    assert_eq!(event_numbers(body), [1, 2, 3, 4, 5]);
    for wish in ["cut", "close-data"] {
        let read = read_to_end(&site, wish).await;
        assert!(read.is_err(), "{wish}: {read:?}");
    }
}

/// What a caller with HTTP/1.0 reads until the connection ends.
async fn read_to_end(site: &Site, wish: &str) -> std::io::Result<String> {
    let request = request(&format!("/stream/{wish}"), wish, "k1");
    let request = String::from_utf8(request).unwrap();
    let request = request.replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = TcpStream::connect(site.entries[0].addr("callers")).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

/// Behind a sidecar, an answer of a plain endpoint without a length was passed on as an empty one.
#[actix_rt::test]
async fn unread_as_empty() {
    for (head, is_read) in [("", false), ("content-length: 6\r\n", true)] {
        let base = serve_once(format!("HTTP/1.1 200 OK\r\n{head}\r\nanswer")).await;
        let endpoint = HttpEndpoint::new(&base, PoolKind::Plain);
        let call = Call {
            run: RequestId::random(),
            incarnation: Incarnation(1),
            priority: 0,
            path: "/".into(),
            body: Bytes::from_static(b"call"),
            resume_from: None,
        };
        let reply = endpoint.call(call).await.unwrap();
        let pieces: Result<Vec<Bytes>, EndpointError> = reply.body.try_collect().await;
        let whole = pieces.map(|pieces| pieces.concat());
        assert_eq!(whole.is_ok(), is_read, "{head:?}: {whole:?}");
    }
}

/// A plain endpoint that answers one call with `text` and closes its connection; its base address.
async fn serve_once(text: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1 << 10];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
    });
    base
}
