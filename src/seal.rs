//! Signatures of bundles: Ed25519 (RFC 8032) over the exact bytes operators signed off.

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};

use crate::document::Stamp;

/// Bytes of a public key that name its holder in the audit trail.
const SIGNER_BYTES: usize = 4;

/// A bundle's text with its signature, as the configuration service holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// The bundle's JSON text.
    pub payload: String,
    /// Ed25519 signature of `payload`, in hex.
    pub signature: String,
}

/// A genuine bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opened {
    /// The envelope.
    pub sealed: Sealed,
    /// Stamp of its payload.
    pub stamp: Stamp,
    /// Head of the public key that signed it, in hex, for the audit trail.
    pub signer: String,
}

/// Why a sealed bundle is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealError {
    /// The envelope is not the JSON it should be.
    Malformed,
    /// No trusted key made the signature.
    NotGenuine,
}

/// The public keys whose bundles a process accepts.
#[derive(Debug, Clone, Default)]
pub struct Trust(Vec<VerifyingKey>);

impl Trust {
    /// Parses public keys in hex; `None` if one is malformed.
    pub fn parse(keys: &[String]) -> Option<Self> {
        keys.iter()
            .map(|key| parse_key(key))
            .collect::<Option<Vec<_>>>()
            .map(Self)
    }

    /// Checks an envelope.
    pub fn open(&self, envelope: &[u8]) -> Result<Opened, SealError> {
        let sealed: Sealed = serde_json::from_slice(envelope).map_err(|_| SealError::Malformed)?;
        let bytes = hex::decode(&sealed.signature).map_err(|_| SealError::Malformed)?;
        let signature = Signature::from_slice(&bytes).map_err(|_| SealError::Malformed)?;
        let payload = sealed.payload.as_bytes();
        let genuine = self
            .0
            .iter()
            .find(|key| key.verify(payload, &signature).is_ok());
        let Some(key) = genuine else {
            return Err(SealError::NotGenuine);
        };
        let signer = hex::encode(&key.as_bytes()[..SIGNER_BYTES]);
        let version = version_of(&sealed.payload).ok_or(SealError::Malformed)?;
        let stamp = Stamp::new(version, payload);
        Ok(Opened {
            sealed,
            stamp,
            signer,
        })
    }
}

/// Signs a bundle's text with a secret key in hex.
pub fn sign(payload: &str, secret_hex: &str) -> Option<Sealed> {
    let bytes: [u8; 32] = hex::decode(secret_hex.trim()).ok()?.try_into().ok()?;
    let signature = SigningKey::from_bytes(&bytes).sign(payload.as_bytes());
    Some(Sealed {
        payload: payload.into(),
        signature: hex::encode(signature.to_bytes()),
    })
}

/// A fresh pair of secret and public key, both in hex.
pub fn key_pair() -> (String, String) {
    let secret = SigningKey::from_bytes(&rand::random());
    (
        hex::encode(secret.to_bytes()),
        hex::encode(secret.verifying_key().to_bytes()),
    )
}

fn parse_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

fn version_of(payload: &str) -> Option<u64> {
    #[derive(Deserialize)]
    struct Head {
        version: u64,
    }
    serde_json::from_str::<Head>(payload)
        .ok()
        .map(|head| head.version)
}
