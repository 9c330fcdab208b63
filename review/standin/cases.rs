//! The cases. Each starts a small deployment, disturbs it and checks one rule by
//! what clients and upstreams saw.

mod departure;
mod rejection;
mod resume;
mod revocation;
mod shutdown;
mod split;

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{self, Connection, Message};
use crate::{Setting, Verdict};

pub fn run(case: &str, setting: &Setting) -> Verdict {
    match case {
        "departure" => departure::run(setting),
        "rejection" => rejection::run(setting),
        "revocation" => revocation::run(setting),
        "resume" => resume::run(setting),
        "shutdown" => shutdown::run(setting),
        "split" => split::run(setting),
        other => Verdict::NotRun(format!("no case {other}")),
    }
}

pub const HOST: &str = "hulo84.example";
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";
pub const OTHER_KEY: &str = "8pjbvk9m68k7b2ex5wa5";

/// A route of the desired state, to one service.
pub fn route(name: &str, kind: &str, service: &str, timeout: &str) -> String {
    format!(
        "\"r-{name}\":{{\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout\":\"{timeout}\",\"target-latency\":\"1500ms\",\"priority\":0,\
         \"service\":\"{service}\",\"max-attempts\":2,\"public\":false}}"
    )
}

/// A desired state with one tenant without an allotment.
pub fn desired_state(version: u64, routes: &[String], services: &[&str], keys: &[&str]) -> String {
    limited_state(version, routes, services, keys, 0)
}

/// A desired state with one tenant, whose allotment is `rate` requests a second and
/// as many at once; none if it is zero.
pub fn limited_state(
    version: u64,
    routes: &[String],
    services: &[&str],
    keys: &[&str],
    rate: u32,
) -> String {
    let services = services.iter().map(|name| {
        format!("\"{name}\":{{\"health-path\":\"/health\",\"max-connections\":424,\"protocol\":\"h1\",\"tls\":false}}")
    });
    let keys = keys.iter().map(|key| format!("\"{key}\""));
    format!(
        "{{\"version\":{version},\"routes\":{{{}}},\"services\":{{{}}},\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}},\
         \"tenants\":{{\"pulo780\":{{\"api-keys\":[{}],\"priority\":1,\"rate-per-s\":{rate},\"burst\":{rate}}}}},\
         \"base-version\":{}}}",
        routes.join(","),
        services.collect::<Vec<_>>().join(","),
        keys.collect::<Vec<_>>().join(","),
        version - 1
    )
}

/// Bytes of a client's request.
pub fn client_request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline: Duration,
    body: &[u8],
) -> Vec<u8> {
    let deadline = deadline.as_millis().to_string();
    let authorization = format!("Bearer {key}");
    let fields = [
        ("host", HOST),
        ("x-attempt-id", id),
        ("x-deadline-ms", &*deadline),
        ("authorization", &*authorization),
    ];
    http::request(method, path, &fields, body)
}

/// A client that keeps its connection while that works.
pub struct Client {
    to: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            connection: None,
        }
    }

    /// Sends a request and waits for the answer until shortly after the deadline.
    pub fn send(&mut self, request: &[u8], deadline: Duration) -> std::io::Result<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::connect(self.to)?,
        };
        let answer = connection.exchange(request, deadline + Duration::from_millis(500))?;
        let closes = answer
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.connection = Some(connection);
        }
        Ok(answer)
    }
}

/// Sends requests until one is answered 200, for 10 s at most.
pub fn await_served(to: SocketAddr, method: &str, path: &str, key: &str) -> bool {
    let deadline = Duration::from_secs(2);
    for attempt in 0..50 {
        let id = format!("warm-{attempt}-{}", to.port());
        let request = client_request(method, path, &id, key, deadline, b"");
        let answer = Client::new(to).send(&request, deadline);
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}
