//! Writing answers to a caller's connection.

use std::io;

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, Request, Response, ResponseHead};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::{Decoder, Encoder};

use crate::direct::channel::service_config;

/// The writing side of a connection.
pub struct Answerer {
    writer: OwnedWriteHalf,
    codec: Codec,
    out: BytesMut,
}

impl std::fmt::Debug for Answerer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answerer")
            .field("codec", &self.codec)
            .finish_non_exhaustive()
    }
}

impl Answerer {
    /// The writing side of a fresh connection.
    pub fn new(writer: OwnedWriteHalf) -> Self {
        Self {
            writer,
            codec: Codec::new(service_config()),
            out: BytesMut::new(),
        }
    }

    /// Decodes what the caller sent: reading and writing share the codec, which knows from the
    /// request how the answer is framed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Message<Request>>, ParseError> {
        self.codec.decode(buf)
    }

    /// Whether the request whose head was decoded last has a body.
    pub fn expects_body(&self) -> bool {
        self.codec.message_type() != MessageType::None
    }

    /// Writes a whole answer; `close` tells the caller that the connection ends with it.
    pub async fn send_response(
        &mut self,
        head: ResponseHead,
        body: Bytes,
        close: bool,
    ) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.put_head(head, size, close)?;
        if !body.is_empty() {
            self.put_chunk(Some(body))?;
        }
        self.flush().await
    }

    /// Begins an answer in pieces with the first one.
    pub async fn start_stream(
        &mut self,
        head: ResponseHead,
        first: Bytes,
        close: bool,
    ) -> io::Result<()> {
        self.put_head(head, BodySize::Stream, close)?;
        self.send_chunk(first).await
    }

    /// Writes a piece of an answer that was begun.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        if !bytes.is_empty() {
            self.put_chunk(Some(bytes))?;
        }
        self.flush().await
    }

    /// Ends an answer that was begun; without this it looks broken off.
    pub async fn finish_stream(&mut self) -> io::Result<()> {
        self.put_chunk(None)?;
        self.flush().await
    }

    /// Whether the connection is kept after the answer.
    pub fn keeps_connection(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Tells a caller that waits for it to send its body (RFC 9110, 10.1.1).
    pub async fn send_continue(&mut self) -> io::Result<()> {
        let send_continue = b"HTTP/1.1 100 Continue\r\n\r\n";
        self.writer.write_all(send_continue).await
    }

    /// Tells the caller that nothing more will be written.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.writer.shutdown().await
    }

    fn put_head(&mut self, head: ResponseHead, size: BodySize, close: bool) -> io::Result<()> {
        let mut res = Response::new(head.status);
        *res.headers_mut() = head.headers;
        if close {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        let message = Message::Item((res.drop_body(), size));
        self.codec.encode(message, &mut self.out)
    }

    fn put_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        self.codec.encode(Message::Chunk(chunk), &mut self.out)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = self.writer.write_all(&self.out).await;
        self.out.clear();
        written
    }
}
