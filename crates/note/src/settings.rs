//! A daemon's settings file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use cardamomshed_code::{Code, Failure};
use serde::Deserialize;

use crate::{Length, Name, Size, yaml};

/// Settings of one daemon.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of this daemon in its fleet.
    pub node: Name,
    /// Failure domain of its VM.
    pub domain: Name,
    /// Region of the failure domain.
    pub region: Name,
    /// Secret of the fleet, the same in every daemon's settings.
    pub fleet_secret: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the target beside this daemon connects; loopback.
    pub target: SocketAddr,
    /// Where other daemons open peer links and send gossip.
    pub peers: SocketAddr,
    /// Where operators and the metrics collector connect.
    pub admin: SocketAddr,
    /// Base address of the platform's service, such as `http://10.0.0.9:80`.
    pub platform: Arc<str>,
    /// Every failure domain of the deployment; quota is divided among them.
    pub domains: Vec<Name>,
    /// The target beside this daemon, where the platform's registration
    /// calls and requests are served; left out, targets announce themselves
    /// over this project's own interface.
    #[serde(default)]
    pub sidecar: Option<Sidecar>,
    /// TLS towards callers; left out, callers are served in plain.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Reading calls a second that the platform takes from the whole fleet.
    #[serde(default = "default_platform_reads")]
    pub platform_reads: f64,
    /// Writing calls a second that the platform takes from the whole fleet.
    #[serde(default = "default_platform_writes")]
    pub platform_writes: f64,
    /// Bytes a second that this daemon may send over the slow link.
    #[serde(default = "default_slow_link")]
    pub slow_link: Size,
    /// Bytes of request and answer bodies that this daemon holds at once.
    #[serde(default = "default_bodies")]
    pub bodies: Size,
    /// Intervals and time-outs.
    #[serde(default)]
    pub timing: Timing,
    /// Form of the log.
    #[serde(default)]
    pub log: LogForm,
}

/// The target beside this daemon, as the platform tells it, and the bounds
/// that the platform sets.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// Service that the target serves.
    pub service: Arc<str>,
    /// Where the target accepts requests.
    pub address: SocketAddr,
    /// Where the platform asks whether this daemon takes requests.
    pub ready: SocketAddr,
    /// Whether requests with a key that cannot be confirmed are refused.
    pub strict_keys: bool,
    /// Time from the withdrawal of a key to the last request that it opens.
    pub withdraw_within: Length,
    /// Time that a process has from SIGTERM to its end.
    pub grace: Length,
    /// Retries of a service as a share of the requests for it, over the
    /// fleet.
    pub retry_ratio: f64,
    /// Retries over the fleet beyond that share.
    pub retry_slack: f64,
    /// Whether the whole system starts for the first time, so that no target
    /// can be older than its daemon.
    #[serde(default)]
    pub first_start: bool,
}

/// TLS towards callers. Both files are read again when they change.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// File with the certificate chain in PEM.
    pub certificate: PathBuf,
    /// File with the private key in PEM.
    pub private_key: PathBuf,
}

/// Form of the log on standard output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Text,
    /// Decisions are kept for `explain` only.
    Off,
}

/// Intervals and time-outs.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between two signs of life on a peer link with open calls.
    pub heartbeat: Length,
    /// Without a sign of life after which a link is replaced.
    pub silence: Length,
    /// For opening a link or a connection to the target.
    pub connect: Length,
    /// Between two reads of the platform by a poller.
    pub poll: Length,
    /// For one request to the platform.
    pub platform: Length,
    /// Between two announcements of a target after which it has lapsed.
    pub announce: Length,
    /// For open requests to end once the daemon is leaving.
    pub drain: Length,
    /// Without a call after which a link is closed.
    pub idle: Length,
    /// Length of a lease on quota shares.
    pub lease: Length,
    /// Between two gossip probes.
    pub probe: Length,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Length::from_millis(500),
            silence: Length::from_millis(1_500),
            connect: Length::from_millis(1_000),
            poll: Length::from_millis(500),
            platform: Length::from_millis(2_000),
            announce: Length::from_millis(3_000),
            drain: Length::from_millis(30_000),
            idle: Length::from_millis(60_000),
            lease: Length::from_millis(120_000),
            probe: Length::from_millis(1_000),
        }
    }
}

/// Of the platform's description.
const fn default_platform_reads() -> f64 {
    2_000.0
}

/// Of the platform's description.
const fn default_platform_writes() -> f64 {
    400.0
}

const fn default_slow_link() -> Size {
    Size::from_bytes(200 * 1024)
}

const fn default_bodies() -> Size {
    Size::from_bytes(256 * 1024 * 1024)
}

/// Shortest interval or time-out that is accepted.
const MIN_LENGTH: Length = Length::from_millis(5);

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// What [`yaml::read`] refuses, and [`Code::ValueRange`] or
    /// [`Code::ReferenceUnknown`] where figures or names do not fit.
    pub fn read(path: &Path) -> Result<Self, Failure> {
        let (settings, _) = yaml::read::<Self>(path)?;
        settings
            .check()
            .map_err(|failure| yaml::in_file(path, &failure))?;
        Ok(settings)
    }

    /// These settings with what `changed` has that can be taken in while the
    /// daemon runs, and the names of changed fields that wait for a restart.
    #[must_use]
    pub fn reloaded(&self, changed: &Self) -> (Self, Vec<&'static str>) {
        let mut next = self.clone();
        next.bodies = changed.bodies;
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
        }
        let waiting = next.differing(changed);
        (next, waiting)
    }

    /// Names of the fields in which other settings differ.
    fn differing(&self, other: &Self) -> Vec<&'static str> {
        let text = |value: &dyn std::fmt::Debug| format!("{value:?}");
        let target = |settings: &Self| {
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
            ("sidecar", target(self) != target(other)),
            ("tls", text(&self.tls) != text(&other.tls)),
            ("slow_link", self.slow_link != other.slow_link),
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

    /// Checks figures and names against each other.
    ///
    /// # Errors
    ///
    /// [`Code::ValueRange`] or [`Code::ReferenceUnknown`].
    pub fn check(&self) -> Result<(), Failure> {
        let range = |detail: &str| Err(Failure::new(Code::ValueRange, format!("1:1: {detail}")));
        if !self.domains.contains(&self.domain) {
            return Err(Failure::new(
                Code::ReferenceUnknown,
                format!("1:1: domain: `{}` is not listed in domains", self.domain),
            ));
        }
        if self.sidecar.is_none() && !self.target.ip().is_loopback() {
            return range("target: must be a loopback address");
        }
        if self.peers.ip().is_unspecified() || self.admin.ip().is_unspecified() {
            return range("peers and admin: must be addresses that others can reach");
        }
        let timing = &self.timing;
        let lengths = [
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
        ];
        if lengths.iter().any(|length| *length < MIN_LENGTH) {
            return range("timing: each length must be 5ms or more");
        }
        if timing.silence.get() < timing.heartbeat.get() * 2 {
            return range("timing.silence: must be twice timing.heartbeat or more");
        }
        check_secret(&self.fleet_secret)
    }
}

/// Shortest fleet secret, in bytes.
const MIN_SECRET: usize = 16;

fn check_secret(secret: &str) -> Result<(), Failure> {
    if secret.len() < MIN_SECRET {
        let detail = "1:1: fleet_secret: must have 16 bytes or more";
        return Err(Failure::new(Code::ValueRange, detail));
    }
    Ok(())
}
