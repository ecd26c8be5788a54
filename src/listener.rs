//! HTTP/1.1 listeners by actix-http: one service for callers and for administration.

use std::borrow::Borrow;
use std::convert::Infallible;
use std::future::Future;
use std::net::{Shutdown, TcpStream as StdStream};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{fn_service, Service, ServiceFactory};
use tokio::net::TcpListener;

use crate::accept::Acceptor;

/// Time for a client to send the head of a request.
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Time that an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(75);
/// Time between two looks at whether a caller is still there.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// A handle on a caller's connection, to see whether the caller has gone.
#[derive(Debug, Clone)]
pub struct CallerSocket(Rc<StdStream>);

impl CallerSocket {
    fn of(stream: &TcpStream) -> Option<Self> {
        let fd = stream.as_fd().try_clone_to_owned().ok()?;
        Some(Self(Rc::new(StdStream::from(fd))))
    }

    /// Resolves when the caller has closed its side.
    pub async fn gone(&self) {
        let mut byte = [0; 1];
        loop {
            match self.0.peek(&mut byte) {
                Ok(0) => return,
                Err(err) if err.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => tokio::time::sleep(LOOK_EVERY).await,
            }
        }
    }

    /// Cuts the connection, so that a truncated answer can't look complete.
    pub fn cut(&self) {
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// Accepts connections until the future is dropped and serves each with `handler`.
pub async fn serve<H, Fut>(listener: impl Borrow<TcpListener>, handler: H) -> anyhow::Result<()>
where
    H: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let next = async || loop {
        match listener.borrow().accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(LOOK_EVERY).await,
        }
    };
    serve_each(next, handler).await
}

/// Like [`serve`], but closes connections unread that can't be served in time.
pub async fn serve_in_time<L, H, Fut>(mut acceptor: Acceptor<L>, handler: H) -> anyhow::Result<()>
where
    L: Borrow<TcpListener>,
    H: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let next = async || acceptor.next().await.stream;
    serve_each(next, handler).await
}

async fn serve_each<H, Fut>(
    mut next: impl AsyncFnMut() -> TcpStream,
    handler: H,
) -> anyhow::Result<()>
where
    H: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIME))
        .client_request_timeout(HEAD_TIME)
        .on_connect_ext(|stream: &TcpStream, ext| {
            if let Some(socket) = CallerSocket::of(stream) {
                ext.insert(socket);
            }
        })
        .h1(fn_service(move |req: Request| {
            let answered = handler(req);
            async move { Ok::<_, Infallible>(answered.await) }
        }))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| anyhow::anyhow!("no service"))?;
    let service = Rc::new(service);
    loop {
        let stream = next().await;
        let _ = stream.set_nodelay(true);
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            let _ = service.call(stream).await;
        });
    }
}
