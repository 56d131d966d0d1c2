//! A small JSON reader; the stand-ins write JSON by formatting.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        skip(text, &mut at);
        (at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(n) => Some(*n as u64),
            _ => None,
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip(text, at);
                if *text.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if *text.get(*at)? == b',' {
                    *at += 1;
                    skip(text, at);
                }
                let name = string(text, at)?;
                skip(text, at);
                if *text.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.insert(name, value(text, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(string(text, at)?)),
        b't' => word(text, at, "true", Json::Bool(true)),
        b'f' => word(text, at, "false", Json::Bool(false)),
        b'n' => word(text, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < text.len()
                && matches!(text[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[from..*at]).ok()?;
            Some(Json::Number(number.parse().ok()?))
        }
    }
}

fn word(text: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    text[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                let plain = match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    b'b' => 8,
                    b'f' => 12,
                    b'u' => {
                        let code = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *at += 4;
                        let mut buffer = [0; 4];
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        continue;
                    }
                    other => other,
                };
                out.push(plain);
            }
            other => out.push(other),
        }
    }
}

/// Encodes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
