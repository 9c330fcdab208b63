//! A small JSON reader and the base64 encoder that the store's rows need.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Value::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(Value::List(list)) => list,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut reader = Reader { bytes, at: 0 };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Value::Table(table));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    self.take(b':')?;
                    table.insert(key, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Value::Table(table));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Value::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Value::List(list));
                    }
                }
            }
            b'"' => Some(Value::Text(self.string()?)),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| !b",]} \r\n\t".contains(byte))
                {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Value::Null),
                    "true" => Some(Value::Bool(true)),
                    "false" => Some(Value::Bool(false)),
                    number => number.parse().ok().map(Value::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let symbol = char::from_u32(code.ok()?)?;
                            text.extend(symbol.to_string().bytes());
                            self.at += 4;
                        }
                        other => text.push(other),
                    }
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

/// Quotes a text for JSON. The texts of the stand-ins hold no control characters.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = part.iter().enumerate().fold(0u32, |sum, (index, byte)| {
            sum | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            if index <= part.len() {
                let digit = group >> (18 - 6 * index) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
