//! Heads that are no answer, from endpoints in trouble: callers got them as answers, with a faulty line passed on or a
//! body that was not the endpoint's.

use futures_util::future::join_all;
use violetline_lab::site::*;
use violetline_lab::standin::ODD_HEADS;

/// An answer of an endpoint's own to `route` for each such head; its connection is not used again.
async fn check(site: &Site, route: &str) {
    let answers = ODD_HEADS.map(|wish| async move {
        let id = format!("{route}-{wish}");
        (wish, site.ask(&format!("/{route}/{wish}"), &id).await)
    });
    for (wish, answer) in join_all(answers).await {
        assert_eq!(answer.status, 502, "{route} {wish}: {answer:?}");
        assert!(!answer.is_sealed(), "{route} {wish}: {answer:?}");
    }
    assert_eq!(site.ask("/once/ok", "afterwards").await.status, 200);
}

#[actix_rt::test]
async fn run_once() {
    check(&Site::with_entry(2).await, "once").await;
}

#[actix_rt::test]
async fn run_again() {
    check(&Site::with_entry(2).await, "safe").await;
}

#[actix_rt::test]
async fn streams() {
    check(&Site::with_entry(2).await, "stream").await;
}
