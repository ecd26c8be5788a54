//! Supervision: named tasks that are started again when they fail, and closed together.

use std::future::Future;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::time::sleep;

/// First pause before a failed task is started again; it doubles each time.
const PAUSE_LEAST: Duration = Duration::from_millis(100);
/// Longest pause.
const PAUSE_MOST: Duration = Duration::from_secs(5);

/// A node of the supervisor tree, with its tasks.
#[derive(Debug)]
pub struct Supervisor {
    name: &'static str,
    children: Vec<JoinHandle<()>>,
}

impl Supervisor {
    /// A supervisor without tasks.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            children: Vec::new(),
        }
    }

    /// Runs a task and starts it again, with a growing pause, whenever it fails or panics.
    pub fn child<F, Fut>(&mut self, name: &'static str, make: F)
    where
        F: Fn() -> Fut + 'static,
        Fut: Future<Output = anyhow::Result<()>> + 'static,
    {
        let parent = self.name;
        self.children.push(actix_rt::spawn(async move {
            let mut pause = PAUSE_LEAST;
            loop {
                let ended = actix_rt::spawn(make()).await;
                match ended {
                    Ok(Ok(())) => return,
                    Ok(Err(err)) => tracing::warn!(parent, name, %err, "task failed"),
                    Err(err) => tracing::error!(parent, name, %err, "task panicked"),
                }
                sleep(pause).await;
                pause = (pause * 2).min(PAUSE_MOST);
            }
        }));
    }

    /// Ends all tasks.
    pub fn close(self) {
        for child in self.children {
            child.abort();
        }
    }
}
