//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client that
//! opens a connection for each request.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        Self {
            status,
            body: body.into_bytes(),
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let len = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk).ok()?;
            if len == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

type Handler = dyn Fn(Request) -> Option<Response> + Send + Sync;

/// Serves connections until the process ends. No response and the end of the connection follow if the
/// handler returns `None`.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let handler = handler.clone();
        let builder = std::thread::Builder::new().stack_size(256 << 10);
        let _ = builder.spawn(move || connection(stream, &*handler));
    }
}

fn connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let (_method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(k, v)| (decode(k), decode(v))).collect();
        let body = read_body(&mut reader, &headers)?;
        let request = Request {
            path: path.to_owned(),
            query,
            headers,
            body,
        };
        let response = handler(request)?;
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(&response.body);
        writer.write_all(&message).ok()?;
    }
}

/// What a client has seen of a request.
#[derive(Debug, Clone)]
pub struct Seen {
    pub status: u16,
    pub retry_after: Option<u64>,
    pub body: Vec<u8>,
}

/// Sends a request; `None` without a complete response within `limit`.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Option<Seen> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut message = format!("{method} {target} HTTP/1.1\r\nconnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        message.push_str(&format!("host: {to}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        message.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    (Instant::now() <= until).then(|| Seen {
        status,
        retry_after: headers.get("retry-after").and_then(|v| v.parse().ok()),
        body,
    })
}
