//! Close of a connection after its last response.

use std::future::poll_fn;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use super::transport::Transport;

/// Size of the buffer for discarded input, in bytes.
const DISCARD_BYTES: usize = 8 * 1024;
/// Time for which input is read and discarded after the last response. Closing a socket
/// with unread input resets the connection, and the client may lose the response.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Closes a connection in a way that does not destroy the last response.
pub async fn close(transport: &mut impl Transport, time: Duration) {
    // The message needs room in the send buffer, which may be full of the response.
    let _ = tokio::time::timeout(time, poll_fn(|cx| transport.poll_close(cx))).await;
    let socket = transport.socket();
    let _ = SockRef::from(&**socket).shutdown(Shutdown::Write);
    // The client is expected to close its side; the connection ends anyway.
    let _ = tokio::time::timeout(DRAIN_TIME, discard_input(socket)).await;
}

/// Reads until the client closes its side.
async fn discard_input(stream: &TcpStream) {
    let mut discarded = vec![0; DISCARD_BYTES];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut discarded) {
            Ok(0) => break,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => break,
            Ok(_) | Err(_) => {}
        }
    }
}
