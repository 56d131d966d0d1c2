//! Crowds that send many requests on each connection and read no answer. On failure, the process
//! runs out of memory.

use std::net::SocketAddr;

use super::{
    crowd::Crowd,
    site::{
        self,
        Site, //
    },
};

/// Size of the pieces that the crowds send, in bytes.
const PIECE: usize = 1 << 16;

/// Lets a crowd send, and checks the process and an ordinary job, with the crowd and without it.
fn face(clients: usize, message: &str, to: impl Fn(&Site) -> SocketAddr) {
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
    face(60, &request.repeat(600), |site| site.instance.front);
}

#[test]
fn pipelined_requests_without_a_route() {
    let request = "GET / HTTP/1.1\nhost:h\n\n";
    face(10, &request.repeat(60_000), |site| site.instance.front);
}

#[test]
fn unread_answers_at_the_readiness_address() {
    let request = "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n";
    face(60, &request.repeat(1_000), |site| site.instance.ready);
}
