//! Tests of the administration API over a replica and a log with injected faults.

use std::sync::Arc;

use actix_web::{
    App,
    http::{
        Method,
        StatusCode, //
    },
    test,
    web, //
};
use bamboolock::{
    admin::{
        self,
        AppState,
        metrics::Metrics,
        openapi::{
            self,
            Access, //
        }, //
    },
    diff,
    ledger::{
        record,
        replica::Replica, //
    },
    settings, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    common::{
        author,
        batch,
        body,
        change, //
    },
    fake_log::{
        FakeLog,
        Fault, //
    }, //
};

const READER: &str = "read-secret";
const OPERATOR: &str = "write-secret";

fn settings(log: &FakeLog) -> settings::Entry {
    serde_json::from_value(json!({
        "id": "i1", "zone": "z1", "region": "r1", "listen": "127.0.0.1:1", "peer": "127.0.0.1:1",
        "admin": "127.0.0.1:1", "platform": log.addr.to_string(),
        "log": {"gather": 1, "timeout": 200, "poll": 100, "backoff": 5},
        "tokens": [
            {"operator": "ann", "access": "operator", "secret": OPERATOR},
            {"operator": "bob", "access": "read_only", "secret": READER},
            {"operator": "eve", "access": "operator", "secret": ""}
        ]
    }))
    .unwrap()
}

async fn api(log: &FakeLog) -> AppState {
    let settings = settings(log);
    let ledger = Replica::start(&settings, author("i1:admin"));
    while !ledger.is_caught_up() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    AppState {
        ledger,
        settings: Arc::new(settings),
        metrics: Arc::new(Metrics::new()),
    }
}

/// Calls the API. Returns the status and the body, which is null if it is not JSON.
async fn call(shared: &AppState, secret: &str, route: &str, body: Value) -> (u16, Value) {
    let (method, uri) = route.split_once(' ').unwrap();
    let app = App::new()
        .app_data(web::Data::new(shared.clone()))
        .configure(admin::routes);
    let app = test::init_service(app).await;
    let mut request = test::TestRequest::default()
        .method(method.to_uppercase().parse::<Method>().unwrap())
        .uri(uri)
        .set_payload(body.to_string());
    if !secret.is_empty() {
        request = request.insert_header(("authorization", format!("Bearer {secret}")));
    }
    let answer = test::call_service(&app, request.to_request()).await;
    let status = answer.status().as_u16();
    let text = test::read_body(answer).await;
    (status, serde_json::from_slice(&text).unwrap_or_default())
}

fn put(base: u32, change: &str, priority: u8) -> Value {
    json!({"base": base, "change": change, "body": body(priority)})
}

#[actix::test]
async fn every_documented_route_enforces_its_access_role() {
    let log = FakeLog::start();
    let shared = api(&log).await;
    for route in openapi::ROUTES {
        let path = route.path.replace("{name}", "checks");
        let line = format!("{} {path}", route.method);
        for secret in ["", "wrong", "read-secre", "read-secrets"] {
            let (status, _) = call(&shared, secret, &line, Value::Null).await;
            let expected = if route.access == Access::Open {
                200
            } else {
                401
            };
            assert_eq!(status, expected, "{line} with {secret:?}");
        }
        let (status, refusal) = call(&shared, READER, &line, Value::Null).await;
        let forbidden = status == StatusCode::FORBIDDEN.as_u16() && refusal["code"] == "forbidden";
        assert_eq!(forbidden, route.access == Access::Operator, "{line}");
    }
}

#[std::prelude::v1::test]
fn the_committed_openapi_document_is_up_to_date() {
    let committed: Value =
        serde_json::from_str(include_str!("../../docs/openapi-admin.json")).unwrap();
    let hint = "run: cargo run --bin bamboolock-admin -- --openapi > docs/openapi-admin.json";
    assert!(committed == openapi::document(), "{hint}");
}

#[std::prelude::v1::test]
fn debug_output_hides_secrets() {
    let token = settings::AccessToken {
        operator: "ann".into(),
        access: settings::Access::Operator,
        secret: OPERATOR.into(),
    };
    assert!(!format!("{token:?}").contains(OPERATOR));
}

#[actix::test]
async fn all_errors_of_a_profile_are_reported_together() {
    let log = FakeLog::start();
    let shared = api(&log).await;
    let bad = json!({"kind": "request", "team": "gates", "hedge": {"budget": 0.1},
        "objective": {"wait": 20, "deadline": 10}});
    let (status, found) = call(&shared, READER, "POST /v1/profiles/check", bad.clone()).await;
    assert_eq!((status, found["list"].as_array().unwrap().len()), (200, 2));
    let publish = json!({"base": 0, "change": "c1", "body": bad});
    let (status, refusal) = call(&shared, OPERATOR, "PUT /v1/profiles/checks", publish).await;
    assert_eq!(
        (status, refusal["findings"].as_array().unwrap().len()),
        (400, 2)
    );
    assert_eq!(log.content.lock().unwrap().appends, 0);
}

#[actix::test]
async fn changes_are_published_rejected_repeated_rolled_back_and_withdrawn() {
    let log = FakeLog::start();
    let shared = api(&log).await;
    let path = "/v1/profiles/checks";
    // Columns: method, path suffix, body, expected status, JSON pointer, expected value.
    let rows = [
        (
            "GET",
            "",
            Value::Null,
            404,
            "/code",
            json!("unknown_profile"),
        ),
        ("PUT", "", put(0, "c1", 1), 200, "/version", json!(1)),
        ("PUT", "", put(1, "c2", 2), 200, "/version", json!(2)),
        ("PUT", "", put(1, "c2", 2), 200, "/version", json!(2)),
        ("PUT", "", put(1, "c2", 3), 409, "/code", json!("duplicate")),
        ("PUT", "", put(1, "c3", 3), 409, "/code", json!("conflict")),
        (
            "PUT",
            "",
            put(1, "c3", 3),
            409,
            "/winner/change",
            json!("c2"),
        ),
        (
            "PUT",
            "",
            put(1, "c3", 3),
            409,
            "/differences/0/place",
            json!("/priority"),
        ),
        ("PUT", "", put(9, "c4", 3), 409, "/winner/version", json!(2)),
        (
            "GET",
            "",
            Value::Null,
            200,
            "/latest/body/priority",
            json!(2),
        ),
        (
            "POST",
            "/diff",
            body(3),
            200,
            "/differences/0/after",
            json!(3),
        ),
        (
            "POST",
            "/rollback",
            json!({"base": 2, "change": "c5", "version": 7}),
            404,
            "/code",
            json!("unknown_profile"),
        ),
        (
            "POST",
            "/rollback",
            json!({"base": 2, "change": "c5", "version": 1}),
            200,
            "/version",
            json!(3),
        ),
        (
            "GET",
            "/history",
            Value::Null,
            200,
            "/2/body/priority",
            json!(1),
        ),
        (
            "DELETE",
            "?base=3&change=c6",
            Value::Null,
            200,
            "/version",
            json!(4),
        ),
        ("GET", "", Value::Null, 200, "/effective", Value::Null),
        (
            "DELETE",
            "?base=4&change=c7",
            Value::Null,
            409,
            "/code",
            json!("conflict"),
        ),
    ];
    for (i, (method, tail, body, status, pointer, part)) in rows.into_iter().enumerate() {
        let line = format!("{method} {path}{tail}");
        let (found, answer) = call(&shared, OPERATOR, &line, body).await;
        assert_eq!(found, status, "row {i}: {line}: {answer}");
        assert_eq!(
            answer.pointer(pointer),
            Some(&part),
            "row {i}: {line}: {answer}"
        );
    }
}

#[actix::test]
async fn a_conflict_names_the_accepted_change() {
    let log = FakeLog::start();
    let shared = api(&log).await;
    call(
        &shared,
        OPERATOR,
        "PUT /v1/profiles/checks",
        put(0, "c1", 1),
    )
    .await;
    // Two operators publish on the same base; both pass the check against the local state.
    let (a, b) = tokio::join!(
        call(&shared, OPERATOR, "PUT /v1/profiles/checks", put(1, "a", 2)),
        call(&shared, OPERATOR, "PUT /v1/profiles/checks", put(1, "b", 3)),
    );
    let mut statuses = [a.0, b.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let (winner, loser) = if a.0 == 200 { (a, b) } else { (b, a) };
    assert_eq!(loser.1["winner"]["change"], winner.1["change"]);
}

#[actix::test]
async fn outages_and_lost_responses_are_reported_accurately() {
    let log = FakeLog::start();
    let shared = api(&log).await;
    log.fault(Fault::LoseResponses);
    let line = "PUT /v1/profiles/checks";
    let (status, answer) = call(&shared, OPERATOR, line, put(0, "c1", 1)).await;
    assert_eq!((status, &answer["version"]), (200, &json!(1)));
    log.fault(Fault::Down);
    let (status, answer) = call(&shared, OPERATOR, line, put(0, "c1", 1)).await;
    assert_eq!(
        (status, &answer["version"]),
        (200, &json!(1)),
        "the verdict on an earlier change is known"
    );
    let (status, answer) = call(&shared, OPERATOR, line, put(1, "c2", 2)).await;
    assert_eq!((status, &answer["ran"]), (503, &json!("unknown")));
    let (status, _) = call(&shared, READER, "GET /v1/profiles/checks", Value::Null).await;
    assert_eq!(status, 200, "reads succeed during the outage");
    log.fault(Fault::None);
    let (status, answer) = call(&shared, OPERATOR, line, put(1, "c2", 2)).await;
    assert_eq!((status, &answer["version"]), (200, &json!(2)));
}

#[actix::test]
async fn an_instance_with_an_incomplete_state_refuses_changes() {
    let log = FakeLog::start();
    log.content
        .lock()
        .unwrap()
        .append(&batch("b", vec![change("c1", "checks", 0, body(1))]));
    let newer = json!({"format": record::FORMAT + 1}).to_string();
    log.content.lock().unwrap().append(&newer);
    let shared = api(&log).await;
    let (status, _) = call(
        &shared,
        OPERATOR,
        "PUT /v1/profiles/checks",
        put(1, "c2", 2),
    )
    .await;
    assert_eq!(status, 503);
    let (status, _) = call(&shared, READER, "GET /v1/profiles/checks", Value::Null).await;
    assert_eq!(status, 200);
}

#[actix::test]
async fn in_force_counts_the_instances_that_applied_the_change() {
    let log = FakeLog::start();
    let shared = api(&log).await;
    let instance = |id: &str, role: &str, state: &str, address: String| {
        json!({"id": id, "role": role, "zone": "z1", "region": "r1", "rack": "k1",
            "address": address, "peer": "", "state": state, "boot": 1})
    };
    let here = log.addr.to_string();
    let list = json!([
        instance("e1", "entry", "live", here.clone()),
        instance("e2", "entry", "live", "127.0.0.1:1".to_owned()),
        instance("e3", "entry", "gone", "127.0.0.1:1".to_owned()),
        instance("w1", "worker", "live", here),
    ]);
    {
        let mut content = log.content.lock().unwrap();
        content.instances = json!({"at": 1, "instances": list});
        content.status = 5;
    }
    for (offset, reached) in [(4, 1), (5, 0)] {
        let line = format!("GET /v1/instances/in-force?offset={offset}");
        let (status, answer) = call(&shared, READER, &line, Value::Null).await;
        assert_eq!((status, &answer["total"]), (200, &json!(2)), "{answer}");
        assert_eq!(answer["reached"], reached, "{answer}");
        let unreachable = answer["missing"].as_array().unwrap().last().unwrap();
        assert_eq!(
            (&unreachable["id"], &unreachable["next"]),
            (&json!("e2"), &Value::Null)
        );
    }
}

#[std::prelude::v1::test]
fn differences_name_their_json_pointer() {
    let cases = [
        (json!(1), json!(1), vec![]),
        (json!(1), json!(2), vec![""]),
        (
            json!({"a": {"b": 1}, "c": 1}),
            json!({"a": {"b": 2}, "d": 1}),
            vec!["/a/b", "/c", "/d"],
        ),
        (
            json!({"a/b": 1, "c~d": 1}),
            json!({}),
            vec!["/a~1b", "/c~0d"],
        ),
        (json!([1, 2]), json!([1, 3]), vec![""]),
        (json!({"a": null}), json!({}), vec!["/a"]),
    ];
    for (before, after, places) in cases {
        let found = diff::diff(&before, &after);
        let found: Vec<_> = found.iter().map(|d| d.place.as_str()).collect();
        assert_eq!(found, places, "{before} to {after}");
    }
}
