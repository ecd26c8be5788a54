//! Keeps what the processes of a seed print, so that a seed that breaks a promise can be traced.

use std::path::PathBuf;

use anyhow::Context;

use crate::process::KEEP_VARIABLE;

/// The folder with the lines of one seed's processes.
#[derive(Debug)]
pub(super) struct KeptLines {
    /// `None` where the caller names a folder.
    folder: Option<PathBuf>,
}

impl KeptLines {
    /// Lets processes that start from now on write their lines to a new folder.
    pub(super) fn start(seed: u64) -> anyhow::Result<Self> {
        if std::env::var_os(KEEP_VARIABLE).is_some() {
            return Ok(Self { folder: None });
        }
        let name = format!("violetline-soak-{}-{seed}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)
            .with_context(|| format!("creating {}", folder.display()))?;
        std::env::set_var(KEEP_VARIABLE, &folder);
        Ok(Self {
            folder: Some(folder),
        })
    }

    /// Removes the folder, or tells where it is if the lines are `needed`.
    pub(super) fn close(self, needed: bool) -> anyhow::Result<()> {
        let Some(folder) = self.folder else {
            return Ok(());
        };
        std::env::remove_var(KEEP_VARIABLE);
        if needed {
            println!("  lines of the processes: {}", folder.display());
            return Ok(());
        }
        std::fs::remove_dir_all(&folder).with_context(|| format!("removing {}", folder.display()))
    }
}
