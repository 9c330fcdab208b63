//! Peer links: calls to other daemons over one connection for each pair.
//!
//! A call belongs to a [`table::Link`], not to a connection. When a
//! connection goes silent it is replaced and open calls are resumed by id on
//! the new one, so a call ends once, with a whole answer or with a refusal.

mod accept;
mod dial;
mod handshake;
mod session;
pub mod sessions;
pub mod table;
mod writer;

use std::sync::Arc;

use tokio::sync::mpsc;

pub use accept::accept;

use crate::node::Node;

/// Runs links as they are started.
pub async fn run(node: Arc<Node>, starts: &mut mpsc::UnboundedReceiver<table::Start>) {
    while let Some(start) = starts.recv().await {
        actix_rt::spawn(dial::run(Arc::clone(&node), start.link, start.commands));
    }
}
