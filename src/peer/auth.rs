//! Proof that a peer holds the deployment's secret.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a nonce.
pub const NONCE_LEN: usize = 16;

/// A code over several parts, each preceded by its length.
pub fn prove(secret: &[u8], parts: &[&[u8]]) -> Vec<u8> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any length is a key");
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac.finalize().into_bytes().to_vec()
}

/// Whether a proof is the one expected, in constant time.
pub fn matches(expected: &[u8], given: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(expected, given).into()
}

/// A text for one purpose that only holders of the secret know.
pub fn derive(secret: &[u8], purpose: &[u8]) -> String {
    STANDARD_NO_PAD.encode(prove(secret, &[b"derive", purpose]))
}

/// A fresh nonce.
pub fn nonce() -> [u8; NONCE_LEN] {
    rand::random()
}
