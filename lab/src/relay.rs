//! A relay between two processes that can cut its connections, stand still, or refuse new ones.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(10);

/// A relay on this process's own tasks.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Where to connect.
    pub addr: SocketAddr,
    cut: Rc<Notify>,
    refusing: Rc<Cell<bool>>,
    swallow: Rc<Cell<bool>>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Self {
            addr: listener.local_addr()?,
            cut: Rc::default(),
            refusing: Rc::default(),
            swallow: Rc::default(),
        };
        let cx = relay.clone();
        actix_rt::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                if !cx.refusing.get() {
                    actix_rt::spawn(cx.clone().carry(tcp, to));
                }
            }
        });
        Ok(relay)
    }

    /// Cuts all connections that are open now.
    pub fn cut(&self) {
        self.cut.notify_waiters();
    }

    /// Refuses new connections while set.
    pub fn refuse(&self, refusing: bool) {
        self.refusing.set(refusing);
    }

    /// Passes nothing back from the far side while set; what goes there still arrives.
    pub fn swallow_answers(&self, swallow: bool) {
        self.swallow.set(swallow);
    }

    async fn carry(self, mut near: TcpStream, to: SocketAddr) {
        let Ok(mut far) = TcpStream::connect(to).await else {
            return;
        };
        if !self.swallow.get() {
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => {}
                () = self.cut.notified() => {}
                () = wait_for(&self.swallow) => {
                    self.one_way(&mut near, &mut far).await;
                }
            }
            return;
        }
        self.one_way(&mut near, &mut far).await;
    }

    /// Carries only towards the far side.
    async fn one_way(&self, near: &mut TcpStream, far: &mut TcpStream) {
        let mut buf = [0; 4_096];
        loop {
            tokio::select! {
                read = near.read(&mut buf) => match read {
                    Ok(len) if len > 0 => {
                        if far.write_all(&buf[..len]).await.is_err() {
                            return;
                        }
                    }
                    _ => return,
                },
                () = self.cut.notified() => return,
            }
        }
    }
}

async fn wait_for(flag: &Cell<bool>) {
    while !flag.get() {
        sleep(LOOK).await;
    }
}
