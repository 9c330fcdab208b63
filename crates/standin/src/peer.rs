//! Dialling end of a peer link, for tests that send frame sequences which a
//! daemon does not send.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_wire::{Frame, Hello, Secret, Side, VERSION, decode, encode};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

/// Fleet secret for tests whose fleet has a fake peer.
pub const SECRET: &str = "a secret for loopback only";
/// Read and write buffer of a connection in bytes; daemons use the same size.
const BUFFER_BYTES: usize = 8 * 1024;
/// Longest wait for a frame.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Open peer link of the test.
#[derive(Debug)]
pub struct Dialler {
    /// Underlying WebSocket connection.
    pub socket: WebSocketStream<TcpStream>,
}

impl Dialler {
    /// Connects to a daemon under the node name `name` with the process
    /// identifier `boot`, and sends the handshake up to the proof. Returns
    /// `None` if the connection fails or the daemon sends no `Welcome`.
    ///
    /// # Panics
    ///
    /// Panics if the secret is too short.
    pub async fn dial(to: SocketAddr, name: &str, boot: u64, secret: &str) -> Option<Self> {
        let stream = TcpStream::connect(to).await.ok()?;
        let url = format!("ws://{to}/link");
        let config = WebSocketConfig::default()
            .read_buffer_size(BUFFER_BYTES)
            .write_buffer_size(BUFFER_BYTES);
        let dialled = client_async_with_config(url, stream, Some(config)).await;
        let (socket, _) = dialled.ok()?;
        let mut dialler = Self { socket };
        let hello = Hello {
            version: VERSION,
            node: name.into(),
            boot,
            nonce: rand::random(),
        };
        dialler.send(&Frame::Hello(hello.clone()), &[]).await;
        let (Frame::Welcome(welcome), _) = dialler.receive().await? else {
            return None;
        };
        let secret = Secret::new(secret).expect("a secret of sufficient length");
        let nonces = [&hello.nonce, &welcome.nonce];
        let code = secret.prove(Side::Dialler, nonces, [name, &welcome.node]);
        dialler.send(&Frame::Proof { code }, &[]).await;
        Some(dialler)
    }

    /// Sends a frame; errors of a closed link are ignored.
    pub async fn send(&mut self, frame: &Frame, chunk: &[u8]) {
        let message = Message::Binary(encode(frame, chunk));
        let _ = self.socket.send(message).await;
    }

    /// Receives the next frame; `None` if the link closes, the message is not a
    /// valid frame, or none arrives within 5 s.
    pub async fn receive(&mut self) -> Option<(Frame, Bytes)> {
        let next = timeout(RECEIVE_TIMEOUT, self.socket.next()).await;
        match next.ok()?? {
            Ok(Message::Binary(bytes)) => decode(&bytes).ok(),
            _ => None,
        }
    }
}
