//! Clients within the limits are served as they were before there were limits.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        TcpStream, //
    },
    time::Duration, //
};

use super::site::{
    self,
    Site, //
};

/// Longest wait for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

const JOB: &str = r#"{"spec":"x","steps":[{"count":1,"cpu":900000}]}"#;

fn connect(site: &Site) -> TcpStream {
    let stream = TcpStream::connect(site.instance.front).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Reads one answer with a body of known length; returns its status line and its body.
fn answer(stream: &mut TcpStream) -> (String, String) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let len = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; len.map_or(0, |text| text.parse().unwrap())];
    stream.read_exact(&mut body).unwrap();
    let status = head.lines().next().unwrap().to_owned();
    (status, String::from_utf8(body).unwrap())
}

fn post(id: u32, header: &str) -> String {
    format!("POST /q/{id:016x} HTTP/1.1\r\nhost: h\r\n{header}\r\n\r\n")
}

fn sized(id: u32) -> String {
    post(id, &format!("content-length: {}", JOB.len())) + JOB
}

/// Guards against a limit that a client within the limits meets: the connection is kept, bodies are
/// taken in each of the forms, pipelined requests are answered in order, and a sender that has closed
/// its side still gets its answer.
#[test]
fn clients_within_the_limits_are_served_as_before() {
    let mut site = Site::start(site::MANY_DESCRIPTORS);
    let mut caller = connect(&site);

    // The connection is kept after a body of known length and one in chunks.
    caller.write_all(sized(0xA1).as_bytes()).unwrap();
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");
    let (first, second) = JOB.split_at(9);
    let chunks = format!(
        "{:x};name=value\r\n{first}\r\n{:X}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    );
    let chunked = post(0xA2, "transfer-encoding: chunked") + &chunks;
    caller.write_all(chunked.as_bytes()).unwrap();
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");

    // A client that waits to be told to go on.
    let head = post(
        0xA3,
        &format!("expect: 100-continue\r\ncontent-length: {}", JOB.len()),
    );
    caller.write_all(head.as_bytes()).unwrap();
    assert_eq!(answer(&mut caller).0, "http/1.1 100 continue");
    caller.write_all(JOB.as_bytes()).unwrap();
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");

    // Pipelined requests of several kinds are answered in order.
    let get = "GET /q/00000000000000a1 HTTP/1.1\r\nhost: h\r\n\r\n";
    let list = "GET /q/ HTTP/1.1\nhost: h\n\n";
    let none = "GET /none HTTP/1.1\r\nhost: h\r\n\r\n";
    let several = [get, &sized(0xA4), &chunked, list, none, get].concat();
    caller.write_all(several.as_bytes()).unwrap();
    let answers: Vec<_> = (0..6).map(|_| answer(&mut caller)).collect();
    let statuses: Vec<&str> = answers.iter().map(|(status, _)| &status[9..12]).collect();
    assert_eq!(statuses, ["200", "200", "200", "200", "404", "200"]);
    assert!(answers[0].1.contains("pending"), "{answers:?}");
    assert!(answers[3].1.contains("waiting"), "{answers:?}");

    // A body without a route does not cost the answer, nor does one that is too large.
    for (path, len, status) in [
        ("/none", JOB.len(), "404"),
        ("/q/00000000000000a5", 300_000, "413"),
    ] {
        let mut other = connect(&site);
        let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {len}\r\n\r\n{JOB}");
        let mut message = head.into_bytes();
        message.resize(message.len() + len - JOB.len(), b' ');
        other.write_all(&message).unwrap();
        assert_eq!(&answer(&mut other).0[9..12], status);
    }

    // A body of the largest size, in pieces.
    let spec = "x".repeat(262_144 - JOB.len() + 1);
    let large = JOB.replacen('x', &spec, 1);
    assert_eq!(large.len(), 262_144);
    let head = post(0xA6, &format!("content-length: {}", large.len()));
    caller.write_all(head.as_bytes()).unwrap();
    for piece in large.as_bytes().chunks(10_000) {
        caller.write_all(piece).unwrap();
    }
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");

    // Headers of the largest size.
    let field = format!("x-padding: {}\r\n", "y".repeat(1_000));
    let head = format!(
        "GET /q/ HTTP/1.1\r\nhost: h\r\n{}\r\n",
        field.repeat(16_200 / field.len())
    );
    caller.write_all(head.as_bytes()).unwrap();
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");

    // A sender that closes its side gets all answers, and then the end of the connection.
    caller
        .write_all([get, &sized(0xA7)].concat().as_bytes())
        .unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");
    assert_eq!(answer(&mut caller).0, "http/1.1 200 ok");
    assert_eq!(caller.read(&mut [0]).unwrap(), 0);
    site.serve_job();
    site.check();
}
