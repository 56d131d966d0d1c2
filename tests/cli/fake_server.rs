//! A fake of the servers that the command line talks to: scripted answers by method and path.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use serde_json::Value;

/// What the fake does with a call.
#[derive(Debug, Clone)]
pub(crate) enum Response {
    /// Answers with a status and JSON.
    Json(u16, Value),
    /// Answers with headers and text.
    Text(u16, &'static str, &'static str),
    /// Reads the call and closes the connection.
    Close,
    /// Reads the call and stays silent.
    Hang,
}

/// A call that arrived.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    /// Method and path.
    pub(crate) line: String,
    /// The headers in lower case.
    pub(crate) headers: String,
    /// The body as JSON, or null.
    pub(crate) body: Value,
}

/// Answers for calls, in order; the last of a call's answers stays.
type Script = Vec<(&'static str, Vec<Response>)>;

/// The fake.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FakeServer {
    /// Starts on a free port of loopback.
    pub(crate) fn start(script: &[(&'static str, &[Response])]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let script: Script = script.iter().map(|(l, r)| (*l, r.to_vec())).collect();
        let (script, calls) = (Mutex::new(script), Arc::clone(&received));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(stream, &script, &calls);
            }
        });
        Self { address, received }
    }

    /// The address as text.
    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// The calls that arrived.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Method and path of the calls that arrived.
    pub(crate) fn lines(&self) -> Vec<String> {
        self.received().into_iter().map(|s| s.line).collect()
    }
}

fn serve(stream: TcpStream, script: &Mutex<Script>, calls: &Mutex<Vec<Received>>) {
    let call = read(&stream);
    let response = next(&mut script.lock().unwrap(), &call.line);
    calls.lock().unwrap().push(call);
    match response {
        Response::Json(status, value) => {
            let text = value.to_string();
            write(&stream, status, "content-type: application/json\r\n", &text);
        }
        Response::Text(status, headers, text) => write(&stream, status, headers, text),
        Response::Close => {}
        Response::Hang => {
            thread::spawn(move || {
                thread::sleep(Duration::from_secs(5));
                drop(stream);
            });
        }
    }
}

fn next(script: &mut Script, line: &str) -> Response {
    match script.iter_mut().find(|(known, _)| *known == line) {
        Some((_, responses)) if responses.len() > 1 => responses.remove(0),
        Some((_, responses)) => responses[0].clone(),
        None => Response::Text(404, "", "no such path"),
    }
}

fn read(stream: &TcpStream) -> Received {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).unwrap();
    let mut headers = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        headers.push_str(&line.to_lowercase());
    }
    let length = headers
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    Received {
        line: first.trim().trim_end_matches(" HTTP/1.1").to_owned(),
        headers,
        body: serde_json::from_slice(&body).unwrap_or_default(),
    }
}

fn write(mut stream: &TcpStream, status: u16, headers: &str, body: &str) {
    let length = body.len();
    let _ = write!(
        stream,
        "HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
}
