//! Link handshake: checks the protocol version, exchanges node names and proves
//! possession of the fleet secret in both directions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use cardamomshed_wire::{Frame, Hello, Side, VERSION, Welcome, decode, encode};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::limited::Limited;
use crate::node::Node;

/// Largest WebSocket message and frame that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Buffer size for each direction of a connection, in bytes. It is small
/// because a daemon may hold a thousand links, most of them idle.
const BUFFER_BYTES: usize = 8 * 1024;

pub(super) type Socket = WebSocketStream<Limited>;

/// Identity of the daemon at the other end of a connection.
#[derive(Debug)]
pub(super) struct Remote {
    /// Node name, verified by the handshake.
    pub(super) node: Arc<str>,
    /// Random number of the process; a new one means a restart.
    pub(super) boot: u64,
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "`map_err` passes errors by value"
)]
fn link_failure(error: impl ToString) -> Failure {
    Failure::new(Code::LinkFailed, error.to_string())
}

/// Connection to another daemon after the handshake.
pub(super) struct Dialled {
    pub(super) socket: Socket,
    pub(super) remote: Remote,
    /// Time from a message of the handshake to the response.
    pub(super) round_trip: Duration,
}

/// Connects to another daemon and performs the handshake as dialler.
pub(super) async fn dial(node: &Node, address: SocketAddr) -> Result<Dialled, Failure> {
    let stream = TcpStream::connect(address).await.map_err(link_failure)?;
    stream.set_nodelay(true).map_err(link_failure)?;
    let url = format!("ws://{address}/link");
    let stream = Limited::new(stream);
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config()))
        .await
        .map_err(link_failure)?;
    let hello = Hello {
        version: VERSION,
        node: Arc::clone(&node.name),
        boot: node.boot,
        nonce: rand::random(),
    };
    let sent_at = Instant::now();
    send(&mut socket, &Frame::Hello(hello.clone())).await?;
    let Frame::Welcome(welcome) = receive(&mut socket).await? else {
        return Err(Failure::new(Code::FrameInvalid, "expected a Welcome frame"));
    };
    let round_trip = sent_at.elapsed();
    let nonces = [&hello.nonce, &welcome.nonce];
    let nodes = [&*hello.node, &*welcome.node];
    let verified = node
        .secret
        .verify(Side::Acceptor, nonces, nodes, &welcome.code);
    if !verified {
        return Err(Failure::new(Code::LinkRejected, address.to_string()));
    }
    socket.get_mut().lift();
    let code = node.secret.prove(Side::Dialler, nonces, nodes);
    send(&mut socket, &Frame::Proof { code }).await?;
    let remote = Remote {
        node: welcome.node,
        boot: welcome.boot,
    };
    Ok(Dialled {
        socket,
        remote,
        round_trip,
    })
}

/// Performs the handshake as acceptor on a new connection.
pub(super) async fn accept(node: &Node, stream: TcpStream) -> Result<(Socket, Remote), Failure> {
    stream.set_nodelay(true).map_err(link_failure)?;
    let stream = Limited::new(stream);
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config()))
        .await
        .map_err(link_failure)?;
    let Frame::Hello(hello) = receive(&mut socket).await? else {
        return Err(Failure::new(Code::FrameInvalid, "expected a Hello frame"));
    };
    if hello.version != VERSION {
        let detail = format!("protocol version {} of {}", hello.version, hello.node);
        return Err(Failure::new(Code::LinkVersion, detail));
    }
    let nonce: [u8; 16] = rand::random();
    let nonces = [&hello.nonce, &nonce];
    let nodes = [&*hello.node, &*node.name];
    let welcome = Welcome {
        node: Arc::clone(&node.name),
        boot: node.boot,
        nonce,
        code: node.secret.prove(Side::Acceptor, nonces, nodes),
    };
    send(&mut socket, &Frame::Welcome(welcome)).await?;
    let Frame::Proof { code } = receive(&mut socket).await? else {
        return Err(Failure::new(Code::FrameInvalid, "expected a Proof frame"));
    };
    if !node.secret.verify(Side::Dialler, nonces, nodes, &code) {
        return Err(Failure::new(Code::LinkRejected, hello.node.to_string()));
    }
    socket.get_mut().lift();
    let remote = Remote {
        node: hello.node,
        boot: hello.boot,
    };
    Ok((socket, remote))
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<(), Failure> {
    let message = Message::Binary(encode(frame, &[]));
    socket.send(message).await.map_err(link_failure)
}

async fn receive(socket: &mut Socket) -> Result<Frame, Failure> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => decode(&bytes).map(|(frame, _)| frame),
        Some(Ok(_)) => Err(Failure::new(
            Code::FrameInvalid,
            "expected a binary message",
        )),
        Some(Err(error)) => Err(link_failure(error)),
        None => Err(link_failure("connection closed by peer")),
    }
}
