//! Client and responses.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use awc::http::header::HeaderMap;
use awc::http::{Method, StatusCode, Uri};
use awc::{ClientRequest, error::HttpError};
use bytes::Bytes;

use crate::body;
use crate::error::Error;
use crate::transport;

/// Settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time to establish a connection.
    pub connect: Duration,
    /// Time from the request to the end of the response; `None` for no limit.
    pub timeout: Option<Duration>,
    /// Time for which an idle connection is kept.
    pub keep_alive: Duration,
    /// Largest number of connections to one address; zero for no limit.
    pub connections: usize,
}

/// HTTP client that is confined to one thread. Clones share their connections. Redirects
/// are not followed.
#[derive(Clone)]
pub struct Client {
    config: Config,
    /// Replaced after a broken response, since its connection may be idle again.
    http: Rc<RefCell<awc::Client>>,
}

/// Whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status of a final response.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body, without transfer coding.
    pub body: Bytes,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(5),
            timeout: None,
            keep_alive: Duration::from_secs(15),
            connections: 100,
        }
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            http: Rc::new(RefCell::new(library_client(config))),
        }
    }

    /// Begins a request.
    pub fn request<U>(&self, method: Method, url: U) -> ClientRequest
    where
        Uri: TryFrom<U>,
        <Uri as TryFrom<U>>::Error: Into<HttpError>,
    {
        self.http.borrow().request(method, url)
    }

    /// Sends a request with its body, and reads the whole response with a body of up to
    /// `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn send(
        &self,
        request: ClientRequest,
        body: Bytes,
        limit: usize,
    ) -> Result<Response, Error> {
        let exchange = self.exchange(request, body, limit);
        match self.config.timeout {
            Some(timeout) => tokio::time::timeout(timeout, exchange)
                .await
                .unwrap_or_else(|_| Err(Error::Failed(format!("no response within {timeout:?}")))),
            None => exchange.await,
        }
    }

    async fn exchange(
        &self,
        request: ClientRequest,
        body: Bytes,
        limit: usize,
    ) -> Result<Response, Error> {
        let head_only = *request.get_method() == Method::HEAD;
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|error| Error::Failed(error.to_string()))?;
        let body = body::read(&mut response, head_only, limit).await;
        if matches!(body, Err(Error::Broken(_))) {
            *self.http.borrow_mut() = library_client(self.config);
        }
        Ok(Response {
            status: response.status(),
            headers: response.headers().clone(),
            body: body?,
        })
    }
}

fn library_client(config: Config) -> awc::Client {
    let connector = transport::connector()
        .timeout(config.connect)
        .conn_keep_alive(config.keep_alive)
        .limit(config.connections);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        // The library's timeout ends with the head of the response.
        .disable_timeout()
        .finish()
}
