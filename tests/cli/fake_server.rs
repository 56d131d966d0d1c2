//! Fake HTTP server with scripted responses by method and path.

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

/// Scripted reaction to a request.
#[derive(Debug, Clone)]
pub(crate) enum Response {
    /// Responds with a status and JSON.
    Json(u16, Value),
    /// Responds with a status, headers and text.
    Text(u16, &'static str, &'static str),
    /// Reads the request and closes the connection without a response.
    Close,
    /// Reads the request and sends no response for 5 s.
    Hang,
}

/// A request that the server received.
#[derive(Debug, Clone)]
pub(crate) struct Received {
    /// Method and path of the request.
    pub(crate) line: String,
    /// Headers of the request in lower case.
    pub(crate) headers: String,
    /// Body of the request as JSON, or null.
    pub(crate) body: Value,
}

/// Responses by method and path, in order; the last response of each is repeated.
type Script = Vec<(&'static str, Vec<Response>)>;

/// Fake HTTP server that handles one request per connection.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FakeServer {
    /// Starts the server on a free port of the loopback interface.
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

    /// Returns the address as text.
    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Returns the received requests.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Returns method and path of the received requests.
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
