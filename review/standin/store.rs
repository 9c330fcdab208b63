//! Stand-in of the platform's metadata store: rows, transactions and the feed.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::{Json, base64};

/// Time of an answer, as the site files state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Option<Row>>,
    version: u64,
    /// Whether feeds hear nothing, while other requests are served.
    quiet: bool,
    /// Whether the store is silent: requests are read and never answered, and
    /// nothing is done.
    silent: bool,
}

/// A store that serves until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes the operator's row and returns once it is confirmed.
    pub fn configure(&self, config: &str) {
        let mut state = self.state.lock().unwrap();
        write(&mut state, config);
    }

    pub fn set_quiet(&self, quiet: bool) {
        self.state.lock().unwrap().quiet = quiet;
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.lock().unwrap().silent = silent;
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            if self.is_silent() {
                return self.hold();
            }
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            // An answer that was ready as the store went silent is not sent.
            if self.is_silent() {
                return self.hold();
            }
            let fields = [("content-type", "application/json")];
            let bytes = http::response(status, &fields, body.as_bytes());
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().silent
    }

    /// Keeps a connection open without an answer until the store is back.
    fn hold(&self) {
        while self.is_silent() {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|part| part.split_once('='));
        let query = query
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect::<BTreeMap<_, _>>();
        let parameter = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-get" => {
                let state = self.state.lock().unwrap();
                let (table, from) = (parameter("table"), parameter("from"));
                let limit = parameter("limit").parse().unwrap_or(500);
                let rows = state.rows.iter().filter(|((name, key), row)| {
                    *name == table
                        && *key >= from
                        && row.as_ref().is_some_and(|row| row.version > 0)
                });
                let rows =
                    rows.filter(|(_, row)| row.as_ref().is_some_and(|row| !row.value.is_empty()));
                let rows = rows.map(render).collect::<Vec<_>>();
                let more = rows.len() > limit;
                let rows = rows.into_iter().take(limit).collect::<Vec<_>>();
                (200, page(&rows, more, state.version))
            }
            "/rows-feed" => {
                let after = parameter("after").parse::<u64>().unwrap_or(0);
                let wait = parameter("wait-ms").parse::<u64>().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let state = self.state.lock().unwrap();
                    let table = parameter("table");
                    let changed = state.rows.iter().filter(|((name, _), row)| {
                        *name == table && row.as_ref().is_some_and(|row| row.version > after)
                    });
                    let mut changed = changed.collect::<Vec<_>>();
                    let is_due = !changed.is_empty() || Instant::now() >= until;
                    if is_due && !state.quiet || state.silent {
                        changed.sort_by_key(|(_, row)| row.as_ref().map_or(0, |row| row.version));
                        let rows = changed.into_iter().map(render).collect::<Vec<_>>();
                        return (200, page(&rows, false, state.version));
                    }
                    drop(state);
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            "/rows-tx" => {
                let Some(body) = Json::parse(&request.body) else {
                    return (400, "{}".to_owned());
                };
                self.transact(&body)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let key = |entry: &Json| (entry.text("table").to_owned(), entry.text("key").to_owned());
        let current = |state: &State, entry: &Json| {
            let row = state.rows.get(&key(entry)).cloned().flatten();
            row.filter(|row| !row.value.is_empty())
        };
        for entry in body.list("precondition") {
            let found = current(&state, entry).map_or(0, |row| row.version);
            if found != entry.number("ver") {
                let rows = body.list("precondition").iter().filter_map(|entry| {
                    let row = current(&state, entry)?;
                    Some(render((&key(entry), &Some(row))))
                });
                let rows = rows.collect::<Vec<_>>();
                return (412, page(&rows, false, state.version));
            }
        }
        state.version += 1;
        let version = state.version;
        for entry in body.list("writes") {
            let value = entry.text("value").to_owned();
            state.rows.insert(key(entry), Some(Row { value, version }));
        }
        for entry in body.list("remove") {
            let value = String::new();
            state.rows.insert(key(entry), Some(Row { value, version }));
        }
        (200, page(&[], false, version))
    }
}

fn write(state: &mut State, config: &str) {
    state.version += 1;
    let row = Row {
        value: base64(config.as_bytes()),
        version: state.version,
    };
    let key = ("op".to_owned(), "config".to_owned());
    state.rows.insert(key, Some(row));
}

fn render(((table, key), row): (&(String, String), &Option<Row>)) -> String {
    let (value, version) = row
        .as_ref()
        .map_or(("", 0), |row| (&*row.value, row.version));
    let removed = if value.is_empty() {
        ",\"removed\":true"
    } else {
        ""
    };
    let text = |text: &str| Json::Text(text.to_owned());
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"value\":\"{value}\",\"ver\":{version}{removed}}}",
        text(table),
        text(key)
    )
}

fn page(rows: &[String], more: bool, version: u64) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"has-more\":{more},\"ver\":{version},\"now\":\"1ms\"}}")
}

/// Decodes a query parameter.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
