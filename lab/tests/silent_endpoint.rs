//! Requests that an endpoint keeps waiting while it answers others, through entries as processes.

use std::time::Duration;

use futures_util::future::join3;
use tokio::time::sleep;
use violetline_lab::site::*;
use violetline_lab::standin::Engine;

/// Pause between two events: each stream takes longer than an endpoint may be silent.
const EVENT_PAUSE: Duration = Duration::from_millis(150);
/// Time after which the second request is sent, while the stream goes on.
const LATER: Duration = Duration::from_millis(300);

/// A resumable stream that waited behind another one was sent to a second endpoint after three of
/// its targets, although the first one was heard all the time.
#[actix_rt::test]
async fn busy_taken_for_silent() {
    let site = Site::with_entry(1).await;
    site.engines[0].set_event_pause(EVENT_PAUSE);
    let other = Engine::start("i-other").await.unwrap();
    let streaming = site.ask("/stream/long-stream", "stream");
    let waiting = async {
        sleep(LATER).await;
        site.ask("/safe/hang", "waits").await
    };
    let listing = async {
        wait_for("both are at the first endpoint", || async {
            site.runs() == 2
        })
        .await;
        site.store.list(&other, "s1", "ready");
    };
    let (stream, waited, ()) = join3(streaming, waiting, listing).await;
    assert_eq!((stream.status, stream.is_cut), (200, false), "{stream:?}");
    assert_eq!(waited.status, 504, "{waited:?}");
    assert_eq!(other.arrivals().len(), 0);
}
