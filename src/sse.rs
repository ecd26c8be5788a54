//! Server-sent events as model engines send them (WHATWG HTML, "Server-sent events").

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The last event of a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";
/// Longest event, in bytes.
pub const MAX_EVENT: usize = 64 << 10;
const END: &[u8] = b"\n\n";
const DATA: &[u8] = b"data: ";

/// What an event of a model's stream means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A token; its text.
    Token(String),
    /// The engine's own count at the end of an answer.
    Usage(EngineUsage),
    /// The end of a complete stream.
    Done,
    /// Anything else; passed on.
    Other,
}

/// The usage block of the last chunk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct EngineUsage {
    /// Tokens read.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Tokens computed again after a resume.
    #[serde(default)]
    pub recomputed_tokens: u64,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<EngineUsage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Adds what has arrived.
    pub fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// The next whole event with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let at = self
            .buf
            .windows(END.len())
            .position(|window| window == END)?;
        Some(self.buf.split_to(at + END.len()).freeze())
    }

    /// What has arrived after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Whether an event has grown beyond [`MAX_EVENT`].
    pub fn is_oversize(&self) -> bool {
        self.buf.len() > MAX_EVENT
    }
}

/// Reads one event.
pub fn read(event: &[u8]) -> Event {
    if event == DONE {
        return Event::Done;
    }
    let Some(data) = event.strip_prefix(DATA) else {
        return Event::Other;
    };
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
        return Event::Other;
    };
    if let Some(usage) = chunk.usage {
        return Event::Usage(usage);
    }
    match chunk
        .choices
        .into_iter()
        .next()
        .and_then(|choice| choice.delta.content)
    {
        Some(text) => Event::Token(text),
        None => Event::Other,
    }
}
