//! Parts of prompts under which endpoints end: what counts against them, and what clears them.

use violetline::clock::Millis;
use violetline::quarantine::parts::{
    EndpointKind, PartChange, PartEnd, PartId, PartNotice, PartQuarantine,
};

const CRASHING: PartId = PartId(0xbad);
const OTHER: PartId = PartId(0xc0);
const KIND: EndpointKind = EndpointKind(1);
const OTHER_KIND: EndpointKind = EndpointKind(2);
/// Delay of the report to judges, and of the evaluation.
const DELAYS: Millis = Millis(1_100);

/// One process that is the judge of all parts.
#[derive(Debug, Default)]
struct Judge {
    quarantine: PartQuarantine,
    now: Millis,
    endpoints: u32,
}

impl Judge {
    fn new() -> Self {
        let now = Millis(100_000);
        Self {
            now,
            ..Self::default()
        }
    }

    /// Lets time pass, in the steps of gossip rounds.
    fn wait(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + Millis(50);
            for notice in self.quarantine.due_reports(self.now) {
                self.quarantine.apply(&notice, self.now);
            }
            self.quarantine.evaluate(self.now);
        }
    }

    /// An endpoint of a kind ends under a request with these parts.
    fn end_at(&mut self, kind: EndpointKind, request: u32, parts: &[PartId]) {
        self.endpoints += 1;
        for part in parts {
            let end = PartEnd {
                endpoint: self.endpoints,
                kind,
                request,
                began: self.now - Millis(80),
                ended: self.now,
            };
            self.quarantine.record_end(*part, end);
        }
    }

    /// Endpoints end one after the other under different requests with these parts.
    fn ends(&mut self, count: u32, parts: &[PartId]) {
        for request in 0..count {
            self.end_at(KIND, request, parts);
            self.wait(Millis(400));
        }
    }

    fn harmless(&mut self, part: PartId, kind: EndpointKind) -> PartChange {
        self.quarantine
            .record_harmless(part, kind, self.now, self.now)
    }

    /// Whether requests with these parts are refused at endpoints of a kind.
    fn refuses_at(&self, kind: EndpointKind, parts: &[PartId]) -> bool {
        let refusal = self.quarantine.refusal(parts, self.now);
        refusal.is_some_and(|refusal| !refusal.allows(kind))
    }

    fn refuses(&self, parts: &[PartId]) -> bool {
        self.refuses_at(KIND, parts)
    }
}

/// Three suffice where runs are hardly ever lost.
#[test]
fn three_ends_suffice() {
    let mut judge = Judge::new();
    for _ in 0..200 {
        judge.quarantine.record_run(false, judge.now);
    }
    judge.ends(2, &[CRASHING]);
    judge.wait(DELAYS);
    assert!(!judge.refuses(&[CRASHING]));
    judge.end_at(KIND, 9, &[CRASHING]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[OTHER, CRASHING]));
    assert!(!judge.refuses(&[OTHER]));
}

/// One request that is sent again and again is suspected itself, not its parts.
#[test]
fn same_request() {
    let mut judge = Judge::new();
    for _ in 0..6 {
        judge.end_at(KIND, 1, &[OTHER]);
        judge.wait(Millis(400));
    }
    judge.wait(DELAYS);
    assert!(!judge.refuses(&[OTHER]));
}

/// Endpoints that end together count once.
#[test]
fn rack_fails() {
    let mut judge = Judge::new();
    for request in 0..6 {
        judge.end_at(KIND, request, &[OTHER]);
        judge.now = judge.now + Millis(10);
    }
    judge.wait(DELAYS);
    assert!(!judge.refuses(&[OTHER]));
}

/// A part is cleared by each run that writes, so a popular one is at many ends and is not refused.
#[test]
fn popular_part() {
    let mut judge = Judge::new();
    for request in 0..8 {
        judge.end_at(KIND, request, &[OTHER, CRASHING]);
        judge.wait(Millis(100));
        judge.harmless(OTHER, KIND);
        judge.wait(Millis(300));
    }
    judge.wait(DELAYS);
    assert!(judge.refuses(&[CRASHING]));
    assert!(!judge.refuses(&[OTHER]));
}

/// A run that writes after the judges were told of an end clears it.
#[test]
fn written_after_report() {
    let mut judge = Judge::new();
    for request in 0..8 {
        judge.end_at(KIND, request, &[OTHER]);
        judge.wait(Millis(300));
        assert!(!judge.refuses(&[OTHER]));
        judge.harmless(OTHER, KIND);
        judge.wait(Millis(100));
    }
    judge.wait(DELAYS);
    assert!(!judge.refuses(&[OTHER]));
}

/// A part that often comes with the crashing one, and has not been written for without it, is not
/// refused with it.
#[test]
fn frequent_companion() {
    let mut judge = Judge::new();
    judge.ends(4, &[OTHER, CRASHING]);
    judge.end_at(KIND, 7, &[CRASHING]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[CRASHING]));
    assert!(!judge.refuses(&[OTHER]));
}

/// Where two parts always come together, requests with both are refused; the next end under one of
/// them tells which it is.
#[test]
fn constant_companion() {
    let mut judge = Judge::new();
    judge.ends(4, &[OTHER, CRASHING]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[OTHER, CRASHING]));
    assert!(!judge.refuses(&[OTHER]) && !judge.refuses(&[CRASHING]));
    judge.end_at(KIND, 8, &[CRASHING]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[CRASHING]));
    assert!(!judge.refuses(&[OTHER]));
}

/// Endpoints of another software version, at which the part is harmless, go on with it.
#[test]
fn other_version() {
    let mut judge = Judge::new();
    for request in 0..4 {
        judge.end_at(KIND, request, &[CRASHING]);
        judge.wait(Millis(200));
        judge.harmless(CRASHING, OTHER_KIND);
        judge.wait(Millis(200));
    }
    judge.wait(DELAYS);
    judge.harmless(CRASHING, OTHER_KIND);
    assert!(judge.refuses_at(KIND, &[CRASHING]));
    assert!(!judge.refuses_at(OTHER_KIND, &[CRASHING]));
}

/// A run with a refused part that writes lifts the refusal.
#[test]
fn refusal_lifted() {
    let mut judge = Judge::new();
    judge.ends(4, &[CRASHING]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[CRASHING]));
    assert_eq!(judge.harmless(CRASHING, KIND), PartChange::Cleared);
    assert!(!judge.refuses(&[CRASHING]));
}

/// Nobody tries a refused part before 10 minutes have passed, and the fleet tries it twice.
#[test]
fn trials_are_few() {
    let mut judge = Judge::new();
    judge.ends(4, &[CRASHING]);
    judge.wait(DELAYS);
    let mut trials = 0;
    for _ in 0..400 {
        judge.now = judge.now + Millis::from_secs(30);
        let refusal = judge.quarantine.refusal(&[CRASHING], judge.now);
        if refusal.is_none_or(|refusal| refusal.is_trial_due) {
            trials += 1;
            judge.quarantine.record_trial(CRASHING, judge.now);
            judge.now = judge.now + Millis(100);
            judge.end_at(KIND, 100 + trials, &[CRASHING]);
            judge.wait(DELAYS);
        }
    }
    assert_eq!(trials, 2);
}

/// A peer's verdict on a part that is written for here is rejected, and the peer is told so.
#[test]
fn forged_verdict() {
    let mut judge = Judge::new();
    judge.wait(Millis(2_000));
    judge.harmless(OTHER, KIND);
    let forged = |part: PartId| PartNotice::Refused {
        part,
        with: None,
        kinds: vec![KIND],
        ends: 200,
        trials: 0,
        since: 500,
    };
    let change = judge.quarantine.apply(&forged(OTHER), judge.now);
    assert_eq!(change, PartChange::Told);
    assert!(!judge.refuses(&[OTHER]));
    let told = judge.quarantine.notices(judge.now, false, judge.now);
    assert!(matches!(
        told[..],
        [PartNotice::Harmless { part: OTHER, .. }]
    ));
    for part in 0..1_000 {
        judge.quarantine.apply(&forged(PartId(part)), judge.now);
    }
    assert_eq!(judge.quarantine.counts().1, 64, "verdicts are bounded");
}

/// A popular part is at ends of endpoints of many versions, and runs again at one version before
/// endpoints of the others are back.
#[test]
fn popular_at_many_versions() {
    let mut judge = Judge::new();
    for kind in 1..=4 {
        judge.harmless(OTHER, EndpointKind(kind));
    }
    for request in 0..8 {
        judge.wait(Millis(400));
        judge.end_at(EndpointKind(1 + request % 3), request, &[OTHER]);
        judge.wait(Millis(100));
        judge.harmless(OTHER, EndpointKind(4));
    }
    judge.wait(DELAYS);
    for kind in 1..=4 {
        assert!(!judge.refuses_at(EndpointKind(kind), &[OTHER]));
    }
}

/// The verdict on the other one of two constant companions is given once, not in each round.
#[test]
fn companion_settled_once() {
    let mut judge = Judge::new();
    judge.ends(4, &[OTHER, CRASHING]);
    judge.wait(DELAYS);
    judge.end_at(KIND, 8, &[OTHER]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[OTHER]));
    let settled = judge.now;
    judge.wait(Millis(2_000));
    let told = judge
        .quarantine
        .notices(settled + Millis(500), false, judge.now);
    assert!(told.is_empty(), "{told:?}");
}

/// A judge whose table is full of other verdicts still refuses a part that ends endpoints.
#[test]
fn table_full_of_verdicts() {
    let mut judge = Judge::new();
    for part in 0..64 {
        let verdict = PartNotice::Refused {
            part: PartId(0x1000 + part),
            with: None,
            kinds: vec![KIND],
            ends: 4,
            trials: 0,
            since: 5_000,
        };
        judge.quarantine.apply(&verdict, judge.now);
    }
    judge.ends(5, &[CRASHING]);
    judge.wait(DELAYS);
    assert!(judge.refuses(&[CRASHING]));
    assert_eq!(judge.quarantine.counts().1, 64);
}
