//! Questions to daemons' admin listeners.

use std::net::SocketAddr;
use std::time::Duration;

use cardamomshed_code::{Code, Failure};
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Time for one answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A member as daemons tell it.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Member {
    /// Name of the daemon.
    #[serde(rename = "n")]
    pub name: String,
    /// State as the asked daemon knows it.
    #[serde(rename = "s")]
    pub state: String,
    /// What it tells of itself.
    #[serde(rename = "p")]
    pub profile: Profile,
}

/// What a member tells of itself.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Profile {
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: String,
    /// Address of its admin listener.
    #[serde(rename = "m")]
    pub admin: SocketAddr,
    /// Service of its target.
    #[serde(rename = "v")]
    pub service: Option<String>,
    /// Whether the target takes new calls.
    #[serde(rename = "o")]
    pub open: bool,
    /// Lender slots that it holds.
    #[serde(rename = "l")]
    pub lends: Vec<u16>,
}

/// A daemon at a glance.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Status {
    /// Name of the daemon.
    pub node: String,
    /// Failure domain.
    pub domain: String,
    /// Newest release note in force.
    pub revision: u64,
    /// Time since that was known to be the newest.
    pub confirmed_ms_ago: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Root requests that are open.
    pub open_requests: i64,
    /// Load of its target.
    pub load: Load,
    /// Services that it knows.
    pub services: Vec<Service>,
    /// Members that it knows, itself among them.
    pub members: Vec<Member>,
    /// Client accounts in force.
    pub accounts: Vec<String>,
}

/// Load of a target.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct Load {
    /// Calls that run.
    #[serde(rename = "r")]
    pub running: u32,
    /// Calls that wait.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Calls that may run.
    #[serde(rename = "l")]
    pub limit: u32,
}

/// A service as one daemon knows it.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Service {
    /// Name.
    #[serde(rename = "service")]
    pub name: String,
    /// Targets known.
    pub targets: usize,
    /// Targets ejected.
    pub ejected: usize,
}

/// Asks one daemon.
///
/// # Errors
///
/// [`Code::DaemonUnreachable`].
pub async fn ask<T: DeserializeOwned>(daemon: SocketAddr, path: &str) -> Result<T, Failure> {
    let unreachable =
        |error: String| Failure::new(Code::DaemonUnreachable, format!("{daemon}: {error}"));
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let mut answer = client
        .get(format!("http://{daemon}{path}"))
        .send()
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    if !answer.status().is_success() {
        return Err(unreachable(format!("status {}", answer.status())));
    }
    let body = answer
        .body()
        .limit(MAX_ANSWER)
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| unreachable(error.to_string()))
}

/// Status of every daemon that the named ones know, and the addresses that
/// did not answer.
///
/// # Errors
///
/// [`Code::DaemonUnreachable`] where none of the named ones answers.
pub async fn everyone(named: &[SocketAddr]) -> Result<(Vec<Status>, Vec<Member>), Failure> {
    let mut first = Err(Failure::new(
        Code::UsageInvalid,
        "--daemon ADDRESS is missing",
    ));
    for daemon in named {
        first = ask::<Status>(*daemon, "/status").await;
        if first.is_ok() {
            break;
        }
    }
    let first = first?;
    let mut answered = Vec::new();
    let mut silent = Vec::new();
    for member in &first.members {
        if member.state == "l" {
            continue;
        }
        match ask::<Status>(member.profile.admin, "/status").await {
            Ok(status) => answered.push(status),
            Err(_) => silent.push(member.clone()),
        }
    }
    Ok((answered, silent))
}
