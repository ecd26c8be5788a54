//! Streams that break off and are taken up at an endpoint whose answer is not their rest, through
//! entries as processes.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use violetline_lab::site::*;

/// Answers that are not the rest of a stream.
const FOREIGN: [&str; 14] = [
    "error",
    "late",
    "redirect",
    "missing",
    "error-events",
    "partial",
    "created",
    "json",
    "empty-json",
    "unsealed",
    "unsealed-error",
    "busy",
    "no-content",
    "unframed-error",
];

/// All that comes on a connection after a request, up to its end, and whether it was reset.
async fn read_to_end(site: &Site, request: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(site.entries[0].addr("callers"))
        .await
        .unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut seen = Vec::new();
    let read = timeout(LONG, stream.read_to_end(&mut seen)).await;
    let is_reset = read.expect("the connection ends").is_err();
    (String::from_utf8_lossy(&seen).into_owned(), is_reset)
}

/// A request for a stream that the entry takes up by itself when it breaks off as `how` says.
fn stream_request(how: &str, then: &str) -> String {
    let route = if how == "die" { "stream" } else { "resume" };
    let path = format!("/{route}/{how}-then-{then}");
    let request = String::from_utf8(request(&path, then, "k1")).unwrap();
    request.replace("content-length", "x-token-usage: 100,400\r\ncontent-length")
}

/// The data of a body in chunks; panics where anything else stands in it.
fn unchunked(name: &str, mut body: &str) -> String {
    let mut data = String::new();
    while !body.is_empty() {
        let (size, rest) = body.split_once("\r\n").expect(name);
        let size = usize::from_str_radix(size, 16);
        let size = size.unwrap_or_else(|_| panic!("{name}: no size of a chunk in {body:?}"));
        assert!(size > 0, "{name}: a stream that broke off looks complete");
        data.push_str(&rest[..size]);
        body = rest[size..].strip_prefix("\r\n").expect(name);
    }
    data
}

/// The caller got a second head, and the body of an error, inside the chunks of a stream.
#[actix_rt::test]
async fn error_inside_stream() {
    let site = Site::with_entry(3).await;
    for then in FOREIGN {
        let (text, _) = read_to_end(&site, &stream_request("cut", then)).await;
        let (head, body) = text.split_once("\r\n\r\n").expect(then);
        assert!(head.starts_with("HTTP/1.1 200"), "{then}: {head}");
        let data = unchunked(then, body);
        assert_eq!(event_numbers(&data), [1, 2], "{then}: {data}");
        let taken_up = site.arrivals();
        let taken_up = taken_up.iter().filter(|a| a.id() == then && a.ran);
        assert_eq!(taken_up.count(), 2, "{then}");
    }
}

/// The same where the run goes on from the copy of its memory, on a route that runs once.
#[actix_rt::test]
async fn error_inside_copied() {
    for then in FOREIGN {
        let site = Site::with_entry(2).await;
        let (text, _) = read_to_end(&site, &stream_request("die", then)).await;
        let (_, body) = text.split_once("\r\n\r\n").expect(then);
        let data = unchunked(then, body);
        assert_eq!(event_numbers(&data), [1, 2], "{then}: {data}");
        assert_eq!(site.runs(), 2, "{then}");
    }
}

/// A caller with HTTP/1.0 knows no chunks, so a second head would be data to it; a reset tells it
/// that the stream broke off.
#[actix_rt::test]
async fn error_to_old_caller() {
    let site = Site::with_entry(3).await;
    for then in FOREIGN {
        let request = stream_request("cut", then).replace("HTTP/1.1", "HTTP/1.0");
        let (text, is_reset) = read_to_end(&site, &request).await;
        assert!(is_reset, "{then}: {text}");
        assert_eq!(text.matches("HTTP/1.").count(), 1, "{then}: {text}");
        assert!(
            event_numbers(&text).iter().all(|n| *n < 3),
            "{then}: {text}"
        );
    }
}

/// The entry took the connection for one that is kept: what the caller sends next must not be
/// answered on it.
#[actix_rt::test]
async fn next_after_error() {
    let site = Site::with_entry(3).await;
    let next = String::from_utf8(request("/once/ok", "next", "k1")).unwrap();
    let requests = stream_request("cut", "error") + &next;
    let (text, _) = read_to_end(&site, &requests).await;
    assert!(!text.contains("answer of next"), "{text}");
    assert!(site.arrivals().iter().all(|a| a.id() != "next"));
}

/// A caller whose stream broke off takes it up itself; an endpoint's error is then a whole answer.
#[actix_rt::test]
async fn caller_takes_up() {
    let site = Site::with_entry(3).await;
    let first = stream_request("cut", "missing");
    read_to_end(&site, &first).await;
    let again = first.replace("x-request-id: missing", "x-request-id: again");
    let lines = "resumes: missing\r\nlast-event-id: 2\r\ncontent-length";
    let again = again.replace("content-length", lines);
    let answer = exchange(site.entries[0].addr("callers"), again.as_bytes()).await;
    assert_eq!((answer.status, answer.body.as_str()), (404, "nothing"));
    assert!(answer.is_sealed());
}
