//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response. `start` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response, zero if there is none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what has been read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        let length = self.stream.read(&mut part)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..length]);
        Ok(())
    }

    /// Reads one message. `limit` bounds the time, `None` waits as long as it takes.
    pub fn read(&mut self, limit: Option<Duration>) -> io::Result<Message> {
        let until = limit.map(|limit| Instant::now() + limit);
        let set = |stream: &TcpStream| -> io::Result<()> {
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(left)
        };
        let end = loop {
            let found = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            set(&self.stream)?;
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = loop {
                    if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                        self.buffer.drain(..end + 2);
                        break usize::from_str_radix(text.trim(), 16)
                            .map_err(|_| broken("chunk"))?;
                    }
                    set(&self.stream)?;
                    self.fill()?;
                };
                while self.buffer.len() < size + 2 {
                    set(&self.stream)?;
                    self.fill()?;
                }
                message.body.extend_from_slice(&self.buffer[..size]);
                self.buffer.drain(..size + 2);
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length");
        let length = length
            .and_then(|text| text.parse::<usize>().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            set(&self.stream)?;
            self.fill()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("{start}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends one request on a new connection and reads the response.
pub fn request(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, limit.min(Duration::from_secs(1)))?;
    connection.write(start, headers, body)?;
    connection.read(Some(limit))
}
