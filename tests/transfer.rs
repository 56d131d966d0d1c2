//! Large responses on slow paths, and connections that are closed once they are idle.

#![expect(clippy::unwrap_used, reason = "a panic in a helper fails the test")]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use awc::http::Method;
use bamboolock::remote::{
    link::{
        Error,
        Link,
        Request,
        Response, //
    },
    uplink::Kind, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time, //
};

/// Limit of each exchange: less than a whole response takes, more than each part of it.
const LIMIT: Duration = Duration::from_millis(400);

/// Pause between two parts of a response.
const PAUSE: Duration = Duration::from_millis(100);

/// Serves responses of ten parts, of which `parts` are sent; returns the address, and the number of
/// closed connections by a channel.
async fn serve(parts: usize) -> (SocketAddr, tokio::sync::watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, closings) = tokio::sync::watch::channel(0);
    actix::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed = closed.clone();
            actix::spawn(async move {
                let mut buffer = [0; 4_096];
                while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n";
                    stream.write_all(head).await.unwrap();
                    for _ in 0..parts {
                        time::sleep(PAUSE).await;
                        stream.write_all(&[b'x'; 1_000]).await.unwrap();
                    }
                }
                closed.send_modify(|count| *count += 1);
            });
        }
    });
    (address, closings)
}

async fn fetch(link: &Link, kind: Kind) -> Result<Response, Error> {
    let request = Request {
        kind,
        method: Method::GET,
        path: "/",
        headers: &[],
        body: bytes::Bytes::new(),
    };
    link.call(request, LIMIT).await
}

#[actix::test]
async fn a_large_response_that_keeps_arriving_is_read_to_its_end() {
    let (address, _) = serve(10).await;
    let link = Link::new(&address.to_string(), &"a".parse().unwrap(), LIMIT);
    let response = fetch(&link, Kind::Read).await.unwrap();
    assert_eq!(response.body.len(), 10_000);
    assert_eq!(link.receiving(), 0);
}

#[actix::test]
async fn a_large_response_that_stops_arriving_is_given_up() {
    let (address, _) = serve(3).await;
    let link = Link::new(&address.to_string(), &"a".parse().unwrap(), LIMIT);
    let began = time::Instant::now();
    assert_eq!(fetch(&link, Kind::Read).await, Err(Error::NoResponse));
    assert!(began.elapsed() < PAUSE * 4 + LIMIT * 2);
}

#[actix::test]
async fn other_responses_must_be_complete_in_time() {
    let (address, _) = serve(10).await;
    let link = Link::new(&address.to_string(), &"a".parse().unwrap(), LIMIT);
    assert_eq!(fetch(&link, Kind::Report).await, Err(Error::NoResponse));
}

#[actix::test]
async fn connections_are_closed_only_once_they_are_idle() {
    let (address, mut closings) = serve(10).await;
    let link = Link::new(
        &address.to_string(),
        &"a".parse().unwrap(),
        Duration::from_secs(60),
    );
    assert!(!link.is_open());
    {
        let exchange = fetch(&link, Kind::Read);
        let closing = async {
            time::sleep(PAUSE * 3).await;
            assert!(link.is_open());
            link.close_idle(Duration::ZERO);
        };
        let (response, ()) = futures_util::future::join(exchange, closing).await;
        assert_eq!(response.unwrap().body.len(), 10_000);
    }
    link.close_idle(Duration::from_secs(60));
    assert!(link.is_open(), "it was used a moment ago");
    link.close_idle(Duration::ZERO);
    assert!(!link.is_open());
    let closed = time::timeout(LIMIT, closings.wait_for(|count| *count == 1)).await;
    assert!(closed.is_ok(), "the server sees the connection closed");
    assert!(fetch(&link, Kind::Read).await.is_ok(), "it opens a new one");
}
