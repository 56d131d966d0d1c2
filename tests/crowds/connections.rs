//! Crowds that hold connections: silent ones, unfinished heads and bodies that trickle. On failure,
//! the process runs out of descriptors.

use std::{
    net::SocketAddr,
    thread,
    time::Duration, //
};

use super::{
    crowd::Crowd,
    site::{
        self,
        Site, //
    },
};

/// Number of clients of a crowd.
const CLIENTS: usize = 600;

/// Number of bytes that each client of a slow crowd sends, one at a time.
const TRICKLE: usize = 10;

/// Pause between two bytes of a slow client.
const TRICKLE_PAUSE: Duration = Duration::from_millis(150);

/// Lets a crowd send, the last bytes slowly, and checks the process and an ordinary job, with the
/// crowd and without it.
fn check_crowd(message: Vec<u8>, to: impl Fn(&Site) -> SocketAddr) {
    let mut site = Site::start(site::FEW_DESCRIPTORS);
    let at_once = message.len().saturating_sub(TRICKLE);
    let mut crowd = Crowd::connect(to(&site), CLIENTS, message);
    site.sample();
    crowd.send_piece(at_once);
    for _ in 0..TRICKLE {
        crowd.send_piece(1);
        site.sample();
        thread::sleep(TRICKLE_PAUSE);
    }
    site.check();
    site.serve_job();
    drop(crowd);
    site.serve_job();
    site.check();
}

#[test]
fn silent_connections() {
    check_crowd(Vec::new(), |site| site.instance.front);
}

#[test]
fn silent_connections_at_the_readiness_address() {
    check_crowd(Vec::new(), |site| site.instance.ready);
}

/// The head is legal in size and has many short fields.
#[test]
fn unfinished_heads() {
    let fields = "a:b\r\n".repeat(90);
    let head = format!("GET /q/ HTTP/1.1\r\nhost: h\r\n{fields}");
    check_crowd(head.into_bytes(), |site| site.instance.front);
}

#[test]
fn bodies_that_trickle() {
    let mut message =
        b"POST /q/00000000000000b2 HTTP/1.1\r\nhost: h\r\ncontent-length: 9000\r\n\r\n".to_vec();
    message.resize(message.len() + 1_000, b' ');
    check_crowd(message, |site| site.instance.front);
}

/// The end of the body, as the length of the message says, is not the end of an upgraded connection.
/// A request of which a part is still expected must not count as complete: its connection would never
/// make room for another one, and would outlast its client.
#[test]
fn upgrades_with_a_body() {
    let message = b"POST /q/00000000000000b3 HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n\
        upgrade: websocket\r\ncontent-length: 20\r\n\r\n01234567890123456789";
    check_crowd(message.to_vec(), |site| site.instance.front);
}

/// The line after the last chunk lacks its carriage return, so that the HTTP library expects a
/// further line. See [`upgrades_with_a_body`].
#[test]
fn bodies_whose_last_line_is_malformed() {
    let message = b"POST /q/00000000000000b4 HTTP/1.1\r\nhost: h\r\n\
        transfer-encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\n\n";
    check_crowd(message.to_vec(), |site| site.instance.front);
}
