//! Frames from the wire: whole ones come back, damaged ones are refused, none panics.

use arbtest::arbtest;
use bytes::BytesMut;
use violetline::clock::Millis;
use violetline::document::Stamp;
use violetline::ids::{GrantId, RequestId};
use violetline::outcome::{NotRunReason, Outcome};
use violetline::wire::{self, FromSidecar, Gossip, Load, Start, ToSidecar, WireError, MAX_FRAME};

fn messages() -> Vec<FromSidecar> {
    let load = Load {
        slots: 8,
        running: 3,
        waiting: 1,
        service_ms: 90,
    };
    let outcome = Outcome::not_run(NotRunReason::TooLate, Millis(250));
    vec![
        FromSidecar::Queued(load),
        FromSidecar::Granted {
            grant: GrantId(7),
            valid_ms: 500,
            load,
        },
        FromSidecar::Started,
        FromSidecar::Chunk {
            tokens: 1,
            part: b"data: x\n\n".to_vec(),
        },
        FromSidecar::End {
            request: RequestId(9),
            outcome,
            load,
        },
    ]
}

#[test]
fn split_frames() {
    let mut stream = BytesMut::new();
    for message in messages() {
        stream.extend_from_slice(&wire::encode(&message));
    }
    let mut buf = BytesMut::new();
    let mut found = Vec::new();
    for byte in stream {
        buf.extend_from_slice(&[byte]);
        while let Some(message) = wire::decode::<FromSidecar>(&mut buf).unwrap() {
            found.push(message);
        }
    }
    assert_eq!(found, messages());
}

#[test]
fn oversize_frame() {
    let mut buf = BytesMut::from(&(MAX_FRAME as u32 + 1).to_be_bytes()[..]);
    assert_eq!(
        wire::decode::<ToSidecar>(&mut buf),
        Err(WireError::Oversize)
    );
}

#[test]
fn trailing_bytes() {
    let mut frame = wire::encode(&FromSidecar::Started).to_vec();
    frame.push(0);
    let len = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&len.to_be_bytes());
    let mut buf = BytesMut::from(&frame[..]);
    assert_eq!(
        wire::decode::<FromSidecar>(&mut buf),
        Err(WireError::Malformed)
    );
}

#[test]
fn any_bytes() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = wire::decode::<ToSidecar>(&mut BytesMut::from(&bytes[..]));
        let _ = wire::decode::<FromSidecar>(&mut BytesMut::from(&bytes[..]));
        let _ = wire::decode::<Gossip>(&mut BytesMut::from(&bytes[..]));
        Ok(())
    });
}

#[test]
fn damaged_frame() {
    arbtest(|u| {
        let start = Start {
            grant: GrantId(u.arbitrary()?),
            path: u.arbitrary()?,
            body: u.arbitrary()?,
            resume_from: u.arbitrary()?,
        };
        let sent = ToSidecar::Start(start);
        let mut frame = BytesMut::from(&wire::encode(&sent)[..]);
        let whole = wire::decode::<ToSidecar>(&mut frame.clone()).unwrap();
        assert_eq!(whole, Some(sent));
        let at = u.int_in_range(4..=frame.len() - 1)?;
        frame[at] ^= u.int_in_range(1..=255)?;
        let _ = wire::decode::<ToSidecar>(&mut frame);
        let digest = Gossip::Digest {
            bundle: Stamp::default(),
            members: Stamp::default(),
        };
        assert!(wire::encode(&digest).len() < 64, "a digest stays small");
        Ok(())
    });
}
