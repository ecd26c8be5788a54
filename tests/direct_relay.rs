//! Splitting an endpoint's stream into events, also when it continues at another endpoint.

use violetline::direct::relay::EventReader;

#[test]
fn whole_events_only() {
    let mut reader = EventReader::new(None);
    assert_eq!(&reader.push(b"id: 1\ndata: a\n")[..], b"");
    assert_eq!(&reader.push(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(reader.last(), Some(1));
    assert_eq!(&reader.push(b"ta: b\n\n")[..], b"id: 2\ndata: b\n\n");
    assert_eq!(reader.last(), Some(2));
    assert!(reader.remainder().is_empty());
}

#[test]
fn delivered_events_dropped() {
    let mut reader = EventReader::new(Some(2));
    let out = reader.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    assert_eq!(&out[..], b"id: 3\ndata: c\n\n");
}

#[test]
fn unfinished_last_event() {
    let mut reader = EventReader::new(None);
    assert_eq!(&reader.push(b"data: x")[..], b"");
    assert_eq!(&reader.remainder()[..], b"data: x");
}

/// The same events come out, however the bytes are split into reads.
#[test]
fn any_split() {
    let text: Vec<u8> = (1..=9)
        .flat_map(|i| format!("id: {i}\ndata: {}\n\n", "x".repeat(i)).into_bytes())
        .collect();
    arbtest::arbtest(|u| {
        let mut reader = EventReader::new(None);
        let mut out = Vec::new();
        let mut at = 0;
        while at < text.len() {
            let next = (at + u.int_in_range(1..=20usize)?).min(text.len());
            out.extend_from_slice(&reader.push(&text[at..next]));
            at = next;
        }
        assert_eq!(out, text);
        assert_eq!(reader.last(), Some(9));
        Ok(())
    });
}
