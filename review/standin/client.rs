//! A requester: sends one request on a new connection and reads its answer.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_chunk, read_head, read_sized, Head};

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: String,
    pub body: Vec<u8>,
}

/// What came back.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; 0 if no head came.
    pub status: u16,
    /// Whether the engine's seal was there.
    pub sealed: bool,
    /// Whether the answer was marked as complete: all bytes of its length, or the last chunk.
    pub complete: bool,
    pub body: Vec<u8>,
}

impl Answer {
    /// Number of whole events in the body.
    pub fn events(&self) -> usize {
        let text = String::from_utf8_lossy(&self.body);
        text.split("\n\n").filter(|e| e.starts_with("id:")).count()
    }
}

pub const HOST: &str = "ledger.example";

/// Sends a request to an entry and waits for the whole answer, at most until its deadline and
/// somewhat longer.
pub fn send(entry: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer::default();
    // What has arrived counts, however it ends.
    let _ = exchange(entry, request, &mut answer);
    answer
}

/// Sends a request and returns the bytes that come back, until the connection is closed or silent
/// for half a second.
pub fn exchange_raw(entry: SocketAddr, request: &Request) -> Vec<u8> {
    let mut bytes = Vec::new();
    let Ok(mut stream) = open(entry, request) else {
        return bytes;
    };
    let mut buf = [0; 16 << 10];
    let mut silence = Duration::from_millis(request.deadline_ms + 2_000);
    loop {
        let _ = stream.set_read_timeout(Some(silence));
        match stream.read(&mut buf) {
            Ok(read) if read > 0 => bytes.extend(&buf[..read]),
            _ => return bytes,
        }
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            return bytes;
        }
        silence = Duration::from_millis(500);
    }
}

fn exchange(entry: SocketAddr, request: &Request, answer: &mut Answer) -> std::io::Result<()> {
    let stream = open(entry, request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.unwrap_or_default();
    answer.status = head.status();
    answer.sealed = head.get("x-response-seal").is_some();
    read_body(&mut reader, &head, answer)
}

/// Opens a connection and sends the request.
fn open(entry: SocketAddr, request: &Request) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let limit = Duration::from_millis(request.deadline_ms + 2_000);
    stream.set_read_timeout(Some(limit))?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Request-Deadline: {}\r\n\
         Authorization: Bearer {}\r\nContent-Length: {}\r\n{}\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline_ms,
        request.key,
        request.body.len(),
        request.headers
    );
    stream.write_all(&[head.as_bytes(), &request.body].concat())?;
    Ok(stream)
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    answer: &mut Answer,
) -> std::io::Result<()> {
    if head.get("transfer-encoding") == Some("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                answer.complete = true;
                return Ok(());
            }
            answer.body.extend(chunk);
        }
    }
    if head.get("content-length").is_some() {
        answer.body = read_sized(reader, head)?;
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.complete = answer.status != 0;
    Ok(())
}
