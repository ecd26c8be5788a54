//! A plain endpoint said in an answer that it leaves, while the store took nothing; the entry that passed that answer on sent
//! it 24 more requests within six seconds, and others sent seven. The entry's lines say `"answers":false,"why":"unusable
//! answer: status 503"` of the store, then `placed` with `"attempt":1` 2.3 s after the answer, and no `endpoint_listed`
//! between: the word was passed on to the caller unread, and only the store's list could take an endpoint out of the choice.

use std::time::Duration;

use tokio::time::sleep;
use violetline_lab::site::*;
use violetline_lab::standin::Condition;

/// Requests after the word, none of which may reach the endpoint.
const LATER: usize = 5;

/// Asks again and again; how many requests reached the first engine, and the statuses.
async fn ask_later(site: &Site, path: &str) -> (usize, Vec<u16>) {
    let before = site.engines[0].arrivals().len();
    let mut statuses = Vec::new();
    for i in 0..LATER {
        let id = format!("later-{before}-{i}");
        statuses.push(site.ask(path, &id).await.status);
    }
    (site.engines[0].arrivals().len() - before, statuses)
}

/// Nothing more reaches an endpoint after it said that it leaves, in whatever answer, while the store is silent. Its pool
/// has no other, so the callers are told at once that nothing ran.
#[actix_rt::test]
async fn store_away() {
    for path in [
        "/once/ok",
        "/safe/ok",
        "/once/error",
        "/once/unframed",
        "/stream/events",
        "/resume/events",
    ] {
        let site = Site::with_entry(1).await;
        site.store.set_condition(Condition::Silent);
        site.engines[0].set_leaving(true);
        let told = site.ask(path, "told").await;
        assert_eq!(told.header("server-leaving"), Some("1"), "{path}");
        let (reached, statuses) = ask_later(&site, path).await;
        assert_eq!(reached, 0, "{path}: {statuses:?}");
        assert_eq!(statuses, [503; LATER], "{path}");
    }
}

/// Said in an answer to an earlier request that comes late, it holds as well.
#[actix_rt::test]
async fn said_late() {
    let site = Site::with_entry(1).await;
    site.engines[0].set_leaving(true);
    let answer = site.ask("/safe/late", "told").await;
    assert_eq!(
        (answer.status, answer.header("server-leaving")),
        (200, None)
    );
    assert_eq!(ask_later(&site, "/safe/ok").await.0, 0);
}

/// Said in a refusal, it holds as well, and the others serve.
#[actix_rt::test]
async fn said_in_refusal() {
    let site = Site::with_entry(2).await;
    for engine in &site.engines {
        engine.set_leaving(true);
        engine.set_shedding(true);
    }
    assert_eq!(site.ask("/once/ok", "told").await.status, 503);
    let told = site.arrivals().len();
    assert_eq!(told, 2, "both engines were asked");
    site.engines
        .iter()
        .for_each(|engine| engine.set_shedding(false));
    let (reached, statuses) = ask_later(&site, "/safe/ok").await;
    assert_eq!((reached, statuses), (0, vec![503; LATER]));
    assert_eq!(site.arrivals().len(), told);
}

/// The list says that the endpoint is ready, in each way in which it can: another entry, a whole listing, an
/// entry that lapsed and was written again. What the endpoint itself said goes before it.
#[actix_rt::test]
async fn list_says_ready() {
    let site = Site::with_entry(1).await;
    site.engines[0].set_leaving(true);
    assert_eq!(site.ask("/safe/ok", "told").await.status, 200);
    let list = || site.store.list(&site.engines[0], "s1", "ready");
    let settle = || sleep(Duration::from_millis(300));
    list();
    settle().await;
    assert_eq!(ask_later(&site, "/safe/ok").await.0, 0, "another entry");
    site.store.forget();
    list();
    settle().await;
    assert_eq!(ask_later(&site, "/safe/ok").await.0, 0, "a whole listing");
    site.store.unlist(&site.engines[0]);
    settle().await;
    list();
    settle().await;
    assert_eq!(ask_later(&site, "/safe/ok").await.0, 0, "written again");
}

/// Another life of the endpoint takes requests.
#[actix_rt::test]
async fn another_life() {
    let site = Site::with_entry(1).await;
    let engine = &site.engines[0];
    engine.set_leaving(true);
    assert_eq!(site.ask("/safe/ok", "told").await.status, 200);
    engine.crash().await;
    site.store.unlist(engine);
    engine.set_leaving(false);
    engine.start_again().await.unwrap();
    site.store.list(engine, "s1", "ready");
    wait_for("the new life is served", || async {
        site.ask("/safe/ok", "again").await.status == 200
    })
    .await;
}
