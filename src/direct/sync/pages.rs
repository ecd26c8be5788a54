//! Pages of a range of the store, read one after the other.

use std::collections::HashSet;

use super::CallError;
use crate::direct::dialect::InvalidResponse;
use crate::direct::directory::Revision;

/// How far a range has been read.
#[derive(Debug, Default)]
pub(super) struct Pages {
    /// Key after which the next page starts; `None` for the first page.
    next: Option<String>,
    /// All such keys so far.
    starts: HashSet<String>,
    /// The store's revision at the first page; all pages are complete up to it.
    first_revision: Option<Revision>,
}

impl Pages {
    /// Key after which the page to read next starts; `None` for the first page.
    pub(super) fn next(&self) -> Option<&str> {
        self.next.as_deref()
    }

    /// Notes a page and where the one after it starts. Returns the revision up to which all pages are
    /// complete once the last one has been read. Fails where the era has changed, and where a page
    /// starts at a key for the second time: the range would never end.
    pub(super) fn advance(
        &mut self,
        current: Revision,
        next: Option<String>,
    ) -> Result<Option<Revision>, CallError> {
        let revision = *self.first_revision.get_or_insert(current);
        if current.era != revision.era {
            return Err(CallError::InvalidResponse(InvalidResponse::ErasDiffer));
        }
        let Some(next) = next else {
            return Ok(Some(revision));
        };
        if !self.starts.insert(next.clone()) {
            let why = format!("the page after {next:?} was read before");
            return Err(CallError::InvalidResponse(InvalidResponse::Body(why)));
        }
        self.next = Some(next);
        Ok(None)
    }
}
