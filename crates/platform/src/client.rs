//! The HTTP client of the platform's services.

use std::time::Duration;

use awc::http::StatusCode;
use cardamomshed_code::{Code, Failure};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Expect, Operation, Row};

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Client of the platform's table service and object store.
///
/// It belongs to one thread, as the HTTP client below it does.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    base: String,
}

impl Client {
    /// A client of the service at `base`, such as `http://127.0.0.1:9000`.
    pub fn new(base: &str, timeout: Duration) -> Self {
        let http = awc::Client::builder().timeout(timeout).finish();
        Self {
            http,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformUnavailable`] or [`Code::PlatformAnswer`].
    pub async fn get(&self, table: &str, key: &str) -> Result<Option<Row>, Failure> {
        let request = self.http.get(self.row_url(table, key));
        let mut answer = request.send().await.map_err(|error| unavailable(&error))?;
        match answer.status() {
            StatusCode::OK => Ok(Some(read(&mut answer).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    /// Reads up to `limit` rows with keys behind `after`, in key order.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformUnavailable`] or [`Code::PlatformAnswer`].
    pub async fn list(&self, table: &str, after: &str, limit: usize) -> Result<Vec<Row>, Failure> {
        let url = format!(
            "{}/v1/tables/{table}/rows?after={after}&limit={limit}",
            self.base
        );
        let mut answer = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|error| unavailable(&error))?;
        match answer.status() {
            StatusCode::OK => read(&mut answer).await,
            status => Err(refused(status)),
        }
    }

    /// Writes one row and gives its new version.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformConflict`] where the row is not as expected;
    /// [`Code::PlatformUnavailable`] where it is unknown whether the write
    /// took effect.
    pub async fn put(
        &self,
        table: &str,
        key: &str,
        expect: Expect,
        value: &impl Serialize,
    ) -> Result<u64, Failure> {
        let mut request = self.http.put(self.row_url(table, key));
        request = match expect {
            Expect::Absent => request.insert_header(("If-None-Match", "*")),
            Expect::Version(version) => request.insert_header(("If-Match", version.to_string())),
            Expect::Any => request,
        };
        let sent = request.send_json(value).await;
        let mut answer = sent.map_err(|error| unavailable(&error))?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED => read(&mut answer).await,
            StatusCode::PRECONDITION_FAILED => Err(conflict(table, key)),
            status => Err(refused(status)),
        }
    }

    /// Makes all the writes or none, and gives the new version of each row.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformConflict`] where a row is not as expected;
    /// [`Code::PlatformUnavailable`] where it is unknown whether the writes
    /// took effect.
    pub async fn transact(&self, operations: &[Operation]) -> Result<Vec<u64>, Failure> {
        let request = self.http.post(format!("{}/v1/transactions", self.base));
        let sent = request.send_json(&operations).await;
        let mut answer = sent.map_err(|error| unavailable(&error))?;
        match answer.status() {
            StatusCode::OK => read(&mut answer).await,
            StatusCode::PRECONDITION_FAILED => Err(conflict("transaction", "rows")),
            status => Err(refused(status)),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformUnavailable`].
    pub async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, Failure> {
        let request = self.http.get(format!("{}/v1/objects/{name}", self.base));
        let mut answer = request.send().await.map_err(|error| unavailable(&error))?;
        match answer.status() {
            StatusCode::OK => {
                let body = answer.body().limit(MAX_ANSWER).await;
                Ok(Some(body.map_err(|error| unavailable(&error))?.to_vec()))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(refused(status)),
        }
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// [`Code::PlatformUnavailable`].
    pub async fn put_object(&self, name: &str, contents: Vec<u8>) -> Result<(), Failure> {
        let request = self.http.put(format!("{}/v1/objects/{name}", self.base));
        let sent = request.send_body(contents).await;
        let answer = sent.map_err(|error| unavailable(&error))?;
        match answer.status() {
            StatusCode::OK | StatusCode::CREATED => Ok(()),
            status => Err(refused(status)),
        }
    }

    fn row_url(&self, table: &str, key: &str) -> String {
        format!("{}/v1/tables/{table}/rows/{key}", self.base)
    }
}

type Received<S> = awc::ClientResponse<S>;

async fn read<T, S>(answer: &mut Received<S>) -> Result<T, Failure>
where
    T: DeserializeOwned,
    S: futures_core::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = answer
        .body()
        .limit(MAX_ANSWER)
        .await
        .map_err(|error| unavailable(&error))?;
    serde_json::from_slice(&body)
        .map_err(|error| Failure::new(Code::PlatformAnswer, error.to_string()))
}

fn unavailable(error: &impl std::fmt::Display) -> Failure {
    Failure::new(Code::PlatformUnavailable, error.to_string())
}

fn refused(status: StatusCode) -> Failure {
    Failure::new(Code::PlatformUnavailable, format!("status {status}"))
}

fn conflict(table: &str, key: &str) -> Failure {
    Failure::new(Code::PlatformConflict, format!("{table}/{key}"))
}
