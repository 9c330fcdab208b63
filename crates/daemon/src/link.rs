//! Peer links: calls to other daemons, over one connection from each caller to
//! each callee.
//!
//! A call belongs to a [`table::Link`], not to a connection. A connection on
//! which no frame arrives within the silence limit is replaced, and open calls
//! are resumed by id on the new one. Each call therefore completes exactly
//! once, with a complete answer or with a refusal.

mod accept;
mod dial;
mod handshake;
mod limited;
mod session;
pub mod sessions;
pub mod table;
mod writer;

use std::sync::Arc;

use tokio::sync::mpsc;

pub use accept::accept;

use crate::node::Node;

/// Spawns a task for each link that [`table::Links`] opens. Returns when the
/// sending half of `tasks` is dropped.
pub async fn run(node: Arc<Node>, tasks: &mut mpsc::UnboundedReceiver<table::Task>) {
    while let Some(task) = tasks.recv().await {
        actix_rt::spawn(dial::run(Arc::clone(&node), task.link, task.commands));
    }
}
