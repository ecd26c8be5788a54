//! Engines ended one after the other, each shortly after it had begun the same summary. Three had ended under it, and
//! it was sent to engines 7 times more, another one 13 times; 13 and 18 ended in all. Its caller sent it again each time, to
//! any entry and under another id, and every entry took it for a request that it had never seen: the lines of the entries
//! say `"attempt":1,"failure":"the stream broke off","may_have_run":true,"attempts_left":0` at each end, so no
//! entry had sent it on.

use std::time::Duration;

use tokio::time::sleep;
use violetline_lab::site::*;

/// Time for an engine to come back.
const BACK: Duration = Duration::from_millis(300);
/// Pause between two repeats of the caller.
const PAUSE: Duration = Duration::from_millis(120);
/// Repeats of the caller.
const REPEATS: usize = 40;
/// Engines that one request may end: a third end tells that it is the cause, and some copies may be on
/// their way by then.
const MOST_ENDED: usize = 6;

/// Sends one piece of work again and again, to one entry after the other; the statuses that came.
async fn repeat(site: &Site, path: &str, times: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for i in 0..times {
        let entry = &site.entries[i % site.entries.len()];
        let request = request_with(path, &format!("again-{i}"), "k1", "the same work");
        let answer = exchange(entry.addr("callers"), &request).await;
        statuses.push(answer.status);
        sleep(PAUSE).await;
    }
    statuses
}

#[actix_rt::test]
async fn sent_again() {
    for path in [
        "/stream/crash",
        "/once/crash",
        "/resume/crash",
        "/safe/crash",
    ] {
        let site = Site::with_entries(3, 6).await;
        site.revive_engines(BACK);
        let statuses = repeat(&site, path, REPEATS).await;
        let ended = site.crashes();
        assert!(
            ended <= MOST_ENDED,
            "{path}: {ended} engines ended, {statuses:?}"
        );
        assert_eq!(statuses.last(), Some(&503), "{path}: not run, and said so");
    }
}
