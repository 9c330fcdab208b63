//! The dialling end of a peer link, made by hand, to play what daemons do not.

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

/// Secret of every fleet of stand-ins.
pub const SECRET: &str = "a secret for loopback only";
/// Buffer of each direction of a connection, in bytes, as daemons have it.
const BUFFER: usize = 8 * 1024;
/// Time that a frame is waited for.
const PATIENCE: Duration = Duration::from_secs(5);

/// A link that was dialled by hand.
#[derive(Debug)]
pub struct Dialler {
    /// The connection.
    pub socket: WebSocketStream<TcpStream>,
}

impl Dialler {
    /// Dials a daemon as the process `boot` of the daemon `name`. `None` when
    /// the daemon refuses before the proof.
    ///
    /// # Panics
    ///
    /// When the secret is too short.
    pub async fn dial(to: SocketAddr, name: &str, boot: u64, secret: &str) -> Option<Self> {
        let stream = TcpStream::connect(to).await.ok()?;
        let url = format!("ws://{to}/link");
        let config = WebSocketConfig::default()
            .read_buffer_size(BUFFER)
            .write_buffer_size(BUFFER);
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
        let secret = Secret::new(secret).expect("a long secret");
        let nonces = [&hello.nonce, &welcome.nonce];
        let code = secret.prove(Side::Dialler, nonces, [name, &welcome.node]);
        dialler.send(&Frame::Proof { code }, &[]).await;
        Some(dialler)
    }

    /// Sends a frame; a closed link loses it.
    pub async fn send(&mut self, frame: &Frame, chunk: &[u8]) {
        let message = Message::Binary(encode(frame, chunk));
        let _ = self.socket.send(message).await;
    }

    /// The next frame, `None` when the link closes or nothing comes in time.
    pub async fn receive(&mut self) -> Option<(Frame, Bytes)> {
        let next = timeout(PATIENCE, self.socket.next()).await;
        match next.ok()?? {
            Ok(Message::Binary(bytes)) => decode(&bytes).ok(),
            _ => None,
        }
    }
}
