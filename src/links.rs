//! The links of an entry to sidecars: opened when needed, shared, closed when idle.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::link::{Link, LinkError};

/// Time after which an unused link is closed.
const IDLE_CLOSE: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct Place {
    link: Mutex<Option<Link>>,
}

/// Open links by address.
#[derive(Debug, Default)]
pub struct Links {
    places: RefCell<HashMap<SocketAddr, (Rc<Place>, Instant)>>,
}

impl Links {
    /// The link to a process; several callers share one attempt to open it.
    pub async fn get(&self, addr: SocketAddr) -> Result<Link, LinkError> {
        let place = self.place(addr);
        let mut held = place.link.lock().await;
        if let Some(link) = held.as_ref().filter(|link| link.is_alive()) {
            return Ok(link.clone());
        }
        let link = Link::connect(addr).await?;
        *held = Some(link.clone());
        Ok(link)
    }

    /// Closes links that nobody has used for a while.
    pub fn close_idle(&self) {
        let now = Instant::now();
        self.places
            .borrow_mut()
            .retain(|_, (_, used)| now.duration_since(*used) < IDLE_CLOSE);
    }

    /// Counts links held.
    pub fn len(&self) -> usize {
        self.places.borrow().len()
    }

    /// Whether no link is held.
    pub fn is_empty(&self) -> bool {
        self.places.borrow().is_empty()
    }

    fn place(&self, addr: SocketAddr) -> Rc<Place> {
        let mut places = self.places.borrow_mut();
        let entry = places
            .entry(addr)
            .or_insert_with(|| (Rc::default(), Instant::now()));
        entry.1 = Instant::now();
        Rc::clone(&entry.0)
    }
}
