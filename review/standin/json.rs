//! A small JSON reader and writer, enough for the messages of the store.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.text.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.push((key, self.value()?));
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Table(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.text.get(self.at).is_some_and(part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex = std::str::from_utf8(self.text.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(hex.ok()?, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code)?;
                            bytes.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(value) => write!(out, "{value}"),
            Json::Text(text) => write!(out, "\"{}\"", escape(text)),
            Json::List(list) => {
                write!(out, "[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(out, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Table(fields) => {
                write!(out, "{{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(out, "{comma}\"{}\":{value}", escape(key))?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(LETTERS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
