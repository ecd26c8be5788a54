//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// First line and headers of a message; names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() && !head.line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length; none without one.
pub fn read_sized(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.get("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads one chunk; empty for the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// A parameter of a target's query.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(known, _)| *known == name);
    found.next().map(|(_, value)| value)
}
