//! Callers of the soak that send large requests in bursts, some of them slowly, and the memory of
//! entries meanwhile.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout, Instant};

use super::callers::connect;
use super::{Soak, KEYS};
use crate::site::{self, Answer};
use crate::usage;

/// Length of the longest body that the configuration allows, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
/// Length of the shortest body of a burst, in bytes.
const MIN_BODY_BYTES: usize = 2 << 20;
/// Paths of large requests.
const PATHS: [&str; 3] = ["/once/slow", "/safe/slow", "/stream/events"];
/// Requests of a burst.
const BURST: std::ops::Range<usize> = 20..48;
/// Longest pause between two bursts, in ms.
const PAUSE_MS: u64 = 2_500;
/// One of so many callers sends the end of its body slowly.
const SLOW: u32 = 4;
/// What a slow caller leaves out at first, in bytes, and the pause before each further byte.
const REST_BYTES: usize = 4 << 10;
const BYTE_PAUSE: Duration = Duration::from_millis(200);
/// Time within which a caller has its answer: the time limit of these routes, and a little.
const TIME_LIMIT: Duration = Duration::from_millis(4_800);
/// Time before a request in which its entry must have been well for its answer to count.
const WELL: Duration = Duration::from_millis(1_000);
/// Time between two looks at the memory of entries.
const LOOK: Duration = Duration::from_millis(10);
/// Memory that an entry may use whose settings name none, in bytes.
const ENTRY_BYTES: u64 = 88 << 20;

/// Sends bursts of large requests, each to one entry, until a time.
pub(super) async fn burst_on(soak: Rc<Soak>, mut rng: SmallRng, until: Instant) {
    let mut burst = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.gen_range(0..PAUSE_MS))).await;
        burst += 1;
        let entry = rng.gen_range(0..soak.entries.len());
        let calls = (0..rng.gen_range(BURST)).map(|i| {
            let rng = SmallRng::seed_from_u64(rng.gen());
            call(&soak, entry, format!("large-{burst}-{i}"), rng)
        });
        join_all(calls).await;
    }
}

/// One caller of a burst.
async fn call(soak: &Soak, entry: usize, id: String, mut rng: SmallRng) {
    sleep(Duration::from_millis(rng.gen_range(0..300))).await;
    let path = PATHS[rng.gen_range(0..PATHS.len())];
    let length = rng.gen_range(MIN_BODY_BYTES..MAX_BODY_BYTES - 64);
    // Equal requests would be taken for one that ends engines.
    let body = id.clone() + &"x".repeat(length);
    let request = site::request_with(path, &id, KEYS[0], &body);
    let is_slow = rng.gen_ratio(1, SLOW);
    let Some((at, mut stream)) = connect(soak, entry).await else {
        return;
    };
    soak.note_sent(&id, path, KEYS[0], at);
    let sent = Instant::now();
    let exchanging = async {
        let (first, rest) = match is_slow {
            true => request.split_at(request.len() - REST_BYTES),
            false => (&request[..], &[][..]),
        };
        stream.write_all(first).await.ok()?;
        for byte in rest {
            tokio::select! {
                answer = site::read_answer(&mut stream) => return Some(answer),
                () = sleep(BYTE_PAUSE) => {}
            }
            stream.write_all(&[*byte]).await.ok()?;
        }
        Some(site::read_answer(&mut stream).await)
    };
    let answer: Result<Option<Answer>, _> = timeout(TIME_LIMIT, exchanging).await;
    let disturbed = &soak.entries[at].disturbed;
    let is_well = !disturbed.touch(sent - WELL, Instant::now());
    match answer {
        Ok(Some(answer)) => soak.note_answer(&id, answer),
        Ok(None) => {}
        Err(_) if is_well => {
            let finding = format!("{id} {path}: no answer within its time limit");
            soak.findings.borrow_mut().push(finding);
        }
        Err(_) => {}
    }
}

/// Checks that entries stay within their memory, until the soak has ended.
pub(super) async fn watch_memory(soak: Rc<Soak>) {
    let mut peaks = vec![0; soak.entries.len()];
    while !soak.ended.get() {
        for (entry, peak) in soak.entries.iter().zip(&mut peaks) {
            let held = usage::resident(entry.process.borrow().id());
            *peak = held.max(*peak);
        }
        sleep(LOOK).await;
    }
    for (i, peak) in peaks.into_iter().enumerate() {
        if peak > ENTRY_BYTES {
            let finding = format!("entry {i} held {peak} bytes");
            soak.findings.borrow_mut().push(finding);
        }
    }
}
