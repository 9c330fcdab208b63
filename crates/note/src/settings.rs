//! The schema of a daemon's settings file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use serde::Deserialize;

use crate::{Name, Size, Timespan, machine, yaml};

/// Settings of one daemon, read at start and again on reload.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this daemon, unique in the fleet.
    pub node: Name,
    /// Failure domain of the daemon's VM; one of `domains`.
    pub domain: Name,
    /// Region of the failure domain.
    pub region: Name,
    /// Secret shared by all daemons of the fleet, 16 bytes or more.
    pub fleet_secret: Arc<str>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the local target. It must be a loopback address
    /// unless `sidecar` is set.
    pub target: SocketAddr,
    /// Address on which peers open links and send gossip; must be reachable
    /// from them.
    pub peers: SocketAddr,
    /// Address for operators and the metrics collector; must be reachable
    /// from them.
    pub admin: SocketAddr,
    /// Base URL of the platform's service, such as `http://10.0.0.9:80`.
    pub platform: Arc<str>,
    /// All failure domains of the deployment, among which quota is divided.
    pub domains: Vec<Name>,
    /// Local target in deployments where the daemon serves the platform's
    /// registration calls and requests. If it is absent, targets register over
    /// the interface of this project.
    #[serde(default)]
    pub sidecar: Option<Sidecar>,
    /// TLS for callers; callers are served in plain text if it is absent.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Read calls per second that the platform accepts from the whole fleet.
    #[serde(default = "default_platform_reads")]
    pub platform_reads: f64,
    /// Write calls per second that the platform accepts from the whole fleet.
    #[serde(default = "default_platform_writes")]
    pub platform_writes: f64,
    /// Bytes per second that this daemon may send over the slow link.
    #[serde(default = "default_slow_link")]
    pub slow_link: Size,
    /// Bytes of request and response bodies that this daemon buffers at once.
    #[serde(default = "default_bodies")]
    pub bodies: Size,
    /// Memory that this process may use; at least 32 MiB. Without it, the memory of the
    /// machine.
    #[serde(default = "default_memory")]
    pub memory: Size,
    /// File descriptors that this process may have open; at least 220.
    #[serde(default = "default_descriptors")]
    pub descriptors: u32,
    /// Connections of callers that may be open at once. Without it, half of the
    /// descriptors that are not kept for files.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Format of the log.
    #[serde(default)]
    pub log: LogFormat,
}

/// The local target, as the platform describes it, and the limits that the
/// platform sets.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// Service that the target serves.
    pub service: Arc<str>,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Address on which the platform checks the readiness of this daemon.
    pub ready: SocketAddr,
    /// Whether requests with an unconfirmed key are refused.
    pub strict_keys: bool,
    /// Maximum time from the withdrawal of a key to the last request that is
    /// accepted with it.
    pub withdraw_within: Timespan,
    /// Time from SIGTERM until the process must have exited.
    pub grace: Timespan,
    /// Retry budget of a service over the whole fleet, as a ratio of the
    /// requests for it.
    pub retry_ratio: f64,
    /// Retries of a service that the whole fleet may make beyond that ratio.
    pub retry_slack: f64,
    /// Requests that a cold target may receive in a second beyond the multiple of its
    /// sustained rate; [`DEFAULT_COLD_SLACK`] if absent or empty.
    #[serde(default)]
    pub cold_slack: Option<f64>,
    /// Whether the whole system starts for the first time, which means that no
    /// target can be older than its daemon.
    #[serde(default)]
    pub first_start: bool,
}

/// Slack of cold targets in deployments that set none, in requests.
pub const DEFAULT_COLD_SLACK: f64 = 8.0;

impl Sidecar {
    /// Requests that a cold target may receive in a second beyond the multiple of its
    /// sustained rate.
    pub fn cold_slack(&self) -> f64 {
        self.cold_slack.unwrap_or(DEFAULT_COLD_SLACK)
    }
}

/// Files for TLS with callers. They are read again when they change.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Path of the certificate chain, in PEM.
    pub certificate: PathBuf,
    /// Path of the private key, in PEM.
    pub private_key: PathBuf,
}

/// Format of the log on standard output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text for a terminal.
    Text,
    /// No output; decisions remain available to `explain`.
    Off,
}

/// Intervals and timeouts of a daemon, each 5 ms or more.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of heartbeats on a peer link with open calls.
    pub heartbeat: Timespan,
    /// Time without a received frame after which a link is replaced; at least
    /// twice `heartbeat`.
    pub silence: Timespan,
    /// Timeout for opening a link or a connection to the target.
    pub connect: Timespan,
    /// Interval at which a poller reads from the platform.
    pub poll: Timespan,
    /// Timeout of a request to the platform.
    pub platform: Timespan,
    /// Time without an announcement after which a target expires.
    pub announce: Timespan,
    /// Time for open requests to finish while the daemon is leaving.
    pub drain: Timespan,
    /// Time without a call after which a link is closed.
    pub idle: Timespan,
    /// Duration of a lease on quota shares.
    pub lease: Timespan,
    /// Interval of gossip probes.
    pub probe: Timespan,
    /// Time without progress after which the connection of a caller that does not read
    /// its response is closed while memory is short.
    pub write: Timespan,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Timespan::from_millis(500),
            silence: Timespan::from_millis(1_500),
            connect: Timespan::from_millis(1_000),
            poll: Timespan::from_millis(500),
            platform: Timespan::from_millis(2_000),
            announce: Timespan::from_millis(3_000),
            drain: Timespan::from_millis(30_000),
            idle: Timespan::from_millis(60_000),
            lease: Timespan::from_millis(120_000),
            probe: Timespan::from_millis(1_000),
            write: Timespan::from_millis(5_000),
        }
    }
}

/// Read rate given in the platform's specification.
const fn default_platform_reads() -> f64 {
    2_000.0
}

/// Write rate given in the platform's specification.
const fn default_platform_writes() -> f64 {
    400.0
}

const fn default_slow_link() -> Size {
    Size::from_bytes(200 * 1024)
}

const fn default_bodies() -> Size {
    Size::from_bytes(256 * 1024 * 1024)
}

/// Memory of the machine, or 1 GiB where it is not known.
fn default_memory() -> Size {
    machine::memory().unwrap_or(Size::from_bytes(1024 * 1024 * 1024))
}

const fn default_descriptors() -> u32 {
    4_100
}

/// Smallest memory that is accepted, in bytes.
const MIN_MEMORY: usize = 32 * 1024 * 1024;
/// Descriptors that are not used for connections.
const FILE_DESCRIPTORS: u32 = 200;
/// Fewest descriptors that are accepted.
const MIN_DESCRIPTORS: u32 = 220;

/// Shortest interval or timeout that is accepted.
const MIN_TIMESPAN: Timespan = Timespan::from_millis(5);

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Those of [`yaml::read`] and [`Self::check`], with the file's path.
    pub fn read(path: &Path) -> Result<Self, Failure> {
        let (settings, _) = yaml::read::<Self>(path)?;
        settings
            .check()
            .map_err(|failure| yaml::in_file(path, &failure))?;
        Ok(settings)
    }

    /// Connections of callers that may be open at once.
    #[must_use]
    pub fn max_connections(&self) -> u32 {
        let default = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        self.connections.unwrap_or(default)
    }

    /// Returns these settings with those fields of `changed` that a running
    /// daemon can adopt, and the names of the changed fields that need a
    /// restart.
    #[must_use]
    pub fn reloaded(&self, changed: &Self) -> (Self, Vec<&'static str>) {
        let mut next = self.clone();
        next.bodies = changed.bodies;
        next.connections = changed.connections;
        next.platform_reads = changed.platform_reads;
        next.platform_writes = changed.platform_writes;
        next.timing = Timing {
            platform: self.timing.platform,
            probe: self.timing.probe,
            ..changed.timing
        };
        if let (Some(next), Some(changed)) = (&mut next.sidecar, &changed.sidecar) {
            next.strict_keys = changed.strict_keys;
            next.withdraw_within = changed.withdraw_within;
            next.grace = changed.grace;
            next.retry_ratio = changed.retry_ratio;
            next.retry_slack = changed.retry_slack;
            next.cold_slack = changed.cold_slack;
        }
        let needs_restart = next.differing(changed);
        (next, needs_restart)
    }

    /// Returns the names of the fields that need a restart and differ from
    /// those of other settings.
    fn differing(&self, other: &Self) -> Vec<&'static str> {
        let debug = |value: &dyn std::fmt::Debug| format!("{value:?}");
        let local_target = |settings: &Self| {
            let sidecar = settings.sidecar.as_ref();
            sidecar.map(|sidecar| (sidecar.service.clone(), sidecar.address, sidecar.ready))
        };
        let fields = [
            ("node", self.node != other.node),
            ("domain", self.domain != other.domain),
            ("region", self.region != other.region),
            ("fleet_secret", self.fleet_secret != other.fleet_secret),
            ("callers", self.callers != other.callers),
            ("target", self.target != other.target),
            ("peers", self.peers != other.peers),
            ("admin", self.admin != other.admin),
            ("platform", self.platform != other.platform),
            ("domains", self.domains != other.domains),
            ("sidecar", local_target(self) != local_target(other)),
            ("tls", debug(&self.tls) != debug(&other.tls)),
            ("slow_link", self.slow_link != other.slow_link),
            ("memory", self.memory != other.memory),
            ("descriptors", self.descriptors != other.descriptors),
            ("log", self.log != other.log),
            (
                "timing.platform",
                self.timing.platform != other.timing.platform,
            ),
            ("timing.probe", self.timing.probe != other.timing.probe),
        ];
        let changed = fields.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(name, _)| name).collect()
    }

    /// Checks values and names against their ranges and each other.
    ///
    /// # Errors
    ///
    /// [`Code::ReferenceUnknown`] for a failure domain that is not listed, and
    /// [`Code::ValueRange`] for any other value that is not allowed.
    pub fn check(&self) -> Result<(), Failure> {
        let out_of_range =
            |detail: &str| Err(Failure::new(Code::ValueRange, format!("1:1: {detail}")));
        if !self.domains.contains(&self.domain) {
            return Err(Failure::new(
                Code::ReferenceUnknown,
                format!("1:1: domain: `{}` is not listed in domains", self.domain),
            ));
        }
        if self.sidecar.is_none() && !self.target.ip().is_loopback() {
            return out_of_range("target: must be a loopback address");
        }
        if self.peers.ip().is_unspecified() || self.admin.ip().is_unspecified() {
            return out_of_range("peers and admin: must not be unspecified addresses");
        }
        if self.memory.get() < MIN_MEMORY {
            return out_of_range("memory: must be 32MiB or more");
        }
        if self.descriptors < MIN_DESCRIPTORS || self.connections == Some(0) {
            return out_of_range("descriptors and connections: must be 220 and 1 or more");
        }
        let timing = &self.timing;
        let timespans = [
            timing.heartbeat,
            timing.silence,
            timing.connect,
            timing.poll,
            timing.platform,
            timing.announce,
            timing.drain,
            timing.idle,
            timing.lease,
            timing.probe,
            timing.write,
        ];
        if timespans.iter().any(|timespan| *timespan < MIN_TIMESPAN) {
            return out_of_range("timing: each value must be 5ms or more");
        }
        if timing.silence.get() < timing.heartbeat.get() * 2 {
            return out_of_range("timing.silence: must be at least twice timing.heartbeat");
        }
        let sidecar = self.sidecar.as_ref();
        let cold_slack = sidecar.map_or(DEFAULT_COLD_SLACK, Sidecar::cold_slack);
        if !cold_slack.is_finite() || cold_slack < 0.0 {
            return out_of_range("sidecar.cold_slack: must be zero or more");
        }
        check_secret(&self.fleet_secret)
    }
}

/// Minimum length of the fleet secret.
const MIN_SECRET_BYTES: usize = 16;

fn check_secret(secret: &str) -> Result<(), Failure> {
    if secret.len() < MIN_SECRET_BYTES {
        let detail = "1:1: fleet_secret: must be 16 bytes or longer";
        return Err(Failure::new(Code::ValueRange, detail));
    }
    Ok(())
}
