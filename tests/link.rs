//! The error of a failed exchange tells whether the request may have taken effect: one row for each
//! fault.

#![expect(clippy::unwrap_used, reason = "a panic in a helper fails the test")]

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

/// Fault of a server, on each connection.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The server refuses connections.
    Refuse,
    /// The server reads the request and closes the connection.
    Close,
    /// The server reads the request, sends an incomplete response and closes the connection.
    Cut,
    /// The server reads the request and never responds.
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

/// Each fault, and whether the request may have taken effect.
const CASES: [(Fault, bool); 4] = [
    (Fault::Refuse, false),
    (Fault::Close, true),
    (Fault::Cut, true),
    (Fault::Silent, true),
];

#[actix::test]
async fn a_link_reports_no_effect_only_if_nothing_was_sent() {
    for (fault, may_have_applied) in CASES {
        let addr = serve(fault).await.to_string();
        let link = Link::new(&addr, &"z1".parse().unwrap(), LIMIT);
        let result: Result<u64, Error> = link.post("/", &1, LIMIT).await;
        let e = result.unwrap_err();
        assert_eq!(e.may_have_applied(), may_have_applied, "{fault:?}: {e}");
    }
}

#[actix::test]
async fn a_request_is_not_run_only_if_nothing_was_sent() {
    for (fault, may_have_applied) in CASES {
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
        match may_have_applied {
            true => assert_matches!(
                outcome,
                Outcome::ConnectionLost | Outcome::Aborted,
                "{fault:?}"
            ),
            false => assert_matches!(outcome, Outcome::NotRun, "{fault:?}"),
        }
    }
}
