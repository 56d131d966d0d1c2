//! Faults of the control API and what a caller sees of each.

use std::time::Duration;

use bamboolock::{
    ids::Token,
    standin::command::{
        Command,
        Select,
        View, //
    },
    wire::{
        self,
        worker::Started, //
    }, //
};
use serde_json::json;
use tokio::time::timeout;

use crate::client::{
    self,
    Client,
    NO_ANSWER_WAIT,
    TIMEOUT,
    lease,
    new_client,
    task, //
};

/// What a caller sees of a request.
#[derive(Debug, PartialEq, Eq)]
enum Observed {
    /// Complete answer with the status and the header that says whether the request ran.
    Answer(u16, &'static str),
    /// The body has fewer bytes than announced.
    Cut,
    /// The connection was closed.
    Closed,
    /// No answer within the test's wait.
    Nothing,
}

/// Answer of a worker without faults.
const HEALTHY: Observed = Observed::Answer(200, "yes");

fn first_worker() -> Select {
    Select {
        workers: vec!["north-a-w000".parse().unwrap()],
        zones: Vec::new(),
    }
}

async fn take_lease(client: &Client) -> Token {
    client
        .granted(0, &lease("e1", 1, None, 600_000))
        .await
        .token
}

/// Time to wait for an answer: short if none is expected, long otherwise.
fn wait_limit(silent: bool) -> Duration {
    if silent { NO_ANSWER_WAIT } else { TIMEOUT }
}

/// Sends a request from zone north-b to the worker in north-a and checks what the caller sees.
async fn check_request(
    client: &Client,
    http: &awc::Client,
    token: Token,
    name: &str,
    expected: Observed,
) {
    let token = token.to_string();
    let headers = [
        (wire::TOKEN_HEADER, token.as_str()),
        (wire::ZONE_HEADER, "north-b"),
    ];
    let body = json!({"service_ms": 0});
    let limit = wait_limit(expected == Observed::Nothing);
    let seen = match timeout(limit, client.send(http, 0, &headers, &body)).await {
        Err(_) => Observed::Nothing,
        Ok(Err(_)) => Observed::Closed,
        Ok(Ok(answer)) if !answer.whole => Observed::Cut,
        Ok(Ok(answer)) => match answer.ran.as_str() {
            "yes" => Observed::Answer(answer.status, "yes"),
            "no" => Observed::Answer(answer.status, "no"),
            _ => Observed::Answer(answer.status, ""),
        },
    };
    assert_eq!(seen, expected, "{name}");
}

struct Case {
    name: &'static str,
    command: Command,
    seen: Observed,
    /// Number of requests that start to execute.
    executed: u64,
}

fn worker_cases() -> Vec<Case> {
    let target = first_worker();
    let case = |name, command, seen, executed| Case {
        name,
        command,
        seen,
        executed,
    };
    let zone = |z: &str| z.parse().unwrap();
    let pair = |one: &str, other: &str| Command::CutPair {
        one: zone(one),
        other: zone(other),
        on: true,
    };
    let cut = |z: &str| Command::CutZone {
        zone: zone(z),
        on: true,
    };
    let t = || target.clone();
    vec![
        case("crash", Command::Crash { target: t() }, Observed::Closed, 0),
        case("gone", Command::Gone { target: t() }, Observed::Closed, 0),
        case(
            "restart",
            Command::Restart { target: t() },
            Observed::Answer(412, "no"),
            0,
        ),
        case(
            "hang",
            Command::Hang {
                target: t(),
                on: true,
            },
            Observed::Nothing,
            0,
        ),
        case(
            "failing",
            Command::Failing {
                target: t(),
                on: true,
            },
            Observed::Answer(500, "yes"),
            1,
        ),
        case(
            "errors",
            Command::Errors {
                target: t(),
                on: true,
            },
            Observed::Answer(500, ""),
            1,
        ),
        case(
            "cut short",
            Command::CutAnswers {
                target: t(),
                on: true,
            },
            Observed::Cut,
            1,
        ),
        case(
            "late",
            Command::Late {
                target: t(),
                delay: 60_000,
            },
            Observed::Nothing,
            1,
        ),
        case(
            "leaving",
            Command::Leaving {
                target: t(),
                on: true,
            },
            Observed::Answer(503, "no"),
            0,
        ),
        case("pair", pair("north-b", "north-a"), Observed::Nothing, 0),
        case(
            "other pair",
            pair("north-a", "south-a"),
            Observed::Answer(200, "yes"),
            1,
        ),
        case("caller's zone", cut("north-b"), Observed::Nothing, 0),
        case("worker's zone", cut("north-a"), Observed::Nothing, 0),
        case(
            "third zone",
            cut("south-a"),
            Observed::Answer(200, "yes"),
            1,
        ),
    ]
}

#[actix_web::test]
async fn worker_faults_show_in_requests() {
    for case in worker_cases() {
        let client = Client::start(&client::settings()).await;
        let token = take_lease(&client).await;
        assert_eq!(client.command(&case.command).await, 200, "{}", case.name);
        check_request(&client, &new_client(), token, case.name, case.seen).await;
        let counters = client.verdict().counters;
        assert_eq!(counters.requests, case.executed, "{}", case.name);
        client.stop().await;
    }
}

#[actix_web::test]
async fn a_reset_ends_the_faults() {
    let target = first_worker();
    let cases = [
        (
            "hang",
            Command::Hang {
                target: target.clone(),
                on: true,
            },
        ),
        (
            "late",
            Command::Late {
                target: target.clone(),
                delay: 60_000,
            },
        ),
        ("cut short", Command::CutAnswers { target, on: true }),
        (
            "zone",
            Command::CutZone {
                zone: "north-a".parse().unwrap(),
                on: true,
            },
        ),
    ];
    for (name, command) in cases {
        let client = Client::start(&client::settings()).await;
        let token = take_lease(&client).await;
        client.command(&command).await;
        client
            .post::<_, ()>(client.running.platform, "/control/reset", &())
            .await;
        check_request(&client, &new_client(), token, name, HEALTHY).await;
        client.stop().await;
    }
}

#[actix_web::test]
async fn a_resumed_worker_handles_the_requests_that_arrived_meanwhile() {
    let client = Client::start(&client::settings()).await;
    let token = take_lease(&client).await;
    let target = first_worker();
    client
        .command(&Command::Hang {
            target: target.clone(),
            on: true,
        })
        .await;
    let resume = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.command(&Command::Hang { target, on: false }).await
    };
    let launch = client.launch(0, token, task("r1", 1, json!({})));
    let (started, _) = futures_util::join!(launch, resume);
    assert_eq!(started, Started::Started);
    client.stop().await;
}

#[actix_web::test]
async fn silence_affects_open_connections_only() {
    let client = Client::start(&client::settings()).await;
    let token = take_lease(&client).await;
    let old = new_client();
    check_request(&client, &old, token, "before", HEALTHY).await;
    client
        .command(&Command::Silence {
            target: first_worker(),
        })
        .await;
    check_request(&client, &old, token, "silent", Observed::Nothing).await;
    check_request(&client, &new_client(), token, "new", HEALTHY).await;
    assert_eq!(client.verdict().counters.requests, 2);
    client.stop().await;
}

#[actix_web::test]
async fn a_crash_ends_requests_in_progress() {
    let client = Client::start(&client::settings()).await;
    let token = take_lease(&client).await.to_string();
    let headers = [(wire::TOKEN_HEADER, token.as_str())];
    let body = json!({"service_ms": 600_000});
    let crash = async {
        while client.verdict().counters.requests == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        client
            .command(&Command::Restart {
                target: first_worker(),
            })
            .await
    };
    let http = new_client();
    let (answer, _) = futures_util::join!(client.send(&http, 0, &headers, &body), crash);
    assert!(answer.is_err());
    let view: View = client.get("/control/state").await.1.unwrap();
    assert_eq!((view.workers[0].requests, view.workers[0].boot.0), (0, 2));
    client.stop().await;
}

#[actix_web::test]
async fn a_zone_cut_from_the_platform_gets_no_answer() {
    let client = Client::start(&client::settings()).await;
    let zone = || "north-b".parse().unwrap();
    client
        .command(&Command::CutPlatform {
            zone: zone(),
            on: true,
        })
        .await;
    let url = format!("http://{}/v1/instances", client.running.platform);
    let cases = [("north-b", None), ("north-a", Some(200)), ("", Some(200))];
    for (from, status) in cases {
        let http = new_client();
        let request = http.get(&url).insert_header((wire::ZONE_HEADER, from));
        let answer = timeout(wait_limit(status.is_none()), request.send()).await;
        let seen = answer
            .ok()
            .and_then(Result::ok)
            .map(|a| a.status().as_u16());
        assert_eq!(seen, status, "from {from:?}");
    }
    let token = take_lease(&client).await;
    check_request(&client, &new_client(), token, "new", HEALTHY).await;
    client.stop().await;
}

#[actix_web::test]
async fn a_command_for_an_unknown_name_is_refused() {
    let client = Client::start(&client::settings()).await;
    let worker = Select {
        workers: vec!["w9".parse().unwrap()],
        ..Select::default()
    };
    let zone = Select {
        zones: vec!["west".parse().unwrap()],
        ..Select::default()
    };
    let cases = [
        ("worker", Command::Crash { target: worker }),
        (
            "zone",
            Command::Hang {
                target: zone,
                on: true,
            },
        ),
        (
            "cut",
            Command::CutZone {
                zone: "west".parse().unwrap(),
                on: true,
            },
        ),
    ];
    for (name, command) in cases {
        assert_eq!(client.command(&command).await, 400, "{name}");
    }
    let view: View = client.get("/control/state").await.1.unwrap();
    assert!(view.workers.iter().all(|w| w.up && !w.faults.hang));
    client.stop().await;
}
