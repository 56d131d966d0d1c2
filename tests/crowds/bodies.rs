//! Crowds of bodies that are large, unfinished or expensive to decode. On failure, the process runs
//! out of memory.

use std::net::SocketAddr;

use super::{
    crowd::Crowd,
    site::{
        self,
        Site, //
    },
};

/// Number of clients of a crowd.
const CLIENTS: usize = 300;

/// Size of a body, in bytes: almost the largest that is permitted.
const BODY: usize = 262_100;

/// Number of bytes that are missing at the end of a body.
const MISSING: usize = 100;

/// Size of the pieces of a crowd that sends in one go, in bytes.
const LARGE: usize = 1 << 20;

/// Size of small pieces, in bytes.
const SMALL: usize = 4_096;

/// Path of a job, at a route.
const ROUTE: &str = "/q/00000000000000b0";

/// Path without a route.
const NOWHERE: &str = "/none/00000000000000b0";

fn head(path: &str, header: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nhost: h\r\n{header}\r\n\r\n").into_bytes()
}

/// A request whose body lacks its end.
fn unfinished(path: &str) -> Vec<u8> {
    let mut message = head(path, &format!("content-length: {BODY}"));
    message.extend_from_slice(b"{\"spec\":\"");
    let len = message.len() + BODY - MISSING;
    message.resize(len, b'x');
    message
}

/// Lets a crowd send, and checks the process and an ordinary job, with the crowd and without it.
fn check_crowd(clients: usize, piece: usize, message: Vec<u8>, to: impl Fn(&Site) -> SocketAddr) {
    let mut site = Site::start(site::MANY_DESCRIPTORS);
    let mut crowd = Crowd::connect(to(&site), clients, message);
    crowd.send(&mut site, piece);
    site.check();
    site.serve_job();
    drop(crowd);
    site.serve_job();
    site.check();
}

#[test]
fn stalled_bodies_at_a_route() {
    check_crowd(CLIENTS, LARGE, unfinished(ROUTE), |site| {
        site.instance.front
    });
}

#[test]
fn stalled_bodies_in_pieces_without_a_route() {
    check_crowd(CLIENTS, SMALL, unfinished(NOWHERE), |site| {
        site.instance.front
    });
}

#[test]
fn stalled_bodies_at_the_readiness_address() {
    check_crowd(CLIENTS, LARGE, unfinished("/bamboolock/ready"), |site| {
        site.instance.ready
    });
}

#[test]
fn stalled_bodies_at_the_instances_address() {
    check_crowd(CLIENTS, LARGE, unfinished("/ask"), |site| {
        site.instance.peer
    });
}

#[test]
fn stalled_bodies_in_chunks() {
    let mut message = head(ROUTE, "transfer-encoding: chunked");
    for _ in 0..BODY / 1_000 {
        message.extend_from_slice(b"3e8\r\n");
        message.resize(message.len() + 1_000, b' ');
        message.extend_from_slice(b"\r\n");
    }
    check_crowd(CLIENTS, SMALL, message, |site| site.instance.front);
}

/// The HTTP library keeps an entry for each chunk, which is larger than the chunk.
#[test]
fn stalled_bodies_in_chunks_of_one_byte() {
    let mut message = head(ROUTE, "transfer-encoding: chunked");
    for _ in 0..17_000 {
        message.extend_from_slice(b"1\r\n \r\n");
    }
    check_crowd(CLIENTS, LARGE, message, |site| site.instance.front);
}

#[test]
fn oversized_bodies() {
    let mut message = head(ROUTE, "content-length: 50000000");
    message.resize(message.len() + 400_000, b' ');
    check_crowd(CLIENTS, LARGE, message, |site| site.instance.front);
}

#[test]
fn bodies_of_many_short_fields() {
    let fields = "\"aa\":[],".repeat(32_000);
    let body = format!("{{\"steps\":[{{{fields}\"count\":1,\"cpu\":900000}}]}}");
    let mut message = head(ROUTE, &format!("content-length: {}", body.len()));
    message.extend_from_slice(body.as_bytes());
    check_crowd(CLIENTS, LARGE, message, |site| site.instance.front);
}
