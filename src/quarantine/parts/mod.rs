//! Parts of prompts that requests share.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Identifier of the text of a part of a prompt; the same in all requests that hold the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// The parts of a prompt that other requests may hold as well, in order.
pub type SharedParts = Rc<[PartId]>;

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Serialize for PartId {
    /// Hex digits in text formats, as callers write them; eight bytes in binary formats.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.to_be_bytes().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PartId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 8]>::deserialize(deserializer).map(|b| Self(u64::from_be_bytes(b)));
        }
        let text = String::deserialize(deserializer)?;
        let number = u64::from_str_radix(&text, 16);
        number.map(Self).map_err(serde::de::Error::custom)
    }
}
