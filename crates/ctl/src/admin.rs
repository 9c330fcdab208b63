//! Client of the daemons' admin listeners.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;
use cardamomshed_code::{Code, Failure};
use cardamomshed_http as http;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// An entry of a daemon's member list.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Member {
    /// Name of the daemon.
    #[serde(rename = "n")]
    pub name: String,
    /// State of the member according to the queried daemon; `l` if it has left.
    #[serde(rename = "s")]
    pub state: String,
    /// Properties that the member advertises.
    #[serde(rename = "p")]
    pub profile: Profile,
}

/// Properties that a member advertises about itself.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Profile {
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: String,
    /// Address of its admin listener.
    #[serde(rename = "m")]
    pub admin: SocketAddr,
    /// Service of its target, if it has one.
    #[serde(rename = "v")]
    pub service: Option<String>,
    /// Whether the target accepts new calls.
    #[serde(rename = "o")]
    pub open: bool,
    /// Numbers of the lender slots that it holds.
    #[serde(rename = "l")]
    pub lender_slots: Vec<u16>,
}

/// Status report of a daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Status {
    /// Name of the daemon.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Revision in force.
    pub revision: u64,
    /// Time since the revision was last confirmed as the newest, `None` if it has not
    /// been since the daemon's start.
    pub confirmed_ms_ago: Option<u64>,
    /// Whether the daemon is leaving the fleet.
    pub leaving: bool,
    /// Number of open root requests.
    pub open_requests: i64,
    /// Load of its target.
    pub load: Load,
    /// Services known to the daemon.
    pub services: Vec<Service>,
    /// Members known to the daemon, including itself.
    pub members: Vec<Member>,
    /// Names of the client accounts in force.
    pub accounts: Vec<String>,
}

/// Load of a target.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Load {
    /// Running calls.
    #[serde(rename = "r")]
    pub running: u32,
    /// Queued calls.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Concurrency limit.
    #[serde(rename = "l")]
    pub limit: u32,
}

/// State of a service as known to one daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Service {
    /// Name of the service.
    #[serde(rename = "service")]
    pub name: String,
    /// Number of known targets.
    pub targets: usize,
    /// Number of ejected targets.
    pub ejected: usize,
}

/// Refusal of a request by a daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Problem {
    code: Code,
    detail: String,
}

/// Sends a `GET` request to a daemon's admin listener and parses the JSON
/// response.
///
/// # Errors
///
/// The code of a daemon's refusal, or [`Code::DaemonUnreachable`] if the request fails
/// or the body does not parse.
pub async fn get<T: DeserializeOwned>(daemon: SocketAddr, path: &str) -> Result<T, Failure> {
    get_with(daemon, path, &[]).await
}

/// As [`get`], with a query string of these parameters.
///
/// # Errors
///
/// As [`get`].
pub async fn get_with<T: DeserializeOwned>(
    daemon: SocketAddr,
    path: &str,
    query: &[(&str, String)],
) -> Result<T, Failure> {
    let unreachable =
        |error: String| Failure::new(Code::DaemonUnreachable, format!("{daemon}: {error}"));
    let client = http::Client::new(http::Config {
        timeout: Some(TIMEOUT),
        ..http::Config::default()
    });
    let request = client
        .request(Method::GET, format!("http://{daemon}{path}"))
        .query(&query)
        .map_err(|error| unreachable(error.to_string()))?;
    let response = client
        .send(request, Bytes::new(), MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    let (status, body) = (response.status, response.body);
    if !status.is_success() {
        let problem = serde_json::from_slice::<Problem>(&body);
        return Err(problem.map_or_else(
            |_| unreachable(format!("status {status}")),
            |problem| Failure::new(problem.code, problem.detail),
        ));
    }
    serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))
}

/// Queries every daemon that has not left. The members are taken from the
/// first of `seeds` that responds. Returns the status reports, and the members
/// that did not respond.
///
/// # Errors
///
/// [`Code::DaemonUnreachable`] if none of `seeds` responds, and
/// [`Code::UsageInvalid`] if it is empty.
pub async fn query_fleet(seeds: &[SocketAddr]) -> Result<(Vec<Status>, Vec<Member>), Failure> {
    let mut first = Err(Failure::new(
        Code::UsageInvalid,
        "--daemon ADDRESS is missing",
    ));
    for daemon in seeds {
        first = get::<Status>(*daemon, "/status").await;
        if first.is_ok() {
            break;
        }
    }
    let first = first?;
    let mut statuses = Vec::new();
    let mut unreachable = Vec::new();
    for member in &first.members {
        if member.state == "l" {
            continue;
        }
        match get::<Status>(member.profile.admin, "/status").await {
            Ok(status) => statuses.push(status),
            Err(_) => unreachable.push(member.clone()),
        }
    }
    Ok((statuses, unreachable))
}
