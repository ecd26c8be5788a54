//! A digest of what a request asks for: the same for each repetition of the request, whatever its
//! id and whichever entry receives it.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// First eight bytes of the BLAKE3 hash of caller, target and body.
///
/// The caller is included, so that no team can bring another team's requests under suspicion.
/// Headers are not: a caller that repeats a request sends another id and less remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request. `team` is the caller's team (empty where no key is needed),
    /// and `target` the parts that name the request's target.
    pub fn of(team: &str, target: &[&str], body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in std::iter::once(&team).chain(target) {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_be_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for Fingerprint {
    /// Hex digits in text formats. In binary formats eight bytes: a variable-length integer would
    /// mostly take nine.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.to_be_bytes().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 8]>::deserialize(deserializer).map(|b| Self(u64::from_be_bytes(b)));
        }
        let text = String::deserialize(deserializer)?;
        let number = u64::from_str_radix(&text, 16);
        number.map(Self).map_err(serde::de::Error::custom)
    }
}
