//! Opening a connection: version, names and proof of the fleet secret.

use std::net::SocketAddr;
use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use cardamomshed_wire::{Frame, Hello, Side, VERSION, Welcome, decode, encode};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::node::Node;

/// Largest message that is accepted, in bytes.
const MAX_MESSAGE: usize = 8 * 1024 * 1024;

/// Buffer of each direction of a connection, in bytes. A daemon may hold a
/// thousand links, most of them quiet, so it is small.
const BUFFER: usize = 8 * 1024;

pub(super) type Socket = WebSocketStream<TcpStream>;

/// The other end of an open connection.
#[derive(Debug)]
pub(super) struct Other {
    pub(super) node: Arc<str>,
    pub(super) boot: u64,
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_message_size(Some(MAX_MESSAGE))
        .max_frame_size(Some(MAX_MESSAGE))
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the form that `map_err` takes"
)]
fn failed(error: impl ToString) -> Failure {
    Failure::new(Code::LinkFailed, error.to_string())
}

/// Dials another daemon.
pub(super) async fn dial(node: &Node, address: SocketAddr) -> Result<(Socket, Other), Failure> {
    let stream = TcpStream::connect(address).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let url = format!("ws://{address}/link");
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(config()))
        .await
        .map_err(failed)?;
    let hello = Hello {
        version: VERSION,
        node: Arc::clone(&node.name),
        boot: node.boot,
        nonce: rand::random(),
    };
    send(&mut socket, &Frame::Hello(hello.clone())).await?;
    let Frame::Welcome(welcome) = receive(&mut socket).await? else {
        return Err(Failure::new(Code::FrameInvalid, "a welcome was expected"));
    };
    let nonces = [&hello.nonce, &welcome.nonce];
    let nodes = [&*hello.node, &*welcome.node];
    let proven = node
        .secret
        .verify(Side::Acceptor, nonces, nodes, &welcome.code);
    if !proven {
        return Err(Failure::new(Code::LinkRejected, address.to_string()));
    }
    let code = node.secret.prove(Side::Dialler, nonces, nodes);
    send(&mut socket, &Frame::Proof { code }).await?;
    let other = Other {
        node: welcome.node,
        boot: welcome.boot,
    };
    Ok((socket, other))
}

/// Accepts a connection from another daemon.
pub(super) async fn accept(node: &Node, stream: TcpStream) -> Result<(Socket, Other), Failure> {
    stream.set_nodelay(true).map_err(failed)?;
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config()))
        .await
        .map_err(failed)?;
    let Frame::Hello(hello) = receive(&mut socket).await? else {
        return Err(Failure::new(Code::FrameInvalid, "a hello was expected"));
    };
    if hello.version != VERSION {
        let detail = format!("version {} of {}", hello.version, hello.node);
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
        return Err(Failure::new(Code::FrameInvalid, "a proof was expected"));
    };
    if !node.secret.verify(Side::Dialler, nonces, nodes, &code) {
        return Err(Failure::new(Code::LinkRejected, hello.node.to_string()));
    }
    let other = Other {
        node: hello.node,
        boot: hello.boot,
    };
    Ok((socket, other))
}

async fn send(socket: &mut Socket, frame: &Frame) -> Result<(), Failure> {
    let message = Message::Binary(encode(frame, &[]));
    socket.send(message).await.map_err(failed)
}

async fn receive(socket: &mut Socket) -> Result<Frame, Failure> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => decode(&bytes).map(|(frame, _)| frame),
        Some(Ok(_)) => Err(Failure::new(Code::FrameInvalid, "a frame was expected")),
        Some(Err(error)) => Err(failed(error)),
        None => Err(failed("the connection was closed")),
    }
}
