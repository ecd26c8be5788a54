//! Server-sent events as model engines send them (WHATWG HTML, "Server-sent events").

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The last event of a complete stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";
/// Longest event, in bytes.
pub const MAX_EVENT: usize = 64 << 10;
const DATA: &[u8] = b"data: ";
const DONE_DATA: &[u8] = b"[DONE]";

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
    /// Start of the line that is not complete yet.
    line_start: usize,
    /// End of the bytes in which no line ends after `line_start`.
    scanned: usize,
}

impl Splitter {
    /// Adds what has arrived.
    pub fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// The next whole event with its closing blank line; a further blank line counts as an event of
    /// its own.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let len = self.event_len()?;
        (self.line_start, self.scanned) = (0, 0);
        Some(self.buf.split_to(len).freeze())
    }

    /// Length of the first whole event, up to the end of its blank line. Lines end with LF, CR or
    /// CRLF. Goes on where the last call stopped.
    ///
    /// A CR at the end of the buffer ends a blank line at once: an LF that follows is then another
    /// blank line, which changes nothing for the reader.
    fn event_len(&mut self) -> Option<usize> {
        loop {
            let rest = &self.buf[self.scanned..];
            let Some(at) = rest.iter().position(|byte| is_line_end(*byte)) else {
                self.scanned = self.buf.len();
                return None;
            };
            let line_end = self.scanned + at;
            let is_crlf = self.buf[line_end..].starts_with(b"\r\n");
            let next = line_end + if is_crlf { 2 } else { 1 };
            if line_end == self.line_start {
                return Some(next);
            }
            if next == self.buf.len() && self.buf[line_end] == b'\r' {
                // An LF may follow that belongs to this line end.
                self.scanned = line_end;
                return None;
            }
            (self.line_start, self.scanned) = (next, next);
        }
    }

    /// Bytes that have arrived after the last whole event.
    pub fn rest_len(&self) -> usize {
        self.buf.len()
    }

    /// Whether an event has grown beyond [`MAX_EVENT`].
    pub fn is_oversize(&self) -> bool {
        self.buf.len() > MAX_EVENT
    }
}

/// Whether a byte ends a line, alone or as a part of CRLF.
pub const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Reads one event.
pub fn read(event: &[u8]) -> Event {
    let Some(data) = event.strip_prefix(DATA) else {
        return Event::Other;
    };
    let data = data.trim_ascii_end();
    if data == DONE_DATA {
        return Event::Done;
    }
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
