//! Memory of keys: what a fresh process may say about a key that it has never seen.

use uuid::{ContextV7, Timestamp, Uuid};
use violetline::clock::Millis;
use violetline::keys::{home, issued_at, KeyMemory, KeyVerdict, Rehoming};
use violetline::wire::Answer;

const SKEW: Millis = Millis(100);
const START: Millis = Millis(1_700_000_000_000);

fn key_at(ms: u64) -> Uuid {
    let ts = Timestamp::from_unix(
        ContextV7::new(),
        ms / 1_000,
        (ms % 1_000) as u32 * 1_000_000,
    );
    Uuid::new_v7(ts)
}

fn memory() -> KeyMemory {
    KeyMemory::new(START, SKEW)
}

#[test]
fn fresh_key() {
    let mut memory = memory();
    let key = key_at(START.0 + 500);
    let now = START + Millis(500);
    assert_eq!(memory.begin(key, now, SKEW), KeyVerdict::Fresh);
    assert_eq!(memory.begin(key, now, SKEW), KeyVerdict::InFlight);
    memory.release(key);
    assert_eq!(
        memory.begin(key, now, SKEW),
        KeyVerdict::Fresh,
        "it never started"
    );
}

#[test]
fn forgotten_key() {
    let mut memory = memory();
    for before in [1, 5_000] {
        let key = key_at(START.0 - before);
        assert_eq!(
            memory.begin(key, START + Millis(1_000), SKEW),
            KeyVerdict::Forgotten
        );
    }
    let within_skew = key_at(START.0 + 50);
    assert_eq!(
        memory.begin(within_skew, START + Millis(1_000), SKEW),
        KeyVerdict::Forgotten
    );
}

#[test]
fn future_key() {
    let mut memory = memory();
    let key = key_at(START.0 + 5_000);
    assert_eq!(
        memory.begin(key, START + Millis(1_000), SKEW),
        KeyVerdict::FromFuture
    );
}

#[test]
fn done_key() {
    let mut memory = memory();
    let now = START + Millis(1_000);
    let answer = Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: b"ok".to_vec(),
    };
    let (kept, large, lost) = (key_at(now.0), key_at(now.0), key_at(now.0));
    for key in [kept, large, lost] {
        assert_eq!(memory.begin(key, now, SKEW), KeyVerdict::Fresh);
        memory.started(key);
    }
    memory.done(kept, Some(answer.clone()));
    memory.done(
        large,
        Some(Answer {
            body: vec![0; 1 << 20],
            ..answer.clone()
        }),
    );
    memory.unknown(lost);
    assert_eq!(memory.begin(kept, now, SKEW), KeyVerdict::Done(answer));
    assert_eq!(memory.begin(large, now, SKEW), KeyVerdict::DoneUnkept);
    assert_eq!(memory.begin(lost, now, SKEW), KeyVerdict::Unknown);
}

#[test]
fn trimmed_key() {
    let mut memory = memory();
    let now = START + Millis(1_000);
    let (done, running) = (key_at(now.0), key_at(now.0));
    assert_eq!(memory.begin(done, now, SKEW), KeyVerdict::Fresh);
    assert_eq!(memory.begin(running, now, SKEW), KeyVerdict::Fresh);
    memory.started(running);
    memory.done(done, None);
    let later = now + Millis(60_000);
    memory.trim(later, Millis(10_000));
    assert_eq!(
        memory.begin(done, later, SKEW),
        KeyVerdict::Forgotten,
        "not fresh again"
    );
    assert_eq!(
        memory.begin(running, later, SKEW),
        KeyVerdict::InFlight,
        "what runs is kept"
    );
}

#[test]
fn changed_homes() {
    let rehoming = Rehoming {
        before: 3,
        until: START,
    };
    let (mut moved, mut stayed) = (0, 0);
    for _ in 0..300 {
        let early = key_at(START.0 - 1);
        let now_at = home(early, 4);
        assert!(
            !rehoming.may_have_run_elsewhere(key_at(START.0), now_at),
            "issued after"
        );
        if home(early, 3) == now_at {
            stayed += 1;
            assert!(!rehoming.may_have_run_elsewhere(early, now_at));
        } else {
            moved += 1;
            assert!(rehoming.may_have_run_elsewhere(early, now_at));
        }
    }
    assert!(
        stayed > moved,
        "a fourth place takes over about a quarter: {moved} of 300"
    );
}

#[test]
fn any_history() {
    arbtest::arbtest(|u| {
        let mut memory = memory();
        let mut now = START + SKEW;
        let mut started: Vec<Uuid> = Vec::new();
        let mut keys: Vec<Uuid> = Vec::new();
        for _ in 0..60 {
            now = now + Millis(u.int_in_range(0..=400)?);
            if keys.is_empty() || u.ratio(1, 3)? {
                keys.push(key_at(now.0 - u.int_in_range(0..=300)?));
            }
            let key = keys[u.int_in_range(0..=keys.len() - 1)?];
            if memory.begin(key, now, SKEW) == KeyVerdict::Fresh {
                assert!(
                    !started.contains(&key),
                    "a key that started is never fresh again"
                );
                if u.arbitrary()? {
                    memory.started(key);
                    started.push(key);
                    if u.arbitrary()? {
                        memory.done(key, None);
                    }
                } else {
                    memory.release(key);
                }
            }
            if u.ratio(1, 5)? {
                memory.trim(now, Millis(500));
            }
        }
        Ok(())
    });
}

#[test]
fn same_home() {
    let key = key_at(START.0);
    assert_eq!(issued_at(key), Some(START));
    let homes: Vec<u32> = (1..=12).map(|places| home(key, places)).collect();
    for (places, found) in (1..=12).zip(&homes) {
        assert!(*found < places);
    }
    let moved = homes.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(moved <= 8, "a further place takes over few keys: {homes:?}");
    assert_eq!(issued_at(Uuid::new_v4()), None);
}
