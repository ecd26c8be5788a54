//! A machine is suspended for seconds, and its steady clock stands still meanwhile. What a process on it measured by that
//! clock was younger than it looked: a key that was removed while the machine slept ran after it woke, 3 s
//! later with 2.5 s allowed, since the proof that the configuration was the newest seemed to be 0.1 s old.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use violetline_lab::site::*;
use violetline_lab::standin::Condition;

/// Time for which the machine is suspended: longer than a removed key may run.
const SUSPENDED: Duration = Duration::from_millis(KEY_REMOVAL_MS + 500);

#[actix_rt::test]
async fn removed_key() {
    let mut site = Site::with_entry(1).await;
    assert_eq!(site.ask("/once/ok", "r1").await.status, 200);
    site.store.set_condition(Condition::Silent);
    let mut stream = TcpStream::connect(site.entries[0].addr("callers"))
        .await
        .unwrap();
    site.configure(&[]);
    let sending = async {
        tokio::time::sleep(SUSPENDED / 2).await;
        let request = request("/once/ok", "r2", "k1");
        stream.write_all(&request).await.unwrap();
    };
    tokio::join!(site.suspend(0, SUSPENDED), sending);
    let answer = read_answer(&mut stream).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(site.runs(), 1, "it ran with a removed key");
}
