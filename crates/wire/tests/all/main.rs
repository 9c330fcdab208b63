//! Tests of the messages between daemons, one file per feature.

mod frame_codec;
mod gossip_seal;
mod secret_proof;
