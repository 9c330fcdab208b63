//! What a daemon reads from a connection that has not proved that it is a peer's.

use std::io::Write as _;
use std::net::TcpStream;

use crate::chain;

/// Guards against a message that is buffered, up to 8 MiB, for anyone who connects.
#[test]
fn long_message_cut_off() {
    let fleet = chain(1);
    let peers = fleet.daemons[0].node.settings.peers;
    let mut stream = TcpStream::connect(peers).expect("a connection");
    let upgrade = "GET /link HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\
                   sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    stream.write_all(upgrade.as_bytes()).expect("an upgrade");
    // A masked binary message of 8 MiB, more than the sockets buffer unread.
    let length = 8_u64 << 20;
    let header = [&[0x82, 0xff], &length.to_be_bytes()[..], &[0; 4]].concat();
    let message = [header, vec![0; 8 << 20]].concat();
    assert!(stream.write_all(&message).is_err());
}
