//! HTTP client for tests. Each request opens its own connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use awc::http::Method;
use cardamomshed_http as http;
use serde_json::Value;

use crate::thread;

/// Time-out of a request, and of a read of a raw connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// HTTP request under construction.
#[derive(Clone, Debug)]
pub struct Request {
    to: SocketAddr,
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Response to a [`Request`].
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status; zero if no complete response arrived in time.
    pub status: u16,
    /// Header fields in the order of the header map; names are lower-case.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a `GET` request without headers and body.
    pub fn get(to: SocketAddr, path: &str) -> Self {
        Self {
            to,
            method: "GET".to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a `POST` request without headers.
    pub fn post(to: SocketAddr, path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST".to_owned(),
            body: body.to_vec(),
            ..Self::get(to, path)
        }
    }

    /// Appends a header field; earlier ones with the same name stay.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds an account's key as a bearer token.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends the request and blocks until the response or the time-out.
    pub fn send(self) -> Reply {
        thread::run(move || self.send_async())
    }

    /// Sends the request on the current thread's actor system.
    ///
    /// # Panics
    ///
    /// Panics if the method is not a valid HTTP token.
    pub async fn send_async(self) -> Reply {
        let client = http::Client::new(http::Config {
            timeout: Some(REQUEST_TIMEOUT),
            ..http::Config::default()
        });
        let method = self.method.parse::<Method>().expect("a valid method");
        let mut request = client.request(method, format!("http://{}{}", self.to, self.path));
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        let sent = client.send(request, self.body.into(), MAX_RESPONSE_BYTES);
        let Ok(answer) = sent.await else {
            return Reply {
                status: 0,
                headers: Vec::new(),
                body: Vec::new(),
            };
        };
        let headers = answer.headers.iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        Reply {
            status: answer.status.as_u16(),
            headers: headers.collect(),
            body: answer.body.to_vec(),
        }
    }
}

impl Reply {
    /// Result code of a problem document; zero for any other body.
    pub fn code(&self) -> u64 {
        self.member("code").as_u64().unwrap_or(0)
    }

    /// Field `ran` of a problem document: whether the request was executed.
    /// Empty for any other body.
    pub fn ran(&self) -> String {
        self.member("ran").as_str().unwrap_or_default().to_owned()
    }

    /// First header field of this name, which must be lower-case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn member(&self, name: &str) -> Value {
        let document = serde_json::from_slice::<Value>(&self.body).unwrap_or_default();
        document.get(name).cloned().unwrap_or_default()
    }
}

/// Sends raw bytes on a new connection and returns the HTTP status of the
/// response; zero if the connection closes or times out without one.
///
/// # Panics
///
/// Panics if the connection cannot be opened.
pub fn send_raw(to: SocketAddr, bytes: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(to).expect("a listener at the address");
    stream
        .set_read_timeout(Some(REQUEST_TIMEOUT))
        .expect("a non-zero time-out");
    // The server may refuse and close before it has read everything.
    let _ = stream.write_all(bytes);
    let mut answer = [0; 64];
    let length = stream.read(&mut answer).unwrap_or(0);
    let head = String::from_utf8_lossy(&answer[..length]);
    head.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}

/// Polls every 10 ms until a condition holds.
///
/// # Panics
///
/// Panics with `name` in the message if it does not hold within 20 s.
pub fn eventually(name: &str, mut holds: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + REQUEST_TIMEOUT * 2;
    while !holds() {
        assert!(std::time::Instant::now() < deadline, "{name}: timed out");
        std::thread::sleep(Duration::from_millis(10));
    }
}
