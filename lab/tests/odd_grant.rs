//! Answers behind sidecars whose heads are none, or whose ends say nothing.

use bytes::Bytes;
use futures_util::TryStreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use violetline::bundle::PoolKind;
use violetline::endpoint::{Call, Endpoint, EndpointError, HttpEndpoint};
use violetline::ids::{Incarnation, RequestId};

/// Calls an endpoint that answers with `text` and closes its connection; returns the body.
async fn body_of(text: &'static str, kind: PoolKind) -> Result<Vec<u8>, EndpointError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1 << 10];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
    });
    let call = Call {
        run: RequestId::random(),
        incarnation: Incarnation(1),
        priority: 0,
        path: "/".into(),
        body: Bytes::from_static(b"call"),
        resume_from: None,
    };
    let reply = HttpEndpoint::new(&base, kind).call(call).await?;
    let pieces: Vec<Bytes> = reply.body.try_collect().await?;
    Ok(pieces.concat())
}

#[actix_rt::test]
async fn sound_answers() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nanswer",
    ] {
        for kind in [PoolKind::Plain, PoolKind::Model] {
            assert_eq!(
                body_of(text, kind).await.as_deref(),
                Ok(&b"answer"[..]),
                "{text:?}"
            );
        }
    }
}

#[actix_rt::test]
async fn odd_heads() {
    for text in [
        "HTTP/1.1 000 Odd\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 101 Odd\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 600 Odd\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 999 Odd\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\nx-bad : 1\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\nx\u{1}bad: 1\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\nx-bad: 1\r\n 2\r\ncontent-length: 6\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\ncontent-length: 6\r\ntransfer-encoding: chunked\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 6\r\n\r\nanswer",
    ] {
        for kind in [PoolKind::Plain, PoolKind::Model] {
            assert_eq!(
                body_of(text, kind).await,
                Err(EndpointError::Lost),
                "{text:?}"
            );
        }
    }
}

#[actix_rt::test]
async fn unmarked_ends() {
    for text in [
        "HTTP/1.1 200 OK\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nanswer",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nanswer\r\n",
    ] {
        assert_eq!(
            body_of(text, PoolKind::Plain).await,
            Err(EndpointError::Lost),
            "{text:?}"
        );
    }
}
