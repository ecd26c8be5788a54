//! Writes responses to a caller's connection.

use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, Request, Response, ResponseHead, Version};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::{Decoder, Encoder};

use crate::direct::channel::service_config;

/// The writing half of a caller's connection, with the codec of both halves.
pub struct Answerer {
    writer: OwnedWriteHalf,
    codec: Codec,
    /// HTTP version of the request whose head was decoded last.
    version: Version,
    /// Encoded bytes that are not written yet.
    out: BytesMut,
    /// Whether a response was begun and is not complete.
    is_open: bool,
}

impl std::fmt::Debug for Answerer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answerer")
            .field("codec", &self.codec)
            .finish_non_exhaustive()
    }
}

impl Answerer {
    /// Creates the writer of a new connection.
    pub fn new(writer: OwnedWriteHalf) -> Self {
        Self {
            writer,
            codec: Codec::new(service_config()),
            version: Version::HTTP_11,
            out: BytesMut::new(),
            is_open: false,
        }
    }

    /// Decodes the next part of a request from `buf`; `None` where more bytes are needed. Reading
    /// and writing share the codec, because the framing of a response depends on its request.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Message<Request>>, ParseError> {
        let message = self.codec.decode(buf)?;
        if let Some(Message::Item(req)) = &message {
            self.version = req.head().version;
        }
        Ok(message)
    }

    /// Whether the request whose head was decoded last has a body.
    pub fn expects_body(&self) -> bool {
        self.codec.message_type() != MessageType::None
    }

    /// Writes a complete response; `close` tells the caller that the connection ends with it. Fails
    /// where a response is open already.
    pub async fn send_response(
        &mut self,
        head: ResponseHead,
        body: Bytes,
        close: bool,
    ) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.encode_head(head, size, close)?;
        if !body.is_empty() {
            self.encode_chunk(Some(body))?;
        }
        self.flush().await?;
        self.is_open = false;
        Ok(())
    }

    /// Writes the head and the first chunk of a streamed response. Fails where a response is open
    /// already.
    pub async fn start_stream(
        &mut self,
        head: ResponseHead,
        first_chunk: Bytes,
        close: bool,
    ) -> io::Result<()> {
        if self.is_unmarked() {
            self.reset_on_close(true)?;
        }
        self.encode_head(head, BodySize::Stream, close)?;
        self.send_chunk(first_chunk).await
    }

    /// Whether only the end of the connection marks the end of a streamed response: HTTP/1.0 has no
    /// chunks.
    fn is_unmarked(&self) -> bool {
        self.version < Version::HTTP_11
    }

    /// Makes the operating system reset the connection when it is closed, also where this process
    /// is killed, so that the response does not look complete; or close it as usual.
    fn reset_on_close(&self, reset: bool) -> io::Result<()> {
        let linger = reset.then_some(Duration::ZERO);
        SockRef::from(self.writer.as_ref()).set_linger(linger)
    }

    /// Writes a further chunk of a streamed response.
    pub async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        if !bytes.is_empty() {
            self.encode_chunk(Some(bytes))?;
        }
        self.flush().await
    }

    /// Marks the end of a streamed response; without this the caller sees it as incomplete.
    pub async fn finish_stream(&mut self) -> io::Result<()> {
        self.encode_chunk(None)?;
        self.flush().await?;
        if self.is_unmarked() {
            self.reset_on_close(false)?;
        }
        self.is_open = false;
        Ok(())
    }

    /// Whether the connection stays open after the response.
    pub fn keeps_connection(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Sends `100 Continue` to a caller that waits for it before it sends the body (RFC 9110,
    /// 10.1.1).
    pub async fn send_continue(&mut self) -> io::Result<()> {
        let interim_response = b"HTTP/1.1 100 Continue\r\n\r\n";
        self.writer.write_all(interim_response).await
    }

    /// Closes the connection once its reading half is closed too.
    pub fn close(self) {
        // Dropping it would end an unmarked response as if it were complete.
        self.writer.forget();
    }

    /// Closes the writing half of the connection.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.writer.shutdown().await
    }

    /// Encodes the head of a response. Every head passes here, so none stands inside the body of
    /// another response.
    fn encode_head(&mut self, head: ResponseHead, size: BodySize, close: bool) -> io::Result<()> {
        if self.is_open {
            return Err(io::Error::other("a response to this request is open"));
        }
        self.is_open = true;
        let mut res = Response::new(head.status);
        *res.headers_mut() = head.headers;
        let is_unmarked = size == BodySize::Stream && self.is_unmarked();
        res.head_mut().no_chunking(is_unmarked);
        if close || is_unmarked {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        let message = Message::Item((res.drop_body(), size));
        self.codec.encode(message, &mut self.out)
    }

    fn encode_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        self.codec.encode(Message::Chunk(chunk), &mut self.out)
    }

    /// Whether a response was begun and is not complete: its rest may follow, and nothing else.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Whether bytes wait for a caller that does not read them.
    pub fn has_unwritten(&self) -> bool {
        !self.out.is_empty()
    }

    /// Writes all encoded bytes. If it is cancelled, only the unwritten ones are left.
    async fn flush(&mut self) -> io::Result<()> {
        self.writer.write_all_buf(&mut self.out).await
    }
}
