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
}

impl Splitter {
    /// Adds what has arrived.
    pub fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// The next whole event with its closing blank line; a further blank line counts as an event of
    /// its own.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let len = event_len(&self.buf)?;
        Some(self.buf.split_to(len).freeze())
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

/// Length of the first whole event, up to the end of its blank line. Lines end with LF, CR or CRLF.
///
/// A CR at the end of the buffer ends its line at once: an LF that follows is then a blank line, which
/// changes nothing for the reader.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    loop {
        let line = &buf[line_start..];
        let line_len = line.iter().position(|byte| is_line_end(*byte))?;
        let is_crlf = line[line_len..].starts_with(b"\r\n");
        line_start += line_len + if is_crlf { 2 } else { 1 };
        if line_len == 0 {
            return Some(line_start);
        }
    }
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
