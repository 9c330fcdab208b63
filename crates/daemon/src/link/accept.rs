//! Accepting connections from other daemons.

use std::rc::Rc;
use std::sync::Arc;

use cardamomshed_code::Event;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::{handshake, session};
use crate::node::Node;

/// Accepts connections until the task is dropped.
pub async fn accept(node: Arc<Node>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let node = Arc::clone(&node);
                actix_rt::spawn(async move {
                    let connect = node.current().timing.connect.get();
                    match timeout(connect, handshake::accept(&node, stream)).await {
                        Ok(Ok((socket, other))) => session::run(node, socket, other).await,
                        Ok(Err(failure)) => node
                            .note_event(Event::LinkRejected, format_args!("from={from} {failure}")),
                        Err(_) => node.note_event(
                            Event::LinkRejected,
                            format_args!("from={from} the handshake took too long"),
                        ),
                    }
                });
            }
            Err(error) => {
                // Out of file descriptors, most likely; they come back.
                node.note_event(Event::LinkRejected, format_args!("{error}"));
                tokio::time::sleep(node.current().timing.heartbeat.get()).await;
            }
        }
    }
}
