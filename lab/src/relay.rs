//! A relay between two processes that can cut its connections, stand still, refuse new ones, or be
//! a narrow link.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex, Notify};
use tokio::time::sleep;

const LOOK: Duration = Duration::from_millis(10);
/// Bytes that a narrow link carries at a time, whichever connection they belong to.
const PACKET: usize = 4_096;

/// A relay on this process's own tasks.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Where to connect.
    pub addr: SocketAddr,
    cut: Rc<Notify>,
    refusing: Rc<Cell<bool>>,
    /// Whether anything listens at its address.
    listening: Rc<watch::Sender<bool>>,
    swallow: Rc<Cell<bool>>,
    /// Bytes a second from the far side over all connections together; `None` for no bound.
    rate: Rc<Cell<Option<u64>>>,
    /// Held while a packet is on the link.
    link: Rc<Mutex<()>>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> anyhow::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), to).await
    }

    /// Starts a relay at an address to another one.
    pub async fn start_at(at: SocketAddr, to: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let relay = Self {
            addr: listener.local_addr()?,
            cut: Rc::default(),
            refusing: Rc::default(),
            listening: Rc::new(watch::Sender::new(true)),
            swallow: Rc::default(),
            rate: Rc::default(),
            link: Rc::default(),
        };
        actix_rt::spawn(relay.clone().accept(listener, to));
        Ok(relay)
    }

    /// Takes connections while it listens.
    async fn accept(self, mut listener: TcpListener, to: SocketAddr) {
        let mut listening = self.listening.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((tcp, _)) = accepted else { return };
                    if !self.refusing.get() {
                        actix_rt::spawn(self.clone().carry(tcp, to));
                    }
                }
                _ = listening.changed() => {
                    if *listening.borrow_and_update() {
                        continue;
                    }
                    drop(listener);
                    // The sender lives in this relay.
                    let _ = listening.wait_for(|listens| *listens).await;
                    let Ok(again) = TcpListener::bind(self.addr).await else {
                        return;
                    };
                    listener = again;
                }
            }
        }
    }

    /// Lets nothing listen at its address, or listens again, like a process that has ended or started.
    pub fn listen(&self, listens: bool) {
        self.listening.send_replace(listens);
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

    /// Bounds what comes from the far side, in bytes a second, on open and new connections.
    pub fn narrow(&self, rate: Option<u64>) {
        self.rate.set(rate);
    }

    /// Passes bytes on, those from the far side at the link's rate.
    async fn both_ways(&self, near: &mut TcpStream, far: &mut TcpStream) {
        let (mut near_read, mut near_write) = near.split();
        let (mut far_read, mut far_write) = far.split();
        let there = async {
            let _ = tokio::io::copy(&mut near_read, &mut far_write).await;
            let _ = far_write.shutdown().await;
        };
        let back = async {
            let mut buf = [0; PACKET];
            while let Ok(len) = far_read.read(&mut buf).await {
                self.wait_for_link(len).await;
                if len == 0 || near_write.write_all(&buf[..len]).await.is_err() {
                    break;
                }
            }
            let _ = near_write.shutdown().await;
        };
        // Each side may close while the other goes on.
        tokio::join!(there, back);
    }

    /// Waits until a packet has passed the link.
    async fn wait_for_link(&self, len: usize) {
        let _held = self.link.lock().await;
        if let Some(rate) = self.rate.get() {
            sleep(Duration::from_secs_f64(len as f64 / rate as f64)).await;
        }
    }

    async fn carry(self, mut near: TcpStream, to: SocketAddr) {
        let Ok(mut far) = TcpStream::connect(to).await else {
            return;
        };
        if !self.swallow.get() {
            tokio::select! {
                () = self.both_ways(&mut near, &mut far) => {}
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
