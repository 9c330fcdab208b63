//! A caller for tests: one request at a time, on a thread of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

use crate::thread;

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    to: SocketAddr,
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// What a caller received.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status, zero when there was no whole answer.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// A `GET` request.
    pub fn get(to: SocketAddr, path: &str) -> Self {
        Self {
            to,
            method: "GET".to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// A `POST` request.
    pub fn post(to: SocketAddr, path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST".to_owned(),
            body: body.to_vec(),
            ..Self::get(to, path)
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends the request and waits for its answer.
    pub fn send(self) -> Reply {
        thread::run(move || self.sent())
    }

    /// Sends the request on the current actor system.
    ///
    /// # Panics
    ///
    /// When the method is not valid.
    pub async fn sent(self) -> Reply {
        let client = awc::Client::builder()
            .timeout(PATIENCE)
            .disable_redirects()
            .finish();
        let method = self.method.parse().expect("a valid method");
        let mut request = client.request(method, format!("http://{}{}", self.to, self.path));
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        let none = Reply {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
        };
        let Ok(mut answer) = request.send_body(self.body).await else {
            return none;
        };
        let Ok(body) = answer.body().limit(MAX_ANSWER).await else {
            return none;
        };
        let headers = answer.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        Reply {
            status: answer.status().as_u16(),
            headers: headers.collect(),
            body: body.to_vec(),
        }
    }
}

impl Reply {
    /// Result code of a problem document, zero for anything else.
    pub fn code(&self) -> u64 {
        self.member("code").as_u64().unwrap_or(0)
    }

    /// What a problem document says of the request's execution.
    pub fn ran(&self) -> String {
        self.member("ran").as_str().unwrap_or_default().to_owned()
    }

    /// A header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn member(&self, name: &str) -> Value {
        let document = serde_json::from_slice::<Value>(&self.body).unwrap_or_default();
        document.get(name).cloned().unwrap_or_default()
    }
}

/// Sends bytes as they are and gives the status of the answer, zero when the
/// connection was closed without one.
///
/// # Panics
///
/// When the connection cannot be opened.
pub fn send_raw(to: SocketAddr, bytes: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(to).expect("the address is listened on");
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a time-out above zero");
    // The other end may refuse before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).unwrap_or(0);
    let head = String::from_utf8_lossy(&answer[..length]);
    head.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}

/// Waits until something holds, at most the patience of a caller.
///
/// # Panics
///
/// When it does not hold in time.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = std::time::Instant::now() + PATIENCE * 2;
    while !holds() {
        assert!(std::time::Instant::now() < until, "{what}: not in time");
        std::thread::sleep(Duration::from_millis(10));
    }
}
