//! What urgent requests got against what less urgent ones did meanwhile, by the platform's two rules on urgency.

use std::time::Duration;

use tokio::time::Instant;

use crate::standin::Engine;

/// Span in which requests are counted.
pub const SPAN: Duration = Duration::from_secs(5);
/// Requests of one urgency that may get nothing in a span, whatever else begins.
const MOST_NOTHING: usize = 9;
/// Of so many requests one may get nothing.
const PART: usize = 12;
/// Times by which less urgent work that begins is larger than what got nothing, from which on that counts.
const LESS_URGENT_RATIO: u64 = 2;
/// Requests that may be preempted at one engine while less urgent ones run on there.
const MOST_PREEMPTED: usize = 9;

/// One attempt of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    /// When it was sent.
    pub at: Instant,
    /// Urgency of its kind, 0 first.
    pub urgency: u8,
    /// Tokens of its prompt and answer.
    pub tokens: u64,
    /// Whether it got its whole answer.
    pub is_served: bool,
}

/// A request that an engine began to work on.
#[derive(Debug, Clone, Copy)]
pub struct Begun {
    /// When.
    pub at: Instant,
    /// Urgency of its kind.
    pub urgency: u8,
    /// Tokens of its prompt and answer.
    pub tokens: u64,
}

/// What became of the requests of one urgency in one span.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Span {
    /// Requests that were sent.
    pub asked: usize,
    /// Those of them that got nothing.
    pub nothing: usize,
    /// Tokens of these.
    pub nothing_tokens: u64,
    /// Less urgent requests that began.
    pub less_urgent: usize,
    /// Tokens of these.
    pub less_urgent_tokens: u64,
}

impl Span {
    /// Part of the requests that got nothing.
    pub fn part(&self) -> f64 {
        self.nothing as f64 / self.asked.max(1) as f64
    }

    /// Whether that breaks the rule.
    pub fn is_broken(&self) -> bool {
        let began_meanwhile = self.less_urgent_tokens > self.nothing_tokens * LESS_URGENT_RATIO;
        self.nothing > MOST_NOTHING && self.nothing * PART > self.asked && began_meanwhile
    }
}

/// The spans in which most of one urgency got nothing: the worst that breaks the rule, else the worst of all. Spans that
/// `is_excused` by their start don't count; `None` where nothing was asked for.
pub fn worst(
    asked: &[Asked],
    begun: &[Begun],
    urgency: u8,
    is_excused: impl Fn(Instant) -> bool,
) -> Option<Span> {
    let mut asked: Vec<&Asked> = asked.iter().filter(|a| a.urgency == urgency).collect();
    let mut begun: Vec<&Begun> = begun.iter().filter(|b| b.urgency > urgency).collect();
    asked.sort_by_key(|a| a.at);
    begun.sort_by_key(|b| b.at);
    let starts = asked.iter().map(|a| a.at).filter(|at| !is_excused(*at));
    let spans = starts.map(|start| span(&asked, &begun, start));
    let worse = |span: &Span| (span.is_broken(), span.part(), span.nothing);
    spans.max_by(|a, b| {
        worse(a)
            .partial_cmp(&worse(b))
            .unwrap_or(std::cmp::Ordering::Equal)
    })
}

fn span(asked: &[&Asked], begun: &[&Begun], start: Instant) -> Span {
    let from = asked.partition_point(|a| a.at < start);
    let until = asked.partition_point(|a| a.at < start + SPAN);
    let asked = &asked[from..until];
    let nothing = || asked.iter().filter(|a| !a.is_served);
    let from = begun.partition_point(|b| b.at < start);
    let until = begun.partition_point(|b| b.at < start + SPAN);
    let begun = &begun[from..until];
    Span {
        asked: asked.len(),
        nothing: nothing().count(),
        nothing_tokens: nothing().map(|a| a.tokens).sum(),
        less_urgent: begun.len(),
        less_urgent_tokens: begun.iter().map(|b| b.tokens).sum(),
    }
}

/// Requests that an engine preempted while less urgent ones ran on, where they are too many; `urgency` tells that of the kind
/// of a request, by its id.
pub fn preempted(engine: &Engine, urgency: impl Fn(&str) -> Option<u8>) -> Option<usize> {
    let all = engine.preempted();
    let is_before = |(preempted, ran_on): &&(String, Vec<String>)| {
        let own = urgency(preempted);
        let left = ran_on.iter().filter_map(|id| urgency(id)).max();
        own.zip(left).is_some_and(|(own, left)| left > own)
    };
    let count = all.iter().filter(is_before).count();
    (count > MOST_PREEMPTED).then_some(count)
}
