//! The platform's metadata store: rows, their feed, and the era of the drill.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Value, base64, quote};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// A table and a key.
type Place = (String, String);

#[derive(Clone, Default)]
struct Contents {
    /// Version and value by place.
    rows: BTreeMap<Place, (u64, String)>,
    /// Changes in order; `None` for a removed row.
    history: Vec<(u64, Place, Option<String>)>,
    version: u64,
}

struct State {
    contents: Contents,
    era: u64,
    /// Whether every call gets 503 and does nothing.
    down: bool,
}

/// The rows at one moment.
pub struct Copy(Contents);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("a free address for the store");
        let store = Self {
            address,
            state: Arc::new(Mutex::new(State {
                contents: Contents::default(),
                era: 1,
                down: false,
            })),
            started: Instant::now(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Has the store answer 503 to every call, which does nothing, or serve again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// A write by the operator.
    pub fn write(&self, table: &str, key: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        let place = (table.to_owned(), key.to_owned());
        state.contents.version += 1;
        state.contents.put(place, Some(base64(text.as_bytes())));
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().contents.clone())
    }

    /// Comes back from a copy: versions go back, and the era rises by one.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.contents = copy.0;
        state.era += 1;
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.contents.rows.keys();
        keys.filter(|(known, _)| known == table)
            .map(|(_, key)| key.clone())
            .collect()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(message) = connection.read(None) {
            thread::sleep(ANSWER);
            let (status, body, era) = self.answer(&message);
            let era = era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            let start = format!("HTTP/1.1 {status} x");
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, message: &Message) -> (u16, String, u64) {
        let (method, target) = message.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameters = query.split('&').filter_map(|pair| pair.split_once('='));
        let parameters = parameters
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect::<BTreeMap<_, _>>();
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait-ms"));
        loop {
            let mut state = self.state.lock().unwrap();
            let era = state.era;
            if state.down {
                return (503, String::new(), era);
            }
            match (method, path) {
                ("GET", "/rows-get") => {
                    return (200, self.range(&state.contents, &parameters), era);
                }
                ("GET", "/rows-feed") => {
                    let after = number("after");
                    if after > state.contents.version {
                        return (410, String::new(), era);
                    }
                    let table = text("table");
                    let changes = state.contents.history.iter();
                    let changes = changes
                        .filter(|(version, place, _)| *version > after && place.0 == table)
                        .map(|(version, place, value)| row(*version, place, value.as_deref()))
                        .collect::<Vec<_>>();
                    if !changes.is_empty() || Instant::now() >= until {
                        return (200, self.rows(&state.contents, &changes, ""), era);
                    }
                }
                ("POST", "/rows-tx") => {
                    let Some(call) = json::parse(&message.body) else {
                        return (400, String::new(), era);
                    };
                    let (status, body) = self.transact(&mut state.contents, &call);
                    return (status, body, era);
                }
                _ => return (404, String::new(), era),
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn range(&self, contents: &Contents, parameters: &BTreeMap<String, String>) -> String {
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse::<usize>().unwrap_or(500).min(500);
        let first = (text("table"), text("from"));
        let end = text("target");
        let rows = contents.rows.range(first.clone()..);
        let rows = rows
            .take_while(|((table, key), _)| *table == first.0 && (end.is_empty() || *key < end))
            .map(|(place, (version, value))| row(*version, place, Some(value)))
            .collect::<Vec<_>>();
        let more = rows.len() > limit;
        let page = &rows[..rows.len().min(limit)];
        self.rows(contents, page, &format!("\"has-more\":{more},"))
    }

    fn rows(&self, contents: &Contents, rows: &[String], more: &str) -> String {
        let now = self.started.elapsed().as_millis();
        let (rows, version) = (rows.join(","), contents.version);
        format!("{{\"rows\":[{rows}],{more}\"ver\":{version},\"now\":\"{now}ms\"}}")
    }

    fn transact(&self, contents: &mut Contents, call: &Value) -> (u16, String) {
        let place = |entry: &Value| (entry.text("table"), entry.text("key"));
        let held = |contents: &Contents, place: &Place| {
            let found = contents.rows.get(place);
            found.map_or(0, |(version, _)| *version)
        };
        let conditions = call.list("precondition");
        if !conditions
            .iter()
            .all(|entry| held(contents, &place(entry)) == entry.number("ver"))
        {
            let current = conditions.iter().filter_map(|entry| {
                let place = place(entry);
                let (version, value) = contents.rows.get(&place)?;
                Some(row(*version, &place, Some(value)))
            });
            let current = current.collect::<Vec<_>>();
            return (412, self.rows(contents, &current, ""));
        }
        let mutations = call.list("writes").iter().chain(call.list("remove"));
        if mutations
            .clone()
            .any(|entry| ["op", "servers"].contains(&&*entry.text("table")))
        {
            return (403, String::new());
        }
        contents.version += 1;
        for entry in call.list("writes") {
            contents.put(place(entry), Some(entry.text("value")));
        }
        for entry in call.list("remove") {
            contents.put(place(entry), None);
        }
        (200, self.rows(contents, &[], ""))
    }
}

impl Contents {
    fn put(&mut self, place: Place, value: Option<String>) {
        match &value {
            Some(text) => self
                .rows
                .insert(place.clone(), (self.version, text.clone())),
            None => self.rows.remove(&place),
        };
        self.history.push((self.version, place, value));
    }
}

fn row(version: u64, (table, key): &Place, value: Option<&str>) -> String {
    let (table, key) = (quote(table), quote(key));
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"value\":\"\",\"removed\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},{value},\"ver\":{version}}}")
}

/// Decodes a part of a query.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        rest = others;
        let digits = others
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &others[2..];
            }
            (b'+', _) => bytes.push(b' '),
            (byte, _) => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
