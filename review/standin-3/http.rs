//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client for one exchange.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body. `None` closes the connection without an answer.
pub type Answer = Option<(u16, Vec<u8>)>;

type Handler = dyn Fn(Request) -> Answer + Send + Sync;

/// Listener that can go down, with all its connections, and come up again at the same address.
pub struct Server {
    pub address: SocketAddr,
    up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(handler: Arc<Handler>) -> std::io::Result<Arc<Server>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Server {
            address: listener.local_addr()?,
            up: AtomicBool::new(true),
            streams: Mutex::new(Vec::new()),
        });
        let shared = server.clone();
        thread::spawn(move || shared.run(listener, handler));
        Ok(server)
    }

    /// Goes down, as when the process at the address ends, or comes up again.
    pub fn set_up(&self, up: bool) {
        self.up.store(up, Ordering::SeqCst);
        if !up {
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    fn run(self: Arc<Self>, listener: TcpListener, handler: Arc<Handler>) {
        let mut listener = Some(listener);
        loop {
            if !self.up.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                let mut streams = self.streams.lock().unwrap();
                if streams.len() > 400 {
                    streams.retain(|s| s.peer_addr().is_ok());
                }
                streams.push(copy);
            }
            let handler = handler.clone();
            let server = self.clone();
            thread::spawn(move || server.serve(stream, &*handler));
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(request) = read_request(&mut input) {
            let Some((status, body)) = handler(request) else {
                break;
            };
            if !self.up.load(Ordering::SeqCst) {
                break;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            let mut message = head.into_bytes();
            message.extend(body);
            if out.write_all(&message).is_err() {
                break;
            }
        }
        let _ = out.shutdown(std::net::Shutdown::Both);
    }
}

fn read_request(input: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let target = line.split(' ').nth(1)?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|len| *len > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, text) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), text.trim().to_owned());
    }
    let len = headers.get("content-length").map_or(Ok(0), |text| text.parse());
    let mut body = vec![0; len.ok()?];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|part| part.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
        headers,
        body,
    })
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
pub fn exchange(
    to: SocketAddr,
    (method, path): (&str, &str),
    host: &str,
    body: &[u8],
    limit: Duration,
) -> Option<(u16, String)> {
    let began = std::time::Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let deadline = limit.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Deadline-Ms: {deadline}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut answer = Vec::new();
    let mut part = [0; 4096];
    loop {
        let left = limit.checked_sub(began.elapsed()).filter(|d| !d.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(len) => answer.extend_from_slice(&part[..len]),
            Err(_) => return None,
        }
        if let Some(done) = complete(&answer) {
            return Some(done);
        }
    }
    complete(&answer)
}

fn complete(answer: &[u8]) -> Option<(u16, String)> {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut lines = head.lines();
    let len = lines.find_map(|line| {
        let (name, text) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| text.trim().parse::<usize>().ok())?
    })?;
    (body.len() >= len).then(|| (status, body[..len].to_owned()))
}
