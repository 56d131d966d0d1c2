//! Tests of the classification of responses and of the list of refused work.

use bamboolock::load::{
    judge, //
    response::{
        self,
        Response, //
    },
    sample::{
        Class,
        Sample, //
    },
    schedule::Arrival,
};
use serde_json::{
    Value,
    json, //
};

fn refusal(ran: &str) -> Value {
    json!({"code": "deadline", "ran": ran, "message": "too late", "retry": null})
}

#[test]
fn a_response_is_classified_by_its_status_header_and_body() {
    let body = json!({"work": "w1", "service_ms": 5});
    let own = json!({"request": "q1", "echo": body});
    let other = json!({"request": "q1", "echo": {"work": "w2", "service_ms": 5}});
    let partial = json!({"request": "q1", "echo": {"work": "w1"}});
    let cases = [
        ("own response", 200, "yes", true, own.clone(), Class::Good),
        ("truncated", 200, "yes", false, own, Class::Unknown),
        (
            "response to another request",
            200,
            "yes",
            true,
            other,
            Class::Wrong,
        ),
        ("partial echo", 200, "yes", true, partial, Class::Wrong),
        ("malformed", 200, "yes", true, json!("ok"), Class::Wrong),
        ("not run", 503, "no", true, refusal("no"), Class::Refused),
        ("failed", 500, "yes", true, refusal("yes"), Class::Failed),
        (
            "unknown",
            504,
            "unknown",
            true,
            refusal("unknown"),
            Class::Unknown,
        ),
        (
            "the body overrides the header",
            503,
            "yes",
            true,
            refusal("no"),
            Class::Refused,
        ),
        ("header only", 429, "no", true, json!(null), Class::Refused),
        (
            "neither header nor body",
            500,
            "",
            true,
            json!(null),
            Class::Unknown,
        ),
    ];
    for (name, status, ran, complete, text, class) in cases {
        let response = Response {
            status,
            ran: ran.to_owned(),
            complete,
            body: text.to_string().into(),
        };
        assert_eq!(response::classify(&response, &body).class, class, "{name}");
    }
}

#[test]
fn work_counts_as_refused_only_if_every_response_says_so() {
    let work = ["w1", "w2", "w2", "w3", "w3"];
    let classes = [
        Class::Refused,
        Class::Refused,
        Class::Unknown,
        Class::Refused,
        Class::Refused,
    ];
    let arrival = |work: &&str| Arrival {
        at: 0,
        profile: "check".parse().unwrap(),
        work: (*work).into(),
        time: 5,
        deadline: None,
        key: None,
        padding: 0,
        crest: false,
        job: None,
    };
    let sample = |(index, class): (usize, &Class)| Sample {
        index,
        at: 0,
        lag: 0,
        latency: 0,
        wait: None,
        class: *class,
        code: None,
        execution: "".into(),
        detail: String::new(),
    };
    let arrivals: Vec<_> = work.iter().map(arrival).collect();
    let samples: Vec<_> = classes.iter().enumerate().map(sample).collect();
    assert_eq!(judge::refused_work(&arrivals, &samples), ["w1", "w3"]);
}
