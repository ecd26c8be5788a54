//! Findings: faults in input, each with its place, collected and reported together.

use std::fmt;

use serde::Serialize;

/// One fault and where it stands, as a JSON path such as `pools[2].slots`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Path or line of the fault.
    pub place: String,
    /// What is wrong there.
    pub message: String,
}

/// All faults of one input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds one fault.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Adds a fault unless `ok` holds.
    pub fn require(&mut self, ok: bool, place: impl Into<String>, message: &str) {
        if !ok {
            self.add(place, message);
        }
    }

    /// The value when nothing was found, else the findings.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }

    /// The single finding of a JSON text that does not parse, with line and column.
    pub fn from_json(err: &serde_json::Error) -> Self {
        let mut findings = Self::default();
        findings.add(
            format!("line {} column {}", err.line(), err.column()),
            err.to_string(),
        );
        findings
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {}", finding.place, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
