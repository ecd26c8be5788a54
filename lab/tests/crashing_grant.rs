//! A prompt that ends each engine that begins to run it comes again and again, to any entry, where sidecars grant the
//! engines' slots. Ten copies ended all eight engines of a pool: the entries took each for new work, and sent repeatable
//! ones on to the next engine by themselves.

mod common;

use std::time::Duration;

use common::*;
use tokio::time::sleep;
use violetline_lab::client::{Chat, End};
use violetline_lab::engine::CRASHES;
use violetline_lab::fleet::Fleet;

/// Engines that one prompt may end: the third tells, and one copy may be on its way by then.
const MOST_ENDED: usize = 4;

fn crashing(once: bool) -> Chat {
    let mut chat = chat("crash", "annotation", 10);
    chat.prompt = format!("this {CRASHES}");
    let header = ("x-violetline-once".into(), once.to_string());
    chat.headers.push(header);
    chat
}

/// Engines that have ended.
fn ended(fleet: &mut Fleet) -> usize {
    let slots = fleet.slots.iter_mut();
    slots
        .filter_map(|slot| (!slot.endpoint.is_running()).then_some(()))
        .count()
}

#[actix_rt::test]
async fn sent_again() {
    for once in [true, false] {
        let mut fleet = fleet(8, 1).await;
        let mut last = None;
        for i in 0..10 {
            let reply = fleet
                .caller
                .chat(fleet.callers(i % 2), &crashing(once))
                .await;
            last = Some(reply);
            sleep(Duration::from_millis(150)).await;
        }
        let ended = ended(&mut fleet);
        assert!(ended <= MOST_ENDED, "{ended} engines ended, once: {once}");
        let last = last.unwrap();
        let refused = End::Refused("not_run".into(), "ends_endpoints".into());
        assert_eq!(last.end, refused);
        // Others' work goes on.
        let reply = fleet
            .caller
            .chat(fleet.callers(0), &chat("well", "annotation", 10))
            .await;
        assert_eq!(reply.end, End::Complete);
        fleet.close();
    }
}
