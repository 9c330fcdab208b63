//! Proof of the fleet secret.

use std::fmt;

use cardamomshed_code::{Code, Failure};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Shortest secret that is accepted, in bytes.
const MIN_LENGTH: usize = 16;

/// The secret that every daemon of a fleet has in its settings.
#[derive(Clone)]
pub struct Secret {
    mac: Hmac<Sha256>,
}

/// Which end of a link makes a proof; keeps one end from reflecting the
/// proof of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that dialled.
    Dialler,
    /// The end that accepted.
    Acceptor,
}

impl Secret {
    /// Takes a secret from the settings.
    ///
    /// # Errors
    ///
    /// [`Code::FigureRange`] where it is shorter than 16 bytes.
    pub fn new(secret: &str) -> Result<Self, Failure> {
        if secret.len() < MIN_LENGTH {
            return Err(Failure::new(
                Code::FigureRange,
                format!("the fleet secret must have {MIN_LENGTH} bytes or more"),
            ));
        }
        let mac = Hmac::new_from_slice(secret.as_bytes())
            .map_err(|error| Failure::new(Code::FigureRange, error.to_string()))?;
        Ok(Self { mac })
    }

    /// Proof that one end makes over the nonces and names of both.
    pub fn prove(&self, side: Side, nonces: [&[u8; 16]; 2], nodes: [&str; 2]) -> [u8; 32] {
        self.link_mac(side, nonces, nodes)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Checks the proof of the other end in constant time.
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

    /// Authentication code of a gossip datagram.
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
