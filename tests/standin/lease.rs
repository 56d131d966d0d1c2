//! Placement lease: one holder at a time, fenced by an increasing token.

use assert_matches::assert_matches;
use bamboolock::{
    ids::Token,
    standin::command::Command,
    wire::{
        self,
        worker::{
            LeaseResponse,
            Started, //
        }, //
    }, //
};
use serde_json::json;

use crate::client::{
    self,
    Client,
    lease,
    task, //
};

/// Lease time that outlasts a test, in milliseconds.
const LONG_MS: u64 = 60_000;

#[actix_web::test]
async fn one_instance_at_a_time_holds_a_worker() {
    let client = Client::start(&client::settings()).await;
    let first = client.granted(0, &lease("e1", 1, None, LONG_MS)).await;
    assert_matches!(
        client.lease(0, &lease("e2", 1, None, LONG_MS)).await,
        LeaseResponse::Held { holder, left } if holder.as_str() == "e1" && left > 0
    );
    let again = client.granted(0, &lease("e1", 1, None, LONG_MS)).await;
    assert_eq!(
        again.token, first.token,
        "a repeated request returns the same token"
    );
    client
        .granted(0, &lease("e1", 1, Some(first.token), 0))
        .await;
    let next = client.granted(0, &lease("e2", 1, None, LONG_MS)).await;
    assert!(next.token > first.token);
    client.stop().await;
}

#[actix_web::test]
async fn a_later_incarnation_of_the_holder_takes_over_at_once() {
    let client = Client::start(&client::settings()).await;
    let first = client.granted(0, &lease("e1", 1, None, LONG_MS)).await;
    let second = client.granted(0, &lease("e1", 2, None, LONG_MS)).await;
    assert!(second.token > first.token);
    let renewal = client
        .lease(0, &lease("e1", 1, Some(first.token), LONG_MS))
        .await;
    assert_matches!(renewal, LeaseResponse::Fenced);
    assert_matches!(
        client.lease(0, &lease("e1", 1, None, LONG_MS)).await,
        LeaseResponse::Held { .. }
    );
    client.stop().await;
}

#[actix_web::test]
async fn a_lapsed_lease_fences_its_holder() {
    let client = Client::start(&client::settings()).await;
    let first = client.granted(0, &lease("e1", 1, None, 1)).await;
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    let launched = client
        .launch(0, first.token, task("r1", 1, json!({})))
        .await;
    assert_eq!(launched, Started::Fenced);
    let renewal = client
        .lease(0, &lease("e1", 1, Some(first.token), LONG_MS))
        .await;
    assert_matches!(renewal, LeaseResponse::Fenced);
    let second = client.granted(0, &lease("e2", 1, None, LONG_MS)).await;
    assert_eq!(second.token, Token(first.token.0 + 1));
    assert!(second.tasks.is_empty());
    client.stop().await;
}

#[actix_web::test]
async fn a_new_holder_learns_of_requests_under_earlier_tokens() {
    let client = Client::start(&client::settings()).await;
    let first = client.granted(0, &lease("e1", 1, None, LONG_MS)).await;
    let token = first.token.to_string();
    let headers = [(wire::TOKEN_HEADER, token.as_str())];
    let body = json!({"service_ms": 600_000});
    let http = client::new_client();
    let sending = client.send(&http, 0, &headers, &body);
    let looking = async {
        while client.verdict().counters.requests == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let own = client
            .granted(0, &lease("e1", 1, Some(first.token), LONG_MS))
            .await;
        let next = client.granted(0, &lease("e1", 2, None, LONG_MS)).await;
        let target = Default::default();
        client.command(&Command::Crash { target }).await;
        (own, next)
    };
    let (_, (own, next)) = futures_util::join!(sending, looking);
    assert_eq!((own.requests, own.earlier), (1, Some(0)));
    assert_eq!((next.requests, next.earlier), (1, Some(1)));
    client.stop().await;
}
