//! The rules on urgency, as the soak judges them.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use violetline_lab::site::wait_for;
use violetline_lab::standin::{Engine, Room, WhenFull};
use violetline_lab::tiers::{preempted, worst, Asked, Begun};

/// So many requests of one urgency within a second, of which some got nothing.
fn asked(count: usize, nothing: usize, at: Instant) -> Vec<Asked> {
    let ask = |i: usize| Asked {
        at: at + Duration::from_millis(i as u64),
        urgency: 0,
        tokens: 100,
        is_served: i >= nothing,
    };
    (0..count).map(ask).collect()
}

fn begun(urgency: u8, tokens: u64, at: Instant) -> Begun {
    Begun {
        at,
        urgency,
        tokens,
    }
}

#[test]
fn both_sizes() {
    let now = Instant::now();
    let later = |tokens| [begun(1, tokens, now + Duration::from_secs(1))];
    let is_broken = |asked: &[Asked], begun: &[Begun]| {
        worst(asked, begun, 0, |_| false).is_some_and(|span| span.is_broken())
    };
    assert!(is_broken(&asked(100, 10, now), &later(2_001)));
    assert!(!is_broken(&asked(100, 10, now), &later(2_000)));
    assert!(!is_broken(&asked(100, 9, now), &later(9_000)));
    assert!(!is_broken(&asked(120, 10, now), &later(9_000)));
    assert!(!is_broken(&asked(100, 10, now), &[begun(0, 9_000, now)]));
}

/// What is unbroken for the whole of a day may be broken in five seconds of it.
#[test]
fn each_span() {
    let now = Instant::now();
    let mut all = asked(500, 0, now);
    let bad = now + Duration::from_secs(60);
    all.extend(asked(20, 10, bad));
    let meanwhile = [begun(1, 9_000, bad)];
    let span = worst(&all, &meanwhile, 0, |_| false).unwrap();
    assert_eq!((span.asked, span.nothing, span.less_urgent), (20, 10, 1));
    assert!(span.is_broken());
    assert!(worst(&all, &meanwhile, 0, |at| at >= bad).is_some_and(|span| !span.is_broken()));
}

/// A request with a kind and the urgency that the engine is told.
fn order(kind: u8, told: u8, number: usize) -> Vec<u8> {
    format!(
        "POST /urgent/work HTTP/1.1\r\nhost: h\r\nx-request-id: {kind}-{number}\r\n\
         x-expect-instance: i-0\r\nx-request-priority: {told}\r\nx-token-usage: 1,5000\r\n\
         content-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// An engine that is told another order than that of the kinds preempts the most urgent kind while the least urgent runs on, also
/// where what it takes for the least urgent is not that.
#[actix_rt::test]
async fn preempted_before() {
    let engine = Engine::start("i-0").await.unwrap();
    engine.set_room(Some(Room {
        slots: 12,
        queue: 30,
        memory_tokens: 1 << 20,
        when_full: WhenFull::TurnsAway,
    }));
    let mut streams = Vec::new();
    let orders = [(2, 0, 1), (0, 5, 11), (1, 0, 11)];
    for (kind, told, count) in orders {
        for number in 0..count {
            let mut stream = TcpStream::connect(engine.address).await.unwrap();
            stream.write_all(&order(kind, told, number)).await.unwrap();
            streams.push(stream);
        }
        let sent = streams.len();
        wait_for("the engine has them", || async {
            engine.arrivals().len() == sent
        })
        .await;
    }
    let kind = |id: &str| id.split('-').next().and_then(|kind| kind.parse().ok());
    assert_eq!(preempted(&engine, kind), Some(11));
    assert_eq!(preempted(&engine, |_| Some(0)), None);
}
