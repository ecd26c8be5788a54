//! The path to one engine: passes bytes on, and can reset the connections that are in use.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::now_ms;

/// Time without bytes after which a connection is not in use.
const IN_USE_MS: u64 = 60;

pub struct Proxy {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Connection>>>,
}

struct Connection {
    ends: [TcpStream; 2],
    /// When bytes passed last, in ms of the time of day.
    used_at: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(engine: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|err| format!("proxy: {err}"))?;
        let address = listener
            .local_addr()
            .map_err(|err| format!("proxy: {err}"))?;
        let connections: Arc<Mutex<Vec<Connection>>> = Arc::default();
        let of_thread = Arc::clone(&connections);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(engine) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let used_at = Arc::new(AtomicU64::new(0));
                pass(&near, &far, &used_at);
                pass(&far, &near, &used_at);
                let ends = [near, far];
                let mut connections = of_thread.lock().expect("proxy");
                connections.push(Connection { ends, used_at });
            }
        });
        Ok(Self {
            address,
            connections,
        })
    }

    /// Resets the connections on which bytes passed just now; returns their number.
    pub fn reset_used(&self) -> usize {
        let now = now_ms();
        let mut connections = self.connections.lock().expect("proxy");
        let before = connections.len();
        connections.retain(|connection| {
            let is_idle = connection.used_at.load(Ordering::SeqCst) + IN_USE_MS < now;
            if !is_idle {
                connection.ends.iter().for_each(reset);
            }
            is_idle
        });
        before - connections.len()
    }
}

/// Passes bytes on in one direction, in a thread of its own.
fn pass(from: &TcpStream, to: &TcpStream, used_at: &Arc<AtomicU64>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let used_at = Arc::clone(used_at);
    std::thread::spawn(move || {
        let mut buf = [0; 16 << 10];
        loop {
            match from.read(&mut buf) {
                Ok(read) if read > 0 && to.write_all(&buf[..read]).is_ok() => {}
                _ => break,
            }
            used_at.store(now_ms(), Ordering::SeqCst);
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}

/// Has the operating system reset a connection.
fn reset(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
        fn connect(fd: i32, address: *const [u8; 16], len: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    let fd = stream.as_raw_fd();
    let no_address = [0; 16];
    // SAFETY: both calls read the given values only, which outlive them, on an open descriptor.
    unsafe {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, 8);
        // An address of family AF_UNSPEC disconnects the socket, with a reset.
        connect(fd, &no_address, 16);
    }
}
