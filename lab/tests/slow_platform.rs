//! Documents of the product's own platform over a narrow link.
//!
//! The same cause as in `growing_configuration`, looked for here and not found: the time of a read
//! bounds the head of the answer only. This keeps it so.

use actix_http::{Request, Response};
use tokio::net::TcpListener;
use violetline::document::DocumentKind;
use violetline::listener;
use violetline::source::{DocumentSource, HttpSource, Read};
use violetline_lab::relay::Relay;

/// Length of a large document, in bytes.
const LARGE: usize = 1 << 20;
/// Rate at which it takes longer than the head of an answer may, in bytes a second.
const NARROW: u64 = 384 << 10;

#[actix_rt::test]
async fn large_document() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = listener::serve(listener, |_: Request| async {
        Response::ok().set_body(actix_http::body::BoxBody::new(vec![b'x'; LARGE]))
    });
    actix_rt::spawn(serving);
    let relay = Relay::start(address).await.unwrap();
    relay.narrow(Some(NARROW));
    let url = format!("http://{}/bundle", relay.addr);
    let source = HttpSource::new(&url, &url);
    let Ok(Read::Document(text)) = source.read(DocumentKind::Bundle).await else {
        panic!("a document");
    };
    assert_eq!(text.len(), LARGE);
}
