//! What a failed exchange says about whether the message left, one row a fault.

#![expect(
    clippy::unwrap_used,
    reason = "a test helper that fails is to fail its test"
)]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use assert_matches::assert_matches;
use bamboolock::{
    entry::exchange::{
        self,
        Outcome, //
    },
    ids::Token,
    remote::link::{
        Error,
        Link, //
    },
    resources::Resources, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    time::Instant, //
};

const LIMIT: Duration = Duration::from_millis(500);

/// What a server does with each connection.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// It accepts none.
    Refuse,
    /// It reads the message and closes the connection.
    Close,
    /// It reads the message, answers in part and closes the connection.
    Cut,
    /// It reads the message and never answers.
    Silent,
}

async fn serve(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    if let Fault::Refuse = fault {
        return addr;
    }
    actix::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let read = stream.read(&mut buffer).await.unwrap();
            assert!(read > 0);
            match fault {
                Fault::Cut => {
                    let part = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\"";
                    stream.write_all(part).await.unwrap();
                }
                Fault::Silent => std::mem::forget(stream),
                _ => {}
            }
        }
    });
    addr
}

/// Each fault, and whether the message may have been acted upon.
const CASES: [(Fault, bool); 4] = [
    (Fault::Refuse, false),
    (Fault::Close, true),
    (Fault::Cut, true),
    (Fault::Silent, true),
];

#[actix::test]
async fn a_link_says_unreachable_only_when_nothing_was_sent() {
    for (fault, pending) in CASES {
        let addr = serve(fault).await.to_string();
        let link = Link::new(&addr, &"z1".parse().unwrap(), LIMIT);
        let result: Result<u64, Error> = link.post("/", &1, LIMIT).await;
        let e = result.unwrap_err();
        assert_eq!(e.pending(), pending, "{fault:?}: {e}");
    }
}

#[actix::test]
async fn a_request_is_not_run_only_when_nothing_was_sent() {
    for (fault, pending) in CASES {
        let message = exchange::Message {
            id: "r1".parse().unwrap(),
            profile: "checks".into(),
            body: "text".into(),
            content_type: "text/plain".into(),
            idempotency_key: None,
            idempotent: false,
            demand: Resources::default(),
        };
        let route = exchange::Route {
            address: serve(fault).await.to_string().into(),
            worker: None,
            receiver: exchange::Receiver::Worker(Token(1)),
            send_deadline: Instant::now() + LIMIT,
            timeout: LIMIT,
            abort_after: LIMIT,
            new_connection: false,
        };
        let outcome = exchange::send(&message, &route, &"z1".parse().unwrap(), LIMIT).await;
        match pending {
            true => assert_matches!(
                outcome,
                Outcome::ConnectionLost | Outcome::Aborted,
                "{fault:?}"
            ),
            false => assert_matches!(outcome, Outcome::NotRun, "{fault:?}"),
        }
    }
}
