//! The budget of reruns: a share of first attempts, so that retries can't amplify an overload.

/// Reruns saved up at most, and at hand at the start.
const SAVED_MOST: f64 = 10.0;

/// Counts reruns against first attempts at one entry.
#[derive(Debug, Clone, Copy)]
pub struct RerunBudget {
    saved: f64,
}

impl Default for RerunBudget {
    fn default() -> Self {
        Self { saved: SAVED_MOST }
    }
}

impl RerunBudget {
    /// A first attempt adds its share, in percent.
    pub fn deposit(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(SAVED_MOST);
    }

    /// Whether one more rerun may be made; counts it.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
