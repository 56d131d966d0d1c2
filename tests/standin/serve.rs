//! Requests to a backend server without faults.

use bamboolock::{
    standin::judge::Kind,
    wire, //
};
use serde_json::{
    Value,
    json, //
};

use crate::client::{
    self,
    Client,
    lease,
    task, //
};

/// Name, headers, body, and the expected status, `ran` header and number of executions.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], Value, u16, &'a str, u64);

#[actix_web::test]
async fn an_answer_says_whether_the_request_ran() {
    let client = Client::start(&client::settings()).await;
    let token = client.granted(0, &lease("e1", 1, None, 60_000)).await.token;
    let token = token.to_string();
    let good = [(wire::TOKEN_HEADER, token.as_str())];
    let stale = [(wire::TOKEN_HEADER, "99")];
    let wordy = [(wire::TOKEN_HEADER, "first")];
    let short = [
        (wire::TOKEN_HEADER, token.as_str()),
        (wire::DEMAND_HEADER, "1,2"),
    ];
    let cases: [Case<'_>; 9] = [
        ("plain", &good, json!({"stand": 7}), 200, "yes", 1),
        ("opaque", &good, json!("stand 7"), 200, "yes", 1),
        ("error", &good, json!({"fail": "error"}), 500, "yes", 1),
        ("unknown", &good, json!({"fail": "unknown"}), 500, "", 1),
        ("not run", &good, json!({"fail": "not_run"}), 503, "no", 0),
        ("stale token", &stale, json!({}), 412, "no", 0),
        ("no token", &[], json!({}), 400, "no", 0),
        ("malformed token", &wordy, json!({}), 400, "no", 0),
        ("malformed demand", &short, json!({}), 400, "no", 0),
    ];
    for (name, headers, body, status, ran, executed) in cases {
        let before = client.verdict().counters.requests;
        let answer = client.serve(0, headers, &body).await;
        assert_eq!(
            (answer.status, answer.ran.as_str()),
            (status, ran),
            "{name}"
        );
        assert_eq!(
            client.verdict().counters.requests - before,
            executed,
            "{name}"
        );
        if status == 200 {
            assert_eq!(answer.body["echo"], body, "{name}");
        }
    }
    assert!(client.verdict().violations.is_empty());
    client.stop().await;
}

#[actix_web::test]
async fn a_request_above_capacity_is_refused_and_recorded() {
    let client = Client::start(&client::settings()).await;
    let token = client.granted(0, &lease("e1", 1, None, 60_000)).await.token;
    let mut service = task("r1", 1, json!({"forever": true}));
    service.demand.slots = 4;
    client.launch(0, token, service).await;
    let headers = [(wire::TOKEN_HEADER, &*token.to_string())];
    let answer = client.serve(0, &headers, &json!({})).await;
    assert_eq!((answer.status, answer.ran.as_str()), (429, "no"));
    assert_eq!(client.verdict().violations[0].kind, Kind::OverCommit);
    client.stop().await;
}

#[actix_web::test]
async fn bytes_are_counted_by_route_and_zones() {
    let client = Client::start(&client::settings()).await;
    let token = client
        .granted(0, &lease("e1", 1, None, 60_000))
        .await
        .token
        .to_string();
    for zone in ["north-a", "north-b", "south-a"] {
        let headers = [
            (wire::TOKEN_HEADER, token.as_str()),
            (wire::ZONE_HEADER, zone),
        ];
        client
            .serve(0, &headers, &json!({"text": "x".repeat(500)}))
            .await;
    }
    let traffic = client.verdict().traffic;
    let rows: Vec<_> = traffic.iter().filter(|r| r.route == "serve").collect();
    let links: Vec<_> = rows.iter().map(|r| (r.from.as_str(), r.crossing)).collect();
    assert_eq!(
        links,
        [("north-a", false), ("north-b", false), ("south-a", true)]
    );
    for row in rows {
        assert_eq!((row.to.as_str(), row.messages), ("north-a", 1));
        assert!(row.received > 500 && row.received < 1_000, "{row:?}");
        assert!(row.sent > 500 && row.sent < 1_000, "{row:?}");
    }
    client.stop().await;
}

#[actix_web::test]
async fn bytes_to_the_platform_cross_regions_when_its_region_is_known() {
    let cases = [
        (None, [false, false]),
        (Some("north"), [false, true]),
        (Some("south"), [true, false]),
    ];
    for (home, crossing) in cases {
        let mut settings = client::settings();
        settings.home = home.map(|h| h.parse().unwrap());
        let client = Client::start(&settings).await;
        let url = format!("http://{}/v1/instances", client.running.platform);
        for zone in ["north-a", "south-a"] {
            let http = client::new_client();
            let request = http.get(&url).insert_header((wire::ZONE_HEADER, zone));
            request.send().await.unwrap();
        }
        let rows = client.verdict().traffic;
        let found: Vec<_> = rows.iter().map(|r| r.crossing).collect();
        assert_eq!(found, crossing, "{home:?}");
        client.stop().await;
    }
}
