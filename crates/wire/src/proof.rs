//! Authentication by the fleet secret.

use std::fmt;

use cardamomshed_code::{Code, Failure};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Minimum length of a secret, in bytes.
const MIN_LENGTH: usize = 16;

/// Secret shared by all daemons of a fleet, from their settings. Its `Debug`
/// output does not contain it.
#[derive(Clone)]
pub struct Secret {
    mac: Hmac<Sha256>,
}

/// End of a link that produces a proof. It is part of the proof, which prevents
/// a reflection attack: one end cannot return the proof of the other as its
/// own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Dialler,
    /// The end that accepted the connection.
    Acceptor,
}

impl Secret {
    /// Creates a secret from its text in the settings.
    ///
    /// # Errors
    ///
    /// [`Code::ValueRange`] where the secret is shorter than 16 bytes.
    pub fn new(secret: &str) -> Result<Self, Failure> {
        if secret.len() < MIN_LENGTH {
            return Err(Failure::new(
                Code::ValueRange,
                format!("the fleet secret must have at least {MIN_LENGTH} bytes"),
            ));
        }
        let mac = Hmac::new_from_slice(secret.as_bytes())
            .map_err(|error| Failure::new(Code::ValueRange, error.to_string()))?;
        Ok(Self { mac })
    }

    /// Computes the proof of one end over the nonces and node names of both. The
    /// order within each pair is the same for both ends.
    pub fn prove(&self, side: Side, nonces: [&[u8; 16]; 2], nodes: [&str; 2]) -> [u8; 32] {
        self.link_mac(side, nonces, nodes)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Verifies the proof of the other end in constant time.
    pub fn verify(
        &self,
        side: Side,
        nonces: [&[u8; 16]; 2],
        nodes: [&str; 2],
        code: &[u8; 32],
    ) -> bool {
        self.link_mac(side, nonces, nodes)
            .verify_slice(code)
            .is_ok()
    }

    /// Message authentication code of a gossip datagram, not yet finalized.
    pub(crate) fn tag(&self, datagram: &[u8]) -> Hmac<Sha256> {
        self.mac
            .clone()
            .chain_update(b"gossip")
            .chain_update(datagram)
    }

    fn link_mac(&self, side: Side, nonces: [&[u8; 16]; 2], nodes: [&str; 2]) -> Hmac<Sha256> {
        let label: &[u8] = match side {
            Side::Dialler => b"dialler",
            Side::Acceptor => b"acceptor",
        };
        let mut mac = self.mac.clone().chain_update(label);
        for nonce in nonces {
            mac.update(nonce);
        }
        for node in nodes {
            mac.update(&(node.len() as u64).to_be_bytes());
            mac.update(node.as_bytes());
        }
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
