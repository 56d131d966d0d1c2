//! A server that gives prepared responses, whatever it is asked.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use bamboolock::remote::link::Link;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

/// Timeout of one exchange.
pub(super) const LIMIT: Duration = Duration::from_secs(5);

/// Number of levels of a deeply nested value: within the size of one record of the store.
const LEVELS: usize = 100_000;

/// Returns JSON text of a deeply nested array.
pub(super) fn nested() -> String {
    "[".repeat(LEVELS) + &"]".repeat(LEVELS)
}

/// Request lines that a server has received.
pub(super) type Received = Rc<RefCell<Vec<String>>>;

/// Starts a server that responds with `bodies` in turn, and with the last one from then on.
pub(super) async fn start(status: u16, bodies: Vec<Vec<u8>>) -> (Link, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Received::default();
    let lines = received.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            while let Some(line) = read_request(&mut stream).await {
                let n = lines.borrow().len();
                lines.borrow_mut().push(line);
                let body = &bodies[n.min(bodies.len() - 1)];
                let head = format!(
                    "HTTP/1.1 {status} -\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.write_all(body).await.unwrap();
            }
        }
    });
    let link = Link::new(&address.to_string(), &"a".parse().unwrap(), LIMIT);
    (link, received)
}

/// Reads a request; returns its first line, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    loop {
        let mut chunk = [0; 4_096];
        let len = stream.read(&mut chunk).await.ok()?;
        if len == 0 {
            return None;
        }
        request.extend(&chunk[..len]);
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.lines().find_map(|l| {
            let (name, value) = l.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.parse::<usize>().unwrap())
        });
        if body.len() >= length.unwrap_or(0) {
            return head.lines().next().map(str::to_owned);
        }
    }
}
