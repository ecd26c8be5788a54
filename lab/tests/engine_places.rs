//! The places of stand-in engines: order by urgency, preemption, and what becomes of a request when all are taken.

use violetline_lab::standin::{Places, Room, Stage, WhenFull};

const ROOM: Room = Room {
    slots: 1,
    queue: 1,
    memory_tokens: 1_000,
    when_full: WhenFull::TurnsAway,
};

#[test]
fn urgent_first() {
    let places = Places::new(Room { queue: 2, ..ROOM });
    let first = places.take(1, 10).unwrap();
    let (later, urgent) = (places.take(3, 10).unwrap(), places.take(2, 10).unwrap());
    assert_eq!(places.load(), (1, 2));
    drop(first);
    assert_eq!(
        (urgent.stage(), later.stage()),
        (Stage::Running, Stage::Waiting)
    );
}

#[test]
fn turned_away() {
    let places = Places::new(ROOM);
    let _running = places.take(1, 10).unwrap();
    let waiting = places.take(3, 10).unwrap();
    assert!(places.take(0, 10).is_none());
    assert_eq!(waiting.stage(), Stage::Waiting);
}

#[test]
fn put_out() {
    let places = Places::new(Room {
        when_full: WhenFull::PutsOut,
        ..ROOM
    });
    let _running = places.take(1, 10).unwrap();
    let later = places.take(3, 10).unwrap();
    let urgent = places.take(2, 10).unwrap();
    assert_eq!(
        (later.stage(), urgent.stage()),
        (Stage::PutOut, Stage::Waiting)
    );
    assert!(places.take(2, 10).is_none());
}

#[test]
fn preempted() {
    let places = Places::new(Room { slots: 2, ..ROOM });
    let kept = places.take(3, 10).unwrap();
    let last = places.take(3, 10).unwrap();
    let urgent = places.take(0, 10).unwrap();
    assert_eq!(
        (kept.stage(), last.stage(), urgent.stage()),
        (Stage::Running, Stage::Waiting, Stage::Running)
    );
    let preempted = places.preempted();
    assert_eq!((preempted[0].number, &preempted[0].ran_on), (1, &vec![0]));
}

/// What does not fit into the memory waits, unless it is alone.
#[test]
fn memory_full() {
    let places = Places::new(Room { slots: 4, ..ROOM });
    let large = places.take(1, 5_000).unwrap();
    let small = places.take(1, 10).unwrap();
    assert_eq!(
        (large.stage(), small.stage()),
        (Stage::Running, Stage::Waiting)
    );
    drop(large);
    assert_eq!(small.stage(), Stage::Running);
}
