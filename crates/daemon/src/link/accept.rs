//! Accepts link connections from other daemons.

use std::rc::Rc;
use std::sync::Arc;

use cardamomshed_code::Event;
use cardamomshed_policy::memory::Kind;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::dial::LINK_BYTES;
use super::{handshake, session};
use crate::node::Node;

/// Accepts connections until the task is dropped. A handshake that exceeds the
/// connect timeout is rejected.
pub async fn accept(node: Arc<Node>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let node = Arc::clone(&node);
                let Some(reservation) = node.memory.reserve(Kind::Link, LINK_BYTES) else {
                    let detail = format_args!("from={from} no memory for the link");
                    node.log_event(Event::LinkRejected, detail);
                    continue;
                };
                actix_rt::spawn(async move {
                    let _reservation = reservation;
                    let connect = node.current_settings().timing.connect.get();
                    match timeout(connect, handshake::accept(&node, stream)).await {
                        Ok(Ok((socket, remote))) => session::run(node, socket, remote).await,
                        Ok(Err(failure)) => node
                            .log_event(Event::LinkRejected, format_args!("from={from} {failure}")),
                        Err(_) => node.log_event(
                            Event::LinkRejected,
                            format_args!("from={from} handshake timed out"),
                        ),
                    }
                });
            }
            Err(error) => {
                // Usually the process is out of file descriptors. Retry after a
                // pause, when some may have been released.
                node.log_event(Event::LinkRejected, format_args!("{error}"));
                tokio::time::sleep(node.current_settings().timing.heartbeat.get()).await;
            }
        }
    }
}
