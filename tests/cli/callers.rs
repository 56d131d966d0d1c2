//! Tests of the callers' commands against a fake entry instance.

use serde_json::json;

use crate::{
    fake_server::{
        FakeServer,
        Response, //
    },
    program, //
};

fn status(state: &str, waiting: u32, done: u32) -> serde_json::Value {
    json!({"id": "j1", "profile": "gate-plan", "version": 3, "zone": "z1", "state": state,
        "waiting": waiting, "running": 0, "done": done, "accepted": 0, "reason": ""})
}

fn accepted() -> Response {
    Response::Json(202, json!({"id": "j1", "repeated": false}))
}

#[test]
fn submit_sends_the_options_and_a_key_and_prints_the_id() {
    let server = FakeServer::start(&[("POST /v1/jobs", &[accepted()])]);
    let args = [
        "submit",
        "--entry",
        &server.address(),
        "--profile",
        "gate-plan",
        "--tasks",
        "4",
        "--estimate",
        "5m",
        "--payload",
        r#"{"day": 7}"#,
    ];
    let run = program::run(&args);
    assert_eq!((run.code, run.out.as_str()), (0, "j1\n"));
    let body = &server.received()[0].body;
    assert_eq!(body["tasks"], 4);
    assert_eq!(
        (&body["estimate"], &body["payload"]["day"]),
        (&json!(300_000), &json!(7))
    );
    let key = body["key"].as_str().unwrap();
    assert!(run.err.contains(key), "{run:?}");
}

#[test]
fn an_invalid_job_is_not_sent() {
    let server = FakeServer::start(&[("POST /v1/jobs", &[accepted()])]);
    let args = [
        "submit",
        "--entry",
        &server.address(),
        "--tasks",
        "0",
        "--profile",
        "a b",
    ];
    assert_eq!(program::run(&args).code, 1);
    assert!(server.lines().is_empty());
}

#[test]
fn submit_wait_shows_progress_until_the_job_has_ended() {
    let ends = [("done", 0), ("failed", 1), ("cancelled", 1)];
    for (state, code) in ends {
        let shown = [
            Response::Json(200, status("waiting", 2, 0)),
            Response::Close,
            Response::Json(200, status("running", 1, 1)),
            Response::Json(200, status(state, 0, 2)),
        ];
        let server = FakeServer::start(&[
            ("POST /v1/jobs", &[accepted()]),
            ("GET /v1/jobs/j1", &shown),
        ]);
        let args = [
            "submit",
            "--entry",
            &server.address(),
            "--profile",
            "gate-plan",
            "--wait",
        ];
        let run = program::run(&args);
        assert_eq!(run.code, code, "{run:?}");
        for line in [
            "waiting: 2 waiting, 0 running, 0 done",
            "running: 1 waiting",
        ] {
            assert!(run.err.contains(line), "{run:?}");
        }
        assert!(run.out.contains(state), "{run:?}");
    }
}

#[test]
fn a_timeout_of_wait_has_its_own_exit_code() {
    let server = FakeServer::start(&[
        ("POST /v1/jobs", &[accepted()]),
        (
            "GET /v1/jobs/j1",
            &[Response::Json(200, status("waiting", 2, 0))],
        ),
    ]);
    let args = [
        "submit",
        "--entry",
        &server.address(),
        "--profile",
        "gate-plan",
        "--wait",
        "--within",
        "700ms",
    ];
    let run = program::run(&args);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.err.contains("j1 has not ended within 700ms"), "{run:?}");
}

#[test]
fn status_and_cancel_show_jobs() {
    let server = FakeServer::start(&[
        (
            "GET /v1/jobs/j1",
            &[Response::Json(200, status("running", 0, 1))],
        ),
        (
            "GET /v1/jobs",
            &[Response::Json(200, json!([status("done", 0, 1)]))],
        ),
        (
            "DELETE /v1/jobs/j1",
            &[Response::Json(202, status("cancelled", 0, 1))],
        ),
        (
            "GET /v1/status",
            &[Response::Json(200, json!({"id": "e1", "ready": true}))],
        ),
    ]);
    let address = server.address();
    let cases: [(&[&str], &str); 4] = [
        (&["status", "j1"], "running"),
        (&["status", "--jobs"], "done"),
        (&["cancel", "j1"], "cancelled"),
        (&["status"], "ready"),
    ];
    for (args, part) in cases {
        let run = program::run(&[args, &["--entry", &address]].concat());
        assert_eq!(run.code, 0, "{run:?}");
        assert!(run.out.contains(part), "{run:?}");
    }
}

#[test]
fn request_prints_the_response_and_sends_key_and_deadline() {
    let headers = "x-bamboolock-ran: yes\r\nx-bamboolock-request: r1\r\n";
    let server = FakeServer::start(&[(
        "POST /v1/requests/ramp-check",
        &[Response::Text(200, headers, "stand B14 is free")],
    )]);
    let args = [
        "request",
        "ramp-check",
        "--entry",
        &server.address(),
        "--data",
        r#"{"stand": "B14"}"#,
        "--key",
        "k1",
        "--deadline",
        "250ms",
    ];
    let run = program::run(&args);
    assert_eq!((run.code, run.out.as_str()), (0, "stand B14 is free\n"));
    assert!(
        run.err.contains("request r1: status 200, ran: yes"),
        "{run:?}"
    );
    let received = &server.received()[0];
    for header in ["idempotency-key: k1", "x-bamboolock-deadline: 250"] {
        assert!(received.headers.contains(header), "{received:?}");
    }
    assert_eq!(received.body["stand"], "B14");
}

#[test]
fn each_kind_of_failure_has_its_exit_code() {
    let refusal = |code: &str, ran: &str| {
        let message = "the queue is full";
        json!({"code": code, "ran": ran, "message": message, "retry": 200})
    };
    let cases = [
        (
            Response::Json(429, refusal("queue_full", "no")),
            1,
            "retry in 200 ms",
        ),
        (
            Response::Json(504, refusal("outcome_unknown", "unknown")),
            5,
            "ran: unknown",
        ),
        (
            Response::Json(409, refusal("conflict", "no")),
            4,
            "refused (conflict",
        ),
        (
            Response::Text(500, "", "<html>oops"),
            3,
            "500 Internal Server Error: <html>oops",
        ),
        (Response::Close, 5, "the request may have taken effect"),
        (Response::Hang, 5, "no complete response within 300 ms"),
    ];
    for (response, code, part) in cases {
        let description = format!("{response:?}");
        let server = FakeServer::start(&[("POST /v1/requests/p", &[response])]);
        let args = [
            "request",
            "p",
            "--entry",
            &server.address(),
            "--timeout",
            "300ms",
        ];
        let run = program::run(&args);
        assert_eq!(run.code, code, "{description}: {run:?}");
        assert!(run.err.contains(part), "{description}: {run:?}");
        assert_eq!(
            server.lines().len(),
            1,
            "{description}: sent more than once"
        );
        let json = program::run(&[&args[..], &["-o", "json"]].concat());
        assert_eq!(json.json()["exit"], code, "{description}");
    }
    // Without a listener nothing was changed. A GET request without a response changes nothing
    // either.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap().to_string();
    drop(closed);
    assert_eq!(program::run(&["request", "p", "--entry", &address]).code, 3);
    let server = FakeServer::start(&[("GET /v1/status", &[Response::Hang])]);
    let silent = ["status", "--entry", &server.address(), "--timeout", "300ms"];
    assert_eq!(program::run(&silent).code, 3);
}
