//! Tests of the operators' commands against a fake administration API.

use std::fs;

use serde_json::{
    Value,
    json, //
};

use crate::{
    fake_server::{
        FakeServer,
        Response, //
    },
    program::{
        self,
        folder, //
    }, //
};

fn body(priority: u8) -> Value {
    json!({"kind": "request", "team": "ramp", "priority": priority})
}

fn version(version: u32, change: &str, body: &Value) -> Value {
    json!({"name": "ramp-check", "version": version, "base": version - 1, "change": change,
        "operator": "avery", "at": 0, "offset": 40 + version, "readable": true, "body": body})
}

fn newest(number: u32, body: &Value) -> Response {
    let latest = version(number, "c", body);
    Response::Json(200, json!({"effective": number, "latest": latest}))
}

fn unknown() -> Response {
    let refusal = json!({"code": "unknown_profile", "ran": "no", "message": "not published",
        "retry": null});
    Response::Json(404, refusal)
}

fn changed(version: u32) -> Response {
    let made = json!({"name": "ramp-check", "change": "c", "version": version, "offset": 77});
    Response::Json(200, made)
}

/// Writes the profile `ramp-check` to a file in the folder of the test and returns its path.
fn file(test: &str, priority: u8) -> String {
    let path = folder(test).join("ramp-check.json");
    fs::write(&path, body(priority).to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

const CURRENT: &str = "GET /v1/profiles/ramp-check";
const CHANGE: &str = "PUT /v1/profiles/ramp-check";
const HISTORY: &str = "GET /v1/profiles/ramp-check/history";
const IN_FORCE: &str = "GET /v1/instances/in-force?offset=77";

#[test]
fn a_new_profile_is_published_on_base_zero_with_the_token() {
    let server = FakeServer::start(&[(CURRENT, &[unknown()]), (CHANGE, &[changed(1)])]);
    let file = file("publish-new", 5);
    let mut command =
        program::command(&["profiles", "publish", &file, "--admin", &server.address()]);
    let run: program::Captured = command
        .env("BAMBOOLOCK_TOKEN", "secret-1")
        .output()
        .unwrap()
        .into();
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out.contains("ramp-check        1      77  published"),
        "{run:?}"
    );
    let put = &server.received()[1];
    assert_eq!(
        (&put.body["base"], &put.body["body"]["priority"]),
        (&json!(0), &json!(5))
    );
    assert!(
        put.headers.contains("authorization: bearer secret-1"),
        "{put:?}"
    );
    assert!(!run.out.contains("secret-1") && !run.err.contains("secret-1"));
}

#[test]
fn the_token_file_takes_precedence_over_the_environment() {
    let server = FakeServer::start(&[("GET /v1/profiles", &[Response::Json(200, json!([]))])]);
    let token = folder("token-file").join("token");
    fs::write(&token, "from-file\n").unwrap();
    let args = [
        "profiles",
        "list",
        "--admin",
        &server.address(),
        "--token-file",
    ];
    let mut command = program::command(&[&args[..], &[token.to_str().unwrap()]].concat());
    assert!(
        command
            .env("BAMBOOLOCK_TOKEN", "other")
            .status()
            .unwrap()
            .success()
    );
    assert!(
        server.received()[0]
            .headers
            .contains("authorization: bearer from-file")
    );
}

#[test]
fn an_unchanged_profile_is_not_published_again() {
    // The current version contains a default value explicitly, which is not a difference.
    let mut current = body(5);
    current["idempotent"] = json!(false);
    let server = FakeServer::start(&[(CURRENT, &[newest(3, &current)]), (CHANGE, &[changed(4)])]);
    let file = file("publish-same", 5);
    let run = program::run(&["profiles", "publish", &file, "--admin", &server.address()]);
    assert_eq!(run.code, 0);
    assert!(run.out.contains("unchanged"), "{run:?}");
    assert_eq!(server.lines(), [CURRENT]);
}

#[test]
fn no_file_is_published_when_one_has_findings() {
    let server = FakeServer::start(&[(CURRENT, &[unknown()]), (CHANGE, &[changed(1)])]);
    let good = file("publish-faulty", 5);
    let bad = "examples/faulty/jet-bridge-assign.json";
    let run = program::run(&[
        "profiles",
        "publish",
        &good,
        bad,
        "--admin",
        &server.address(),
    ]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("6 findings"), "{run:?}");
    assert!(server.lines().is_empty());
}

#[test]
fn a_conflict_reports_the_winner_and_the_differences() {
    let conflict = json!({"code": "conflict", "ran": "no", "message": "version 4 is current",
        "retry": null, "winner": version(4, "c4", &body(2)), "differences": []});
    let server = FakeServer::start(&[
        (CURRENT, &[newest(3, &body(1))]),
        (CHANGE, &[Response::Json(409, conflict)]),
    ]);
    let file = file("publish-lost", 5);
    let args = [
        "profiles",
        "publish",
        &file,
        "--base",
        "3",
        "--admin",
        &server.address(),
    ];
    let run = program::run(&args);
    assert_eq!(run.code, 4, "{run:?}");
    assert_eq!(server.received()[1].body["base"], 3);
    let parts = ["version 4 by avery", "(change c4)", "/priority  2        5"];
    for part in parts.into_iter().chain(["version 4 is current"]) {
        assert!(run.err.contains(part), "{part:?} in {}", run.err);
    }
    let json = program::run(&[&args[..], &["-o", "json"]].concat()).json();
    assert_eq!(
        (&json["exit"], &json["winner"]["version"]),
        (&json!(4), &json!(4))
    );
}

#[test]
fn a_change_whose_response_was_lost_is_retried_with_the_same_id() {
    let file = file("publish-unknown", 5);
    let pending = json!({"code": "log_unavailable", "ran": "unknown", "message": "no word",
        "retry": 1000});
    let server = FakeServer::start(&[
        (CURRENT, &[unknown()]),
        (
            CHANGE,
            &[Response::Close, Response::Json(503, pending), changed(1)],
        ),
    ]);
    let run = program::run(&["profiles", "publish", &file, "--admin", &server.address()]);
    assert_eq!(run.code, 0, "{run:?}");
    let received = server.received();
    assert_eq!(server.lines(), [CURRENT, CHANGE, CHANGE, CHANGE]);
    assert!(
        received[1..].iter().all(|c| c.body == received[1].body),
        "{received:?}"
    );
}

#[test]
fn a_change_whose_outcome_stays_unknown_can_be_repeated_later() {
    let file = file("publish-pending", 5);
    let server = FakeServer::start(&[(CURRENT, &[unknown()]), (CHANGE, &[Response::Close])]);
    let args = [
        "profiles",
        "publish",
        &file,
        "--admin",
        &server.address(),
        "--change",
        "c-9",
    ];
    let run = program::run(&args);
    assert_eq!(run.code, 5, "{run:?}");
    assert!(
        run.err.contains("repeat it later with --change c-9"),
        "{run:?}"
    );
    assert_eq!(server.received()[1].body["change"], "c-9");
}

#[test]
fn a_refused_change_is_not_retried() {
    let file = file("publish-refused", 5);
    let refusal = json!({"code": "log_unavailable", "ran": "no", "message": "the log is out",
        "retry": 1000});
    let server = FakeServer::start(&[
        (CURRENT, &[unknown()]),
        (CHANGE, &[Response::Json(503, refusal)]),
    ]);
    let run = program::run(&["profiles", "publish", &file, "--admin", &server.address()]);
    assert_eq!(run.code, 1, "{run:?}");
    assert_eq!(server.lines(), [CURRENT, CHANGE]);
}

#[test]
fn publish_wait_lists_the_instances_behind_and_cut_off() {
    let state = |missing: Value| {
        let reached = 3 - missing.as_array().unwrap().len();
        let state = json!({"offset": 77, "reached": reached, "total": 3, "missing": missing});
        Response::Json(200, state)
    };
    let one = |id: &str, next: Value| json!({"id": id, "zone": "z1", "next": next});
    let file = file("publish-wait", 5);
    let publish = |states: &[Response]| {
        let server = FakeServer::start(&[
            (CURRENT, &[unknown()]),
            (CHANGE, &[changed(1)]),
            (IN_FORCE, states),
        ]);
        let address = server.address();
        let args = [
            "profiles", "publish", &file, "--wait", "--within", "1s", "--admin", &address,
        ];
        program::run(&args)
    };
    let complete = publish(&[
        state(json!([one("e2", json!(77)), one("e3", Value::Null)])),
        state(json!([])),
    ]);
    assert_eq!(complete.code, 0, "{complete:?}");
    let first = "in force on 1 of 3 instances; behind: e2; cut off: e3";
    for part in [first, "in force on all 3 instances after"] {
        assert!(complete.err.contains(part), "{complete:?}");
    }
    let partial = publish(&[state(json!([one("e3", Value::Null)]))]);
    assert_eq!(partial.code, 6, "{partial:?}");
    let last = "after 1s: in force on 2 of 3 instances; cut off: e3";
    assert!(partial.err.contains(last), "{partial:?}");
}

#[test]
fn rollback_and_withdraw_are_based_on_the_latest_version() {
    let server = FakeServer::start(&[
        (CURRENT, &[newest(4, &body(1))]),
        ("POST /v1/profiles/ramp-check/rollback", &[changed(5)]),
        (
            "DELETE /v1/profiles/ramp-check?base=4&change=c-1",
            &[changed(6)],
        ),
    ]);
    let address = server.address();
    let back = [
        "profiles",
        "rollback",
        "ramp-check",
        "--version",
        "3",
        "--admin",
        &address,
    ];
    assert_eq!(program::run(&back).code, 0);
    let sent = &server.received()[1].body;
    assert_eq!((&sent["version"], &sent["base"]), (&json!(3), &json!(4)));
    let gone = [
        "profiles",
        "withdraw",
        "ramp-check",
        "--change",
        "c-1",
        "--admin",
        &address,
    ];
    let gone = program::run(&[&gone[..], &["-o", "json"]].concat());
    assert_eq!(gone.json()[0]["version"], 6);
}

#[test]
fn list_show_history_and_diff_read_published_profiles() {
    let versions = json!([version(1, "c1", &body(1)), version(2, "c2", &body(2))]);
    let list = json!([{"name": "ramp-check", "effective": null, "version": 2,
        "operator": "avery", "at": 0}]);
    let server = FakeServer::start(&[
        ("GET /v1/profiles", &[Response::Json(200, list)]),
        (CURRENT, &[newest(2, &body(2))]),
        (HISTORY, &[Response::Json(200, versions)]),
    ]);
    let address = server.address();
    let file = file("show-diff", 9);
    let cases: [(&[&str], &str); 5] = [
        (&["list"], "ramp-check        2         -  avery"),
        (&["show", "ramp-check"], "\"priority\": 2"),
        (&["show", "ramp-check", "--version", "1"], "\"priority\": 1"),
        (&["history", "ramp-check"], "request  avery"),
        (&["diff", "ramp-check", &file], "/priority  2        9"),
    ];
    for (args, part) in cases {
        let run = program::run(&[&["profiles"], args, &["--admin", &address]].concat());
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.out.contains(part), "{run:?}");
    }
    let missing = [
        "profiles",
        "show",
        "ramp-check",
        "--version",
        "7",
        "--admin",
        &address,
    ];
    assert_eq!(program::run(&missing).code, 1);
}
