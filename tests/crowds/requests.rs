//! Crowds that send many requests on each connection and read no answer. On failure, the process
//! runs out of memory.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration, //
};

use super::{
    crowd::Crowd,
    site::{
        self,
        Site, //
    },
};

/// Size of the pieces that the crowds send, in bytes.
const PIECE: usize = 1 << 16;

/// Pause between two bytes of a slow client.
const TRICKLE_PAUSE: Duration = Duration::from_millis(500);

/// Number of bytes that a slow client sends at most, in more than three times the time for a head.
const TRICKLE: usize = 20;

/// Lets a crowd send, and checks the process and an ordinary job, with the crowd and without it.
fn check_crowd(clients: usize, message: &str, to: impl Fn(&Site) -> SocketAddr) {
    let mut site = Site::start(site::MANY_DESCRIPTORS);
    let mut crowd = Crowd::connect(to(&site), clients, message.as_bytes().to_vec());
    crowd.send(&mut site, PIECE);
    site.check();
    site.serve_job();
    drop(crowd);
    site.serve_job();
    site.check();
}

/// The state of a job that is not known is shown after a delay, in which requests pile up.
#[test]
fn pipelined_requests_at_a_route() {
    let request = "GET /q/00000000000000b1 HTTP/1.1\r\nhost: h\r\n\r\n";
    check_crowd(60, &request.repeat(600), |site| site.instance.front);
}

#[test]
fn pipelined_requests_without_a_route() {
    let request = "GET / HTTP/1.1\nhost:h\n\n";
    check_crowd(10, &request.repeat(60_000), |site| site.instance.front);
}

#[test]
fn unread_answers_at_the_readiness_address() {
    let request = "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n";
    check_crowd(60, &request.repeat(1_000), |site| site.instance.ready);
}

/// A head that begins with the request before must not escape the time for a head: each of its bytes
/// would also begin the idle time-out again, and the connection be held for as long as they come.
#[test]
fn a_head_that_begins_with_the_request_before_is_timed() {
    let mut site = Site::start(site::MANY_DESCRIPTORS);
    let mut stream = TcpStream::connect(site.instance.front).unwrap();
    stream.set_read_timeout(Some(TRICKLE_PAUSE)).unwrap();
    stream
        .write_all(b"GET /q/ HTTP/1.1\r\nhost: h\r\n\r\nGET /q/ HTTP/1.1\r\na:")
        .unwrap();
    let mut buffer = [0; 4_096];
    assert!(
        stream.read(&mut buffer).unwrap() > 0,
        "the first is answered"
    );
    let mut closed = false;
    for _ in 0..TRICKLE {
        closed |= stream.write_all(b"b").is_err();
        closed |= match stream.read(&mut buffer) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        if closed {
            break;
        }
    }
    assert!(closed, "the connection is held");
    site.serve_job();
    site.check();
}
