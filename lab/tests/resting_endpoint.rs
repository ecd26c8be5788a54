//! Three engines turned every request away for eight seconds and asked for 3 s of rest each time; one entry sent four more
//! to one of them within that time, though six others had room. The entry's lines say `"failure":"not run, status
//! 503"` and 0.36 s later `placed` at the same endpoint with `"expected_ms":7,"cached":6949,"running":0`: the time that it asked
//! for was not read, an endpoint that takes nothing looks idle, and keeps the parts of the prompts that it is sent. It was set
//! aside after the third refusal in a row, for 0.7 s.

use std::time::Duration;

use tokio::time::{sleep, Instant};
use violetline_lab::site::*;

/// Requests within a time of rest.
const WITHIN: usize = 8;

/// Nothing reaches an endpoint in the time of rest that it asked for, by whatever kind of request; then it is used
/// again. It is the only one, so each caller is told at once, with a time that lies after the rest and not all with the
/// same.
#[actix_rt::test]
async fn left_alone() {
    for path in ["/once/ok", "/safe/ok", "/stream/events", "/resume/events"] {
        let site = Site::with_entry(1).await;
        let engine = &site.engines[0];
        engine.set_resting(Some("1.5"));
        let asked = Instant::now();
        assert_eq!(site.ask(path, "first").await.status, 503, "{path}");
        engine.set_resting(None);
        let mut advice = Vec::new();
        for i in 0..WITHIN {
            let answer = site.ask(path, &format!("within-{i}")).await;
            assert_eq!(answer.status, 503, "{path}");
            let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            advice.push(asked.elapsed().as_secs_f64() + seconds);
        }
        assert_eq!(engine.arrivals().len(), 1, "{path}");
        assert!(advice.iter().all(|at| *at >= 1.5), "{path}: {advice:?}");
        let spread = advice.iter().fold(0.0, |most, at| {
            f64::max(most, at - advice[0]).max(advice[0] - at)
        });
        assert!(spread > 0.005, "{path}: all come back at once, {advice:?}");
        sleep(Duration::from_millis(1_600).saturating_sub(asked.elapsed())).await;
        assert_eq!(site.ask(path, "after").await.status, 200, "{path}");
    }
}

/// Another endpoint has room: after the first refusal it serves everything.
#[actix_rt::test]
async fn others_serve() {
    let site = Site::with_entry(2).await;
    site.engines[0].set_resting(Some("3"));
    for i in 0..3 * WITHIN {
        let answer = site.ask("/once/ok", &format!("r{i}")).await;
        assert_eq!(answer.status, 200);
    }
    assert!(site.engines[0].arrivals().len() <= 1);
    assert_eq!(site.engines[1].arrivals().len(), 3 * WITHIN);
}

/// Its entry in the list lapses and is written again: the rest goes on. A shorter time asked for later, by an answer that
/// was under way, doesn't end it before.
#[actix_rt::test]
async fn listed_again() {
    let site = Site::with_entry(1).await;
    let engine = &site.engines[0];
    engine.set_resting(Some("30"));
    assert_eq!(site.ask("/safe/ok", "first").await.status, 503);
    engine.set_resting(None);
    site.store.unlist(engine);
    sleep(Duration::from_millis(300)).await;
    site.store.list(engine, "s1", "ready");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(site.ask("/safe/ok", "later").await.status, 503);
    assert_eq!(engine.arrivals().len(), 1);
}

/// What is no time asks for nothing.
#[actix_rt::test]
async fn no_time() {
    for told in ["0", "-3", "soon"] {
        let site = Site::with_entry(1).await;
        site.engines[0].set_resting(Some(told));
        assert_eq!(site.ask("/safe/ok", "first").await.status, 503);
        assert_eq!(site.ask("/safe/ok", "second").await.status, 503);
        assert_eq!(site.engines[0].arrivals().len(), 2, "{told}");
    }
}
