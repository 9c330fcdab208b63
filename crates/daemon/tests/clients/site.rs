//! Two daemons as processes of their own, a target with long responses and the
//! platform's store.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cardamomshed_platform::header;
use cardamomshed_platform::registration::{self, Heartbeat, State};
use cardamomshed_standin::platform::{Capacity, Platform};
use cardamomshed_standin::soak::http::{self, Connection, Message};
use cardamomshed_standin::soak::process::{self, Process, Vm};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Memory that the settings give to each daemon, in bytes.
pub(crate) const MEMORY: usize = 96 * MIB;
/// Descriptors that the settings give to each daemon.
pub(crate) const DESCRIPTORS: usize = 240;
/// Bytes of a mebibyte.
pub(crate) const MIB: usize = 1024 * 1024;

/// Settings that replace those of the deploy file.
const SETTINGS: &str = "\
bodies: 32MiB
memory: 96MiB
descriptors: 240
connections: 60
";
/// Names of the settings that they replace.
const REPLACED: [&str; 4] = ["bodies:", "memory:", "descriptors:", "connections:"];
/// Failure domains with their regions.
const DOMAINS: [(&str, &str); 1] = [("one", "region")];
const HOST: &str = "h.example";
const KEY: &str = "9mbq2xk7pt4wv8zc1ydn";
const SLOTS: u32 = 80;
/// Parts in which the target writes a chunked response, in bytes.
const CHUNK: usize = 64 * 1024;
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Longest wait for an ordinary response.
const LIMIT: Duration = Duration::from_secs(90);
/// Time limit of one ordinary request, and pause after a failed one.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(200);
/// Body length of an ordinary response, in bytes.
const ORDINARY: usize = 200;

/// A daemon of callers, a daemon beside a target, the target and the store.
pub(crate) struct Site {
    pub(crate) daemons: [Process; 2],
    ids: [u32; 2],
    _platform: Platform,
}

impl Site {
    /// Starts all and waits until an ordinary request is answered.
    pub(crate) async fn start(name: &str) -> Self {
        let platform = Platform::start(Capacity::default());
        platform.write("op", "config", &config());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let folder = folder.join(format!("clients-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let template = process::template(&root.join("deploy/settings.yaml"));
        let template = template.expect("the template");
        let kept = template.lines().filter(|line| {
            let mut replaced = REPLACED.iter();
            !replaced.any(|name| line.starts_with(name))
        });
        let kept = kept.collect::<Vec<_>>().join("\n");
        let site = Rc::new(process::Site {
            program: PathBuf::from(env!("CARGO_BIN_EXE_cardamomshed")),
            template: format!("{kept}\n{SETTINGS}"),
            folder,
            platform: platform.address(),
            domains: &DOMAINS,
        });
        let daemons = [("callers", "s-one"), ("target", "s-two")].map(|(name, service)| {
            let vm = Vm::new(name, DOMAINS[0], service);
            let mut daemon = Process::new(vm, Rc::clone(&site));
            daemon.start().expect("the daemon starts");
            daemon
        });
        serve_target(daemons[1].vm()).await;
        let ids = [0, 1].map(|index: usize| daemons[index].id().expect("a process"));
        let site = Self {
            daemons,
            ids,
            _platform: platform,
        };
        site.await_ordinary().await;
        site
    }

    /// Address where callers connect.
    pub(crate) fn callers(&self) -> std::net::SocketAddr {
        self.daemons[0].vm().outbound
    }

    /// Repeats an ordinary request until it is answered.
    pub(crate) async fn await_ordinary(&self) {
        let until = Instant::now() + LIMIT;
        let mut last = String::new();
        while Instant::now() < until {
            let exchange = async {
                let mut connection = Connection::open(self.callers()).await?;
                connection.write(&request(ORDINARY, false)).await?;
                connection.read().await
            };
            match timeout(ATTEMPT_LIMIT, exchange).await {
                Ok(Ok(Message {
                    status: 200, body, ..
                })) if body.len() == ORDINARY => return,
                other => last = format!("{other:?}"),
            }
            sleep(PAUSE).await;
        }
        panic!("no ordinary request was answered: {last}");
    }

    /// Asserts that both processes live and are inside their bounds.
    pub(crate) fn check(&mut self) {
        for (daemon, id) in self.daemons.iter_mut().zip(self.ids) {
            let name = Rc::clone(&daemon.vm().name);
            assert!(!daemon.has_ended(), "the daemon of the {name} ended");
            assert_eq!(daemon.id(), Some(id));
            let [resident, peak] = memory(id);
            assert!(resident <= MEMORY, "{name}: {resident} bytes are resident");
            assert!(peak <= MEMORY, "{name}: up to {peak} bytes were resident");
            let open = std::fs::read_dir(format!("/proc/{id}/fd"));
            let open = open.expect("the descriptors").count();
            assert!(open <= DESCRIPTORS, "{name}: {open} descriptors are open");
        }
    }
}

/// Resident memory of a process and its highest value, in bytes.
fn memory(id: u32) -> [usize; 2] {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status");
    ["VmRSS:", "VmHWM:"].map(|name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kib = line.and_then(|line| line.split_whitespace().next());
        kib.and_then(|kib| kib.parse::<usize>().ok())
            .expect("a size")
            * 1024
    })
}

/// A request whose response has a body of this length, in bytes.
pub(crate) fn request(length: usize, chunked: bool) -> Vec<u8> {
    let id = format!("{:016x}", rand::random::<u64>());
    let authorization = format!("Bearer {KEY}");
    let fields = [
        ("host", HOST),
        (header::ATTEMPT, &*id),
        (header::DEADLINE, "20000"),
        ("authorization", &*authorization),
    ];
    let kind = if chunked { "chunked" } else { "whole" };
    http::request("GET", &format!("/a/{kind}/{length}"), &fields, b"")
}

fn config() -> serde_json::Value {
    json!({
        "version": 1,
        "routes": {
            "r-a": {"host": HOST, "prefix": "/a/", "kind": "idempotent", "timeout": "20s",
                "target-latency": "20s", "priority": 0, "service": "s-two", "max-attempts": 2}
        },
        "services": {"s-two": {"max-connections": 200, "health-path": "/health"}},
        "limits": {"max-body-bytes": 64 * MIB, "max-header-bytes": 16_384},
        "tenants": {"t-1": {"api-keys": [KEY], "rate-per-s": 20_000, "burst": 20_000}}
    })
}

/// Starts the target of a daemon, which runs with the actor system.
async fn serve_target(vm: &Vm) {
    let listener = TcpListener::bind(vm.target).await.expect("a free port");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(Connection::new(stream)));
        }
    });
    let (address, control) = (vm.target, vm.control);
    actix_rt::spawn(async move {
        for sequence in 1.. {
            let heartbeat = registration::encode(&Heartbeat {
                service: "s-two".into(),
                address,
                slots: SLOTS,
                state: State::Ready,
                warmup_left: Duration::ZERO,
                sequence,
                started_ms: 10,
            });
            let fields = [("host", "control"), ("content-type", "application/json")];
            let path = registration::HEARTBEAT_PATH.replace("{instance}", "i-1");
            let request = http::request("POST", &path, &fields, &heartbeat);
            // A heartbeat that fails is followed by the next one.
            if let Ok(mut connection) = Connection::open(control).await
                && connection.write(&request).await.is_ok()
            {
                let _ = timeout(HEARTBEAT, connection.read()).await;
            }
            sleep(HEARTBEAT).await;
        }
    });
}

/// Serves a connection of the target. An error ends it.
async fn serve(mut connection: Connection) {
    while let Ok(request) = connection.read().await {
        let id = request.field(header::ATTEMPT).unwrap_or_default();
        let mut fields = vec![
            (header::ATTEMPT, id),
            (header::INSTANCE, "i-1"),
            (header::SIGNATURE, "3e1b.07"),
            (header::LOAD, "0,0,80"),
        ];
        let length = request.path.rsplit('/').next();
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        let body = Bytes::from(vec![b'x'; length]);
        let written = if request.path.contains("/chunked/") {
            fields.push(("transfer-encoding", "chunked"));
            let head = http::response(200, &fields, b"");
            let head = String::from_utf8_lossy(&head).replace("content-length: 0\r\n", "");
            let mut written = connection.write(head.as_bytes()).await;
            for part in body.chunks(CHUNK) {
                let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
                if written.is_ok() {
                    written = connection.write(&chunk).await;
                }
            }
            written.and(connection.write(b"0\r\n\r\n").await)
        } else {
            connection.write(&http::response(200, &fields, &body)).await
        };
        if written.is_err() {
            return;
        }
    }
}
