//! Checks the bytes of a response's head before they are decoded (RFC 9112, 4 to 6).
//!
//! Decoders of heads overlook some faults, and each of them reads the rest in its own way: a caller
//! could get another body than the endpoint meant. A head with a fault is no response.

/// Status codes that a response may have.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// The switch to another protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// What is wrong with a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// The first line is no status line of HTTP/1.x.
    StatusLine,
    /// The status is none that an endpoint may send.
    Status,
    /// A line has no name before its colon, or one with bytes that no name holds.
    FieldName,
    /// A value holds a control byte.
    FieldValue,
    /// The length is not one whole number, or is named twice, or beside a transfer coding.
    Length,
    /// The transfer coding is not `chunked`, or is named twice or in a response of HTTP/1.0.
    TransferCoding,
}

impl HeadFault {
    /// What is wrong, for the log.
    pub const fn text(self) -> &'static str {
        match self {
            Self::StatusLine => "the first line is no status line",
            Self::Status => "a status that no answer has",
            Self::FieldName => "a malformed name of a field in the head",
            Self::FieldValue => "a control byte in the head",
            Self::Length => "a malformed or repeated length",
            Self::TransferCoding => "a malformed or unknown transfer coding",
        }
    }
}

/// Length of the first head in `buf` with the blank line at its end; `None` while it is incomplete.
pub fn head_length(buf: &[u8]) -> Option<usize> {
    let mut begin = 0;
    for (at, _) in buf.iter().enumerate().filter(|(_, b)| **b == b'\n') {
        if matches!(&buf[begin..at], b"" | b"\r") {
            return Some(at + 1);
        }
        begin = at + 1;
    }
    None
}

/// Checks a whole head, up to its blank line.
pub fn check(head: &[u8]) -> Result<(), HeadFault> {
    let mut lines = head.split(|b| *b == b'\n').map(without_return);
    let is_http_1_0 = check_status_line(lines.next().unwrap_or_default())?;
    let mut framing = Framing::default();
    for line in lines.take_while(|line| !line.is_empty()) {
        let (name, value) = field(line)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            framing.length(value)?;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            framing.coding(value)?;
        }
    }
    framing.check(is_http_1_0)
}

fn without_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Checks the first line; returns whether it is of HTTP/1.0.
fn check_status_line(line: &[u8]) -> Result<bool, HeadFault> {
    let rest = line.strip_prefix(b"HTTP/1.").ok_or(HeadFault::StatusLine)?;
    let (is_http_1_0, rest) = match rest {
        [b'0', b' ', rest @ ..] => (true, rest),
        [b'1', b' ', rest @ ..] => (false, rest),
        _ => return Err(HeadFault::StatusLine),
    };
    let (code, reason) = rest.split_at_checked(3).ok_or(HeadFault::Status)?;
    let is_ended = reason.is_empty() || reason.starts_with(b" ");
    if !is_ended || !code.iter().all(u8::is_ascii_digit) {
        return Err(HeadFault::Status);
    }
    if !reason.iter().all(is_value_byte) {
        return Err(HeadFault::StatusLine);
    }
    let code = code.iter().fold(0, |n, b| n * 10 + u16::from(b - b'0'));
    if !STATUSES.contains(&code) || code == SWITCHING_PROTOCOLS {
        return Err(HeadFault::Status);
    }
    Ok(is_http_1_0)
}

/// The name and the value of a field's line, without the blanks around the value.
fn field(line: &[u8]) -> Result<(&[u8], &[u8]), HeadFault> {
    let colon = line.iter().position(|b| *b == b':');
    let (name, value) = line.split_at(colon.ok_or(HeadFault::FieldName)?);
    if name.is_empty() || !name.iter().all(is_token_byte) {
        return Err(HeadFault::FieldName);
    }
    if !value.iter().all(is_value_byte) {
        return Err(HeadFault::FieldValue);
    }
    Ok((name, value[1..].trim_ascii()))
}

/// Whether a byte may stand in a field's name (RFC 9110, 5.6.2).
fn is_token_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte)
}

/// Whether a byte may stand in a field's value (RFC 9110, 5.5).
fn is_value_byte(byte: &u8) -> bool {
    *byte == b'\t' || !byte.is_ascii_control()
}

/// What a head says of the end of its body.
#[derive(Debug, Default)]
struct Framing {
    has_length: bool,
    has_coding: bool,
}

impl Framing {
    fn length(&mut self, value: &[u8]) -> Result<(), HeadFault> {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let is_repeated = std::mem::replace(&mut self.has_length, true);
        match is_number && !is_repeated {
            true => Ok(()),
            false => Err(HeadFault::Length),
        }
    }

    fn coding(&mut self, value: &[u8]) -> Result<(), HeadFault> {
        let is_repeated = std::mem::replace(&mut self.has_coding, true);
        match value.eq_ignore_ascii_case(b"chunked") && !is_repeated {
            true => Ok(()),
            false => Err(HeadFault::TransferCoding),
        }
    }

    fn check(&self, is_http_1_0: bool) -> Result<(), HeadFault> {
        match (self.has_length, self.has_coding) {
            (true, true) => Err(HeadFault::Length),
            (false, true) if is_http_1_0 => Err(HeadFault::TransferCoding),
            _ => Ok(()),
        }
    }
}
