//! Documents never go back, converge under races, and travel as small differences.

use arbtest::arbtest;
use violetline::document::{Accepted, DocumentKind, Stamp, Versions};

const KIND: DocumentKind = DocumentKind::Bundle;

fn put(versions: &mut Versions, version: u64, content: &str) -> Accepted {
    versions.put(Stamp::new(version, content.as_bytes()), content.as_bytes())
}

#[test]
fn never_back() {
    let mut versions = Versions::default();
    assert_eq!(put(&mut versions, 2, "two"), Accepted::Newer);
    assert_eq!(put(&mut versions, 1, "one"), Accepted::Older);
    assert_eq!(put(&mut versions, 2, "two"), Accepted::Same);
    assert_eq!(&*versions.content().unwrap(), b"two");
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
        let mut holders = [Versions::default(), Versions::default()];
        for versions in &mut holders {
            let mut mine = offers.clone();
            let mut last = Stamp::default();
            while !mine.is_empty() {
                let (version, content) = mine.swap_remove(u.choose_index(mine.len())?);
                put(versions, version, &content);
                assert!(versions.stamp() >= last, "a stamp never falls");
                last = versions.stamp();
            }
        }
        assert_eq!(
            holders[0].stamp(),
            holders[1].stamp(),
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
    let mut sender = Versions::default();
    let mut receiver = Versions::default();
    put(&mut sender, 1, &old);
    put(&mut receiver, 1, &old);
    put(&mut sender, 2, &new);
    let update = sender.update(KIND, receiver.stamp()).unwrap();
    assert_eq!(update.base, Some(receiver.stamp()));
    assert!(
        update.data.len() * 20 < new.len(),
        "{} of {}",
        update.data.len(),
        new.len()
    );
    assert_eq!(receiver.unpack(&update).unwrap(), new.as_bytes());
    assert!(
        sender.update(KIND, sender.stamp()).is_none(),
        "nothing to send"
    );
}

#[test]
fn lost_base() {
    let mut sender = Versions::default();
    for version in 1..=20 {
        put(&mut sender, version, &large(version, version as usize));
    }
    let ancient = Stamp::new(1, large(1, 1).as_bytes());
    let update = sender.update(KIND, ancient).unwrap();
    assert_eq!(
        update.base, None,
        "sent whole when the base is no longer kept"
    );
    assert!(Versions::default().unpack(&update).is_some());
}

#[test]
fn damaged_update() {
    let mut sender = Versions::default();
    put(&mut sender, 1, &large(1, 1));
    let whole = sender.update(KIND, Stamp::default()).unwrap();
    arbtest(|u| {
        let mut update = whole.clone();
        let at = u.choose_index(update.data.len())?;
        update.data[at] ^= u.int_in_range(1..=255)?;
        update.data.truncate(u.int_in_range(0..=update.data.len())?);
        let _ = Versions::default().unpack(&update);
        Ok(())
    });
}
