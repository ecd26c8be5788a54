//! Documents never go back, converge under races, and travel as small differences.

use arbtest::arbtest;
use violetline::document::{Accepted, DocumentKind, Shelf, Stamp};

const KIND: DocumentKind = DocumentKind::Bundle;

fn put(shelf: &mut Shelf, version: u64, content: &str) -> Accepted {
    shelf.put(Stamp::new(version, content.as_bytes()), content.as_bytes())
}

#[test]
fn never_back() {
    let mut shelf = Shelf::default();
    assert_eq!(put(&mut shelf, 2, "two"), Accepted::Newer);
    assert_eq!(put(&mut shelf, 1, "one"), Accepted::Older);
    assert_eq!(put(&mut shelf, 2, "two"), Accepted::Same);
    assert_eq!(&*shelf.content().unwrap(), b"two");
}

#[test]
fn racing_operators() {
    arbtest(|u| {
        let mut offers: Vec<(u64, String)> = Vec::new();
        for _ in 0..12 {
            offers.push((
                u.int_in_range(1..=4)?,
                ["a", "b", "c"][u.int_in_range(0..=2)?].into(),
            ));
        }
        let mut shelves = [Shelf::default(), Shelf::default()];
        for shelf in &mut shelves {
            let mut mine = offers.clone();
            let mut last = Stamp::default();
            while !mine.is_empty() {
                let (version, content) = mine.swap_remove(u.choose_index(mine.len())?);
                put(shelf, version, &content);
                assert!(shelf.stamp() >= last, "a stamp never falls");
                last = shelf.stamp();
            }
        }
        assert_eq!(
            shelves[0].stamp(),
            shelves[1].stamp(),
            "all end up with the same one"
        );
        Ok(())
    });
}

fn large(version: u64, changed: usize) -> String {
    let teams: Vec<String> = (0..800)
        .map(|i| {
            format!(
                "{{\"name\":\"team-{i}\",\"tokens_per_s\":{}}}",
                i * 37 + usize::from(i == changed)
            )
        })
        .collect();
    format!("{{\"version\":{version},\"teams\":[{}]}}", teams.join(","))
}

#[test]
fn small_difference() {
    let (old, new) = (large(1, 10), large(2, 600));
    let mut sender = Shelf::default();
    let mut receiver = Shelf::default();
    put(&mut sender, 1, &old);
    put(&mut receiver, 1, &old);
    put(&mut sender, 2, &new);
    let parcel = sender.parcel(KIND, receiver.stamp()).unwrap();
    assert_eq!(parcel.base, Some(receiver.stamp()));
    assert!(
        parcel.data.len() * 20 < new.len(),
        "{} of {}",
        parcel.data.len(),
        new.len()
    );
    assert_eq!(receiver.unpack(&parcel).unwrap(), new.as_bytes());
    assert!(
        sender.parcel(KIND, sender.stamp()).is_none(),
        "nothing to send"
    );
}

#[test]
fn lost_base() {
    let mut sender = Shelf::default();
    for version in 1..=20 {
        put(&mut sender, version, &large(version, version as usize));
    }
    let ancient = Stamp::new(1, large(1, 1).as_bytes());
    let parcel = sender.parcel(KIND, ancient).unwrap();
    assert_eq!(
        parcel.base, None,
        "sent whole when the base is no longer kept"
    );
    assert!(Shelf::default().unpack(&parcel).is_some());
}

#[test]
fn damaged_parcel() {
    let mut sender = Shelf::default();
    put(&mut sender, 1, &large(1, 1));
    let whole = sender.parcel(KIND, Stamp::default()).unwrap();
    arbtest(|u| {
        let mut parcel = whole.clone();
        let at = u.choose_index(parcel.data.len())?;
        parcel.data[at] ^= u.int_in_range(1..=255)?;
        parcel.data.truncate(u.int_in_range(0..=parcel.data.len())?);
        let _ = Shelf::default().unpack(&parcel);
        Ok(())
    });
}
