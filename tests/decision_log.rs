//! The decision log: the limits on its lines, their format, and `explain`, which finds the cause of
//! a request's outcome from its id.

use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;

use violetline::announced::DeclineReason;
use violetline::clock::{Clock, Millis};
use violetline::direct::decision::{
    Decision, DecisionLog, ListRecord, LostRunRecord, RefusalReason, RequestOutcome,
};
use violetline::direct::ends::{EndSign, LostHow, LostRun};
use violetline::direct::explain::explain;
use violetline::direct::resolve::Denied;
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::parts::{EndpointKind, PartId};

#[derive(Clone, Default)]
struct SharedBuffer(Rc<RefCell<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.borrow().clone()).unwrap()
    }
}

fn log() -> (Clock, SharedBuffer, DecisionLog) {
    let clock = Clock::manual(Millis(1_000));
    let output = SharedBuffer::default();
    let log = DecisionLog::new(clock.clone(), Box::new(output.clone()), Box::new(|| 3));
    (clock, output, log)
}

fn placed(endpoint: &str) -> Decision {
    Decision::Placed {
        route: "r-1".into(),
        endpoint: endpoint.into(),
        software_version: String::new(),
        resumes: None,
        attempt: 1,
        priority: 2,
        expected_ms: 40,
        cached: 6_300,
        moved: 0,
        moved_from: None,
        unread: 2_890,
        reserved_endpoints: 0,
        reserved: false,
        running: 4,
        catalog: 7,
        proof_age_ms: Some(900),
        list: Some(Box::new(ListRecord {
            revision: 35,
            era: None,
            age_ms: 400,
            from: "store".into(),
        })),
        left_ms: 3_990,
        against: None,
        limit_per_s: None,
        copy: None,
        takes_over: false,
        passed_over: 0,
        parts: Vec::new(),
    }
}

fn ended(endpoint: &str, how: RequestOutcome) -> Decision {
    Decision::Ended {
        route: "r-1".into(),
        endpoint: endpoint.into(),
        how,
        urgency: None,
        status: if how == RequestOutcome::Served {
            200
        } else {
            502
        },
        first_ms: None,
        pause_ms: None,
        framing: None,
        unfinished_bytes: 0,
        total_ms: 12,
    }
}

#[test]
fn lines_limited() {
    let (_, output, log) = log();
    for _ in 0..1_000 {
        log.request(b"1", placed("i-1"));
    }
    log.request(b"2", ended("i-1", RequestOutcome::Unknown));
    let text = output.text();
    assert_eq!(text.lines().count(), 301);
    assert!(text.lines().last().unwrap().contains("\"unknown\""));
    log.next_second();
    let after_second = output.text();
    let last = after_second.lines().last().unwrap();
    assert!(
        last.contains("\"served\":700") && last.contains("\"writer\":3"),
        "{last}"
    );
    log.request(b"3", placed("i-1"));
    assert!(output
        .text()
        .lines()
        .last()
        .unwrap()
        .contains("\"request\":\"3\""));
}

#[test]
fn cause_of_unknown() {
    let (clock, output, log) = log();
    let listed = |endpoint: &str| Decision::EndpointListed {
        endpoint: endpoint.into(),
        standing: "removed".into(),
        software_version: String::new(),
        revision: 9,
        era: None,
    };
    log.request(b"other", placed("i-2"));
    log.request(b"9c41", placed("i-1"));
    clock.advance(Millis(5));
    log.state_change(listed("i-2"));
    log.state_change(listed("i-1"));
    clock.advance(Millis(7));
    let failed = Decision::AttemptFailed {
        endpoint: "i-1".into(),
        attempt: 1,
        failure: "connection lost".into(),
        may_have_run: true,
        fingerprint: String::new(),
        attempts_left: 0,
        urgency: None,
        running: None,
        slots: None,
    };
    log.request(b"9c41", failed);
    log.request(b"9c41", ended("i-1", RequestOutcome::Unknown));
    let mixed_log = format!("not a line\n  12.5 front-1 {}", output.text());
    let explanation = explain(&mixed_log, "9c41").unwrap();
    assert_eq!(explanation.unparsed_lines, 1);
    insta::assert_snapshot!(explanation.text);
    assert_eq!(explain(&mixed_log, "9c42"), None);
}

#[test]
fn cause_of_refusal() {
    let (clock, output, log) = log();
    let store = |answers| Decision::Store {
        answers,
        why: "no answer in time".into(),
    };
    log.state_change(store(false));
    clock.advance(Millis(4_500));
    let refused = Decision::Refused {
        why: RefusalReason::Denied(Denied::StaleCatalog),
        target: "ficu95.example/lohu930/2f".into(),
        catalog: 7,
        proof_age_ms: Some(4_800),
        held_ms: 0,
        urgency: None,
        free_endpoints: None,
        passed_over: 0,
    };
    log.request(b"9c41", refused);
    insta::assert_snapshot!(explain(&output.text(), "9c41").unwrap().text);
}

/// `explain` of a refused repeat shows the endpoints that ended under earlier requests of the same
/// fingerprint, however long ago that was.
#[test]
fn cause_of_quarantine() {
    let (clock, output, log) = log();
    let repeated = Fingerprint(0xbd89);
    let end = |endpoint: &str, lost: &[Fingerprint]| Decision::EndpointEnded {
        endpoint: endpoint.into(),
        sign: EndSign::Refused,
        lost: lost.iter().map(ToString::to_string).collect(),
        runs: Vec::new(),
    };
    log.state_change(end("i-1", &[Fingerprint(1), repeated]));
    log.state_change(end("i-2", &[Fingerprint(1)]));
    clock.advance(Millis(300));
    log.state_change(Decision::RequestRefused {
        fingerprint: repeated.to_string(),
        ends: 3,
        for_ms: 600_000,
    });
    clock.advance(Millis(60_000));
    let refused = Decision::Refused {
        why: RefusalReason::EndsEndpoints {
            fingerprint: repeated,
            ends: 3,
            come_back_ms: 540_000,
        },
        target: "ficu95.example/lohu930/2f".into(),
        catalog: 7,
        proof_age_ms: Some(200),
        held_ms: 0,
        urgency: None,
        free_endpoints: None,
        passed_over: 0,
    };
    log.request(b"9c41", refused);
    let text = explain(&output.text(), "9c41").unwrap().text;
    assert_eq!(text.lines().count(), 3, "{text}");
    assert!(text.contains("endpoint=i-1") && !text.contains("endpoint=i-2"));
}

/// `explain` of a request shows what its endpoint had announced before; where no endpoint accepted
/// the request, what any endpoint had announced.
#[test]
fn cause_of_backoff() {
    let (clock, output, log) = log();
    for endpoint in ["i-1", "i-2"] {
        log.state_change(Decision::EndpointAnnounced {
            endpoint: endpoint.into(),
            announces: DeclineReason::Rests,
            for_ms: Some(3_000),
            in_answer_to: "9c40".into(),
        });
    }
    clock.advance(Millis(20_000));
    log.request(b"9c41", placed("i-1"));
    let text = explain(&output.text(), "9c41").unwrap().text;
    assert!(text.contains("announces=rests"), "{text}");
    assert!(text.contains("in_answer_to=9c40"), "{text}");
    assert!(!text.contains("endpoint=i-2"), "{text}");
    let refused = Decision::Refused {
        why: RefusalReason::EndpointsRest { first_back_ms: 400 },
        target: "ficu95.example/lohu930/2f".into(),
        catalog: 7,
        proof_age_ms: Some(200),
        held_ms: 0,
        urgency: None,
        free_endpoints: Some(0),
        passed_over: 0,
    };
    log.request(b"9c42", refused);
    let text = explain(&output.text(), "9c42").unwrap().text;
    assert!(
        text.contains("endpoint=i-1") && text.contains("endpoint=i-2"),
        "{text}"
    );
}

/// Failures of the most urgent requests are logged even while hundreds of others fail.
#[test]
fn urgent_failures_logged() {
    let (_, output, log) = log();
    let refused = |urgency| Decision::Refused {
        why: RefusalReason::EndpointRefused,
        target: "ficu95.example/lohu930/2f".into(),
        catalog: 7,
        proof_age_ms: Some(200),
        held_ms: 2,
        urgency: Some(urgency),
        free_endpoints: Some(3),
        passed_over: 0,
    };
    for _ in 0..1_000 {
        log.request(b"less", refused(1));
    }
    log.request(b"urgent", refused(0));
    assert!(output.text().contains("\"request\":\"urgent\""));
}

/// Guards against an explanation that leaves out how fast the chosen endpoint is, which is logged
/// only when it changes, or that shows the speeds of others.
#[test]
fn cause_of_late_stream() {
    let (clock, output, log) = log();
    let speed = |endpoint: &str| Decision::EndpointSpeed {
        endpoint: endpoint.into(),
        relative_time: 2.378,
        event_ms: Some(71.5),
    };
    log.state_change(speed("i-1"));
    log.state_change(speed("i-2"));
    clock.advance(Millis(60_000));
    log.state_change(Decision::PoolCapacity {
        pool: "chat".into(),
        prefill_tokens_per_ms: 68.0,
        step_ms: 5.0,
        tokens_per_event: 6.0,
    });
    log.request(b"9c41", placed("i-1"));
    log.request(b"9c41", ended("i-1", RequestOutcome::Served));
    let text = explain(&output.text(), "9c41").unwrap().text;
    assert_eq!(text.lines().count(), 4, "{text}");
    assert!(text.contains("endpoint_speed  endpoint=i-1"), "{text}");
    assert!(!text.contains("endpoint=i-2"), "{text}");
    assert!(text.contains("pool_capacity  pool=chat"), "{text}");
}

/// `explain` of a request that is refused for a part shows the ends under requests with that part.
#[test]
fn cause_of_refused_part() {
    let (clock, output, log) = log();
    let end = |endpoint: &str, part: u64| Decision::EndpointEnded {
        endpoint: endpoint.into(),
        sign: EndSign::Refused,
        lost: Vec::new(),
        runs: vec![LostRunRecord::of(&lost_run(&[part], None))],
    };
    log.state_change(end("i-1", 0xbad));
    log.state_change(end("i-2", 0xc0));
    log.state_change(Decision::PartRefused {
        part: PartId(0xbad),
        with: None,
        ends: 4,
        for_ms: 600_000,
    });
    clock.advance(Millis(9_000));
    let refused = Decision::Refused {
        why: RefusalReason::PartEndsEndpoints {
            part: PartId(0xbad),
            ends: 4,
            come_back_ms: 591_000,
        },
        target: "h.example/stream/1".into(),
        catalog: 7,
        proof_age_ms: Some(900),
        held_ms: 1,
        urgency: Some(1),
        free_endpoints: Some(5),
        passed_over: 0,
    };
    log.request(b"9c41", refused);
    let text = explain(&output.text(), "9c41").unwrap().text;
    assert!(text.contains("i-1") && !text.contains("i-2"), "{text}");
    assert!(
        text.contains("part_refused") && text.contains("part_ends_endpoints"),
        "{text}"
    );
}

/// A run that was lost with its endpoint.
fn lost_run(parts: &[u64], answer_began: Option<Millis>) -> LostRun {
    LostRun {
        request: Fingerprint(1),
        parts: parts.iter().map(|part| PartId(*part)).collect(),
        kind: EndpointKind::default(),
        was_warming: false,
        answer_began,
        began: Millis(100),
        lost: Millis(900),
        how: LostHow::Broken,
    }
}

/// The line of an endpoint's end names the parts of the lost prompts and tells how far the answers
/// had got.
#[test]
fn parts_of_lost_runs() {
    let records = [
        LostRunRecord::of(&lost_run(&[0x5c1e, 0x91bd], None)),
        LostRunRecord::of(&lost_run(&[0x5c1e], Some(Millis(400)))),
    ];
    assert_eq!(
        serde_json::to_string(&records).unwrap(),
        r#"[{"parts":["5c1e","91bd"]},{"parts":["5c1e"],"answered_ms":500}]"#
    );
}
