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
    assert_eq!(reader.unfinished_bytes(), 0);
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
    for text in ["i", "d: 1\nda", "ta: x", "\n"] {
        assert_eq!(&reader.push(text.as_bytes())[..], b"");
        assert!(reader.unfinished_bytes() > 0, "{text}");
    }
    assert_eq!(&reader.push(b"\n")[..], b"id: 1\ndata: x\n\n");
    assert_eq!(reader.unfinished_bytes(), 0);
}

/// A stream whose lines end with CR or CRLF was held back as one unfinished event.
#[test]
fn other_line_ends() {
    for end in ["\n", "\r\n", "\r"] {
        let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".replace('\n', end);
        for split in 0..text.len() {
            let (first, second) = text.as_bytes().split_at(split);
            let mut reader = EventReader::new(None);
            let mut out = reader.push(first).to_vec();
            let mut events = reader.pushed();
            out.extend_from_slice(&reader.push(second));
            events += reader.pushed();
            assert_eq!(out, text.as_bytes(), "{end:?} {split}");
            assert_eq!((events, reader.last()), (2, Some(2)), "{end:?} {split}");
            assert_eq!(reader.unfinished_bytes(), 0, "{end:?} {split}");
        }
    }
}

/// The bytes of an event before `at` never count as a complete one, whatever ends its lines.
#[test]
fn cut_anywhere() {
    for end in ["\n", "\r\n", "\r"] {
        let text = "id: 1\ndata: a\n\n".replace('\n', end);
        let last = text.len() - if end == "\r\n" { 1 } else { 0 };
        for at in 1..last {
            let mut reader = EventReader::new(None);
            assert_eq!(
                &reader.push(&text.as_bytes()[..at])[..],
                b"",
                "{end:?} {at}"
            );
            assert_eq!(reader.unfinished_bytes(), at);
        }
    }
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
