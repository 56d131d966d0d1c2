//! A small JSON reader and writer.

/// A JSON value. Objects keep the order of their fields.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        skip(text, &mut at);
        (at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Json::Number(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn accept(text: &[u8], at: &mut usize, byte: u8) -> bool {
    skip(text, at);
    let found = text.get(*at) == Some(&byte);
    *at += usize::from(found);
    found
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            if accept(text, at, b'}') {
                return Some(Json::Object(fields));
            }
            loop {
                skip(text, at);
                let name = string(text, at)?;
                if !accept(text, at, b':') {
                    return None;
                }
                fields.push((name, value(text, at)?));
                if accept(text, at, b'}') {
                    return Some(Json::Object(fields));
                }
                if !accept(text, at, b',') {
                    return None;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            if accept(text, at, b']') {
                return Some(Json::List(items));
            }
            loop {
                items.push(value(text, at)?);
                if accept(text, at, b']') {
                    return Some(Json::List(items));
                }
                if !accept(text, at, b',') {
                    return None;
                }
            }
        }
        b'"' => string(text, at).map(Json::Text),
        b't' => word(text, at, b"true", Json::Bool(true)),
        b'f' => word(text, at, b"false", Json::Bool(false)),
        b'n' => word(text, at, b"null", Json::Null),
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[from..*at]).ok()?;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn word(text: &[u8], at: &mut usize, word: &[u8], value: Json) -> Option<Json> {
    let found = text[*at..].starts_with(word);
    *at += word.len();
    found.then_some(value)
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if text.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *text.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = text.get(*at + 1..*at + 5)?;
                        let digits = std::str::from_utf8(digits).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('\u{fffd}');
                        out.extend(c.to_string().bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
                *at += 1;
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}
