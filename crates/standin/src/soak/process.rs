//! Daemons as processes of their own, with the settings template of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::{Context as _, Result, ensure};
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpSocket;

/// Ports below those that the kernel gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 12_000..32_000;

/// A loopback address that is free for TCP and UDP. No address is returned twice.
///
/// # Panics
///
/// Panics if a port does not fit into 16 bits, which the range rules out.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Soaks that run at the same time start at different ports.
    let start = std::process::id().wrapping_mul(7_919);
    loop {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).expect("a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if is_free(address) {
            return address;
        }
    }
}

/// Whether an address can be bound for TCP and UDP. The TCP socket does not listen: a
/// child process that another thread starts meanwhile holds a copy of it until it
/// executes its program, and a listening copy would make the next bind fail.
fn is_free(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)
    });
    socket.is_ok() && UdpSocket::bind(address).is_ok()
}

/// What all daemons of a run share.
#[derive(Clone, Debug)]
pub struct Site {
    /// The daemon's program.
    pub program: PathBuf,
    /// Settings template of the deploy file.
    pub template: String,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Failure domains with their regions.
    pub domains: &'static [(&'static str, &'static str)],
}

/// Addresses of the VM of a daemon.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name of the daemon.
    pub name: Rc<str>,
    /// Failure domain.
    pub domain: &'static str,
    /// Region of the failure domain.
    pub region: &'static str,
    /// Service of the target on the VM.
    pub service: &'static str,
    /// Address for requests of local clients and of the target.
    pub outbound: SocketAddr,
    /// Address for heartbeats of the target.
    pub control: SocketAddr,
    /// Address for the readiness probe.
    pub ready: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    peers: SocketAddr,
    /// Address for metrics and status.
    pub admin: SocketAddr,
}

impl Vm {
    /// Creates a VM with free addresses.
    pub fn new(
        name: &str,
        (domain, region): (&'static str, &'static str),
        service: &'static str,
    ) -> Self {
        Self {
            name: Rc::from(name),
            domain,
            region,
            service,
            outbound: free_address(),
            control: free_address(),
            ready: free_address(),
            target: free_address(),
            peers: free_address(),
            admin: free_address(),
        }
    }
}

/// State of a daemon's process. A process that is dropped is killed.
#[derive(Debug)]
pub struct Process {
    vm: Vm,
    site: Rc<Site>,
    child: Option<Child>,
    is_first: bool,
}

impl Process {
    /// Creates a process that has not started.
    pub const fn new(vm: Vm, site: Rc<Site>) -> Self {
        Self {
            vm,
            site,
            child: None,
            is_first: true,
        }
    }

    /// Its VM.
    pub const fn vm(&self) -> &Vm {
        &self.vm
    }

    /// File that the daemon's log is appended to.
    fn log(&self) -> Result<File> {
        let path = self.site.folder.join(format!("{}.log", self.vm.name));
        let log = File::options().create(true).append(true).open(path);
        log.context("cannot open the log of a daemon")
    }

    /// Path of the settings.
    fn settings_path(&self) -> PathBuf {
        self.site.folder.join(format!("{}.yaml", self.vm.name))
    }

    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// If the settings cannot be written, a placeholder of the template is not known,
    /// or the program cannot be started.
    pub fn start(&mut self) -> Result<()> {
        self.write_settings()?;
        let child = Command::new(&self.site.program)
            .arg("--settings")
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(self.log()?)
            .stderr(self.log()?)
            .spawn()
            .context("the daemon cannot be started")?;
        self.child = Some(child);
        self.is_first = false;
        Ok(())
    }

    /// Writes the settings anew.
    ///
    /// # Errors
    ///
    /// If they cannot be written, or a placeholder of the template is not known.
    pub fn write_settings(&self) -> Result<()> {
        let settings = self.settings()?;
        std::fs::write(self.settings_path(), settings).context("cannot write the settings")
    }

    fn settings(&self) -> Result<String> {
        let (vm, site) = (&self.vm, &self.site);
        let domains = site.domains.iter().map(|(name, _)| format!("\"{name}\""));
        let domains = domains.collect::<Vec<_>>().join(",");
        let values = [
            ("{{node}}", vm.name.to_string()),
            ("{{zone}}", vm.domain.to_owned()),
            ("{{region}}", vm.region.to_owned()),
            ("{{#zones}}\"{{@}}\"{{,}}{{/zones}}", domains),
            ("{{listen.outbound}}", vm.outbound.to_string()),
            ("{{listen.control}}", vm.control.to_string()),
            ("{{listen.ready}}", vm.ready.to_string()),
            ("{{ip}}:{{port-range.0}}", vm.peers.to_string()),
            ("{{ip}}:{{port-range.1}}", vm.admin.to_string()),
            ("{{platform.address}}", site.platform.to_string()),
            ("{{platform.reads-per-s}}", "6000".to_owned()),
            ("{{platform.writes-per-s}}", "1200".to_owned()),
            ("{{service}}", vm.service.to_owned()),
            ("{{app-addr}}", vm.target.to_string()),
            ("{{bounds.strict-revoke}}", "true".to_owned()),
            ("{{bounds.revoke}}", "5000ms".to_owned()),
            ("{{bounds.grace}}", "6s".to_owned()),
            ("{{bounds.retry-budget-ratio}}", "0.2".to_owned()),
            ("{{bounds.budget-slack}}", "120".to_owned()),
            ("{{first-start}}", self.is_first.to_string()),
        ];
        let mut text = site.template.clone();
        for (name, value) in values {
            text = text.replace(name, &value);
        }
        ensure!(!text.contains("{{"), "unknown placeholder in the template");
        Ok(text)
    }

    /// Sends a signal if the process lives.
    pub fn signal(&mut self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        let child = self.child.as_ref();
        let pid = child.and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        if let Some(pid) = pid {
            // The process has not been waited for, so its id is not reused.
            let _ = kill_process(pid, signal);
        }
    }

    /// Id of the process, if it was started and not seen to end.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended or was never started.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = self.child.as_mut() else {
            return true;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return false;
        }
        self.child = None;
        true
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads the template of the deploy file.
///
/// # Errors
///
/// If it cannot be read.
pub fn template(path: &Path) -> Result<String> {
    let template = std::fs::read_to_string(path);
    template.with_context(|| format!("cannot read {}", path.display()))
}
