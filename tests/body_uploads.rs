//! Which bodies of requests find memory, and which ones give way to others while they arrive.

use futures_util::FutureExt;
use violetline::clock::Millis;
use violetline::direct::uploads::{Upload, Uploads};
use violetline::memory::{HeldMemory, Memory, Purpose};

const MB: usize = 1 << 20;
/// Memory of the machine, in MB; half of it can be held.
const MACHINE_MB: u64 = 200;
const LIMIT: usize = 100 * MB;
const NOW: Millis = Millis(1_000);
/// A time at which a body that began at [`NOW`] and of which nothing came is slow.
const LATER: Millis = Millis(3_000);

fn memory() -> Memory {
    Memory::new(MACHINE_MB)
}

/// What a request of an urgency band can hold in pieces of one size, beside nothing else.
fn room(band: usize, piece: usize) -> usize {
    let memory = memory();
    let mut held: Vec<HeldMemory> = Vec::new();
    loop {
        let mut next = memory.begin(Purpose::Request { band });
        if !next.grow_to(piece) {
            return memory.held();
        }
        held.push(next);
    }
}

fn begin(uploads: &Uploads, band: usize, bytes: usize) -> Upload {
    let upload = uploads.begin(band, NOW);
    assert!(uploads.grow_to(&upload, bytes, NOW));
    upload
}

fn has_given_way(upload: &Upload) -> bool {
    upload.displaced().now_or_never().is_some()
}

/// Less urgent and large bodies find no room while there is some for more urgent and small ones, and
/// answers find room beside all of them.
#[test]
fn urgent_last() {
    let small = [0, 1, 2].map(|band| room(band, 32 << 10));
    let large = [0, 1, 2].map(|band| room(band, MB));
    assert!(small.is_sorted_by(|a, b| a > b), "{small:?}");
    assert!(large.is_sorted_by(|a, b| a > b), "{large:?}");
    assert!((0..3).all(|band| small[band] > large[band]));
    assert!(small[0] < LIMIT, "answers have no room");
}

/// A less urgent body that arrives gives way to a more urgent one, and never the other way round.
#[test]
fn less_urgent_gives_way() {
    let memory = memory();
    let uploads = Uploads::new(memory.clone());
    let less_urgent = begin(&uploads, 2, 40 * MB);
    let urgent = begin(&uploads, 0, 40 * MB);
    assert!(has_given_way(&less_urgent) && !has_given_way(&urgent));
    let next = uploads.begin(2, NOW);
    assert!(!uploads.grow_to(&next, 40 * MB, NOW));
    assert!(!has_given_way(&urgent));
    assert!(urgent.complete().is_some() && less_urgent.complete().is_none());
}

/// A slow urgent body was given up for a less urgent one.
#[test]
fn slow_urgent_stays() {
    let uploads = Uploads::new(memory());
    let urgent = begin(&uploads, 0, 60 * MB);
    let less_urgent = uploads.begin(2, LATER);
    assert!(!uploads.grow_to(&less_urgent, 20 * MB, LATER));
    assert!(!has_given_way(&urgent));
}

/// A slow body gives way to another one of its urgency; one that arrives in time does not.
#[test]
fn slow_gives_way() {
    let uploads = Uploads::new(memory());
    let [slow, prompt] = [25, 24].map(|mb| begin(&uploads, 2, mb * MB));
    prompt.arrived(24 * MB, LATER);
    let next = uploads.begin(2, LATER);
    assert!(uploads.grow_to(&next, 20 * MB, LATER));
    assert!(has_given_way(&slow) && !has_given_way(&prompt));
}

/// Bodies were given up for one that found no room all the same.
#[test]
fn none_given_up_in_vain() {
    let memory = memory();
    let uploads = Uploads::new(memory.clone());
    let mut answer = memory.begin(Purpose::Answer);
    assert!(answer.grow_to(45 * MB));
    let less_urgent = begin(&uploads, 2, 4 * MB);
    let urgent = uploads.begin(0, NOW);
    assert!(!uploads.grow_to(&urgent, 40 * MB, NOW));
    assert!(!has_given_way(&less_urgent));
    assert!(less_urgent.complete().is_some());
}

/// A lower limit, as after a reload, takes nothing from what is held, and refuses what comes.
#[test]
fn limit_changes() {
    let memory = memory();
    let mut held = memory.begin(Purpose::Request { band: 0 });
    assert!(held.grow_to(60 * MB));
    memory.set_machine(MACHINE_MB / 4);
    let mut next = memory.begin(Purpose::Request { band: 0 });
    assert!(!next.grow_to(MB));
    drop(held);
    assert!(next.grow_to(MB));
}
