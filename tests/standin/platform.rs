//! Faults of the log and of the list of instances.

use std::time::Duration;

use bamboolock::{
    ids::WorkerIncarnation,
    standin::{
        command::{
            Command,
            Select, //
        },
        faults::Mode,
        settings::{
            Entry,
            Lag,
            Settings, //
        }, //
    },
    wire::list::{
        Instance,
        Listing,
        State, //
    }, //
};
use serde_json::json;
use tokio::time::{
    Instant,
    timeout, //
};

use crate::client::{
    self,
    Client,
    NO_ANSWER_WAIT,
    TIMEOUT,
    new_client, //
};

const ENTRY: &str = "e1";

/// Returns settings with a list that has no lag and shows one entry instance.
fn settings() -> Settings {
    let entry = Entry {
        id: ENTRY.parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        region: "north".parse().unwrap(),
        rack: "rack9".parse().unwrap(),
        address: "127.0.0.1:7001".parse().unwrap(),
        peer: "127.0.0.1:7002".parse().unwrap(),
    };
    Settings {
        entries: vec![entry],
        lag: Lag { list: 0, usage: 0 },
        ..client::settings()
    }
}

async fn list_entry(client: &Client, id: &str) -> Instance {
    let listing: Listing = client.get("/v1/instances").await.1.unwrap();
    let found = listing.instances.into_iter().find(|i| i.id == id);
    found.unwrap()
}

#[actix_web::test]
async fn the_list_shows_state_and_incarnation() {
    let target = || Select {
        workers: vec!["north-a-w000".parse().unwrap()],
        zones: Vec::new(),
    };
    let entry = |state, boot| Command::Entry {
        id: ENTRY.parse().unwrap(),
        state,
        boot,
    };
    let leave = |on| Command::Leaving {
        target: target(),
        on,
    };
    let worker = "north-a-w000";
    let cases = [
        (
            "crash",
            worker,
            vec![Command::Crash { target: target() }],
            State::Live,
            1,
        ),
        (
            "restart",
            worker,
            vec![Command::Restart { target: target() }],
            State::Live,
            2,
        ),
        ("leaving", worker, vec![leave(true)], State::Leaving, 1),
        (
            "staying",
            worker,
            vec![leave(true), leave(false)],
            State::Live,
            1,
        ),
        (
            "gone",
            worker,
            vec![Command::Gone { target: target() }],
            State::Gone,
            1,
        ),
        (
            "entry leaves",
            ENTRY,
            vec![entry(State::Leaving, None)],
            State::Leaving,
            1,
        ),
        (
            "entry returns",
            ENTRY,
            vec![entry(State::Live, Some(WorkerIncarnation(5)))],
            State::Live,
            5,
        ),
    ];
    for (name, id, commands, state, boot) in cases {
        let client = Client::start(&settings()).await;
        for command in commands {
            assert_eq!(client.command(&command).await, 200, "{name}");
        }
        let shown = list_entry(&client, id).await;
        assert_eq!(
            (shown.state, shown.incarnation),
            (state, WorkerIncarnation(boot)),
            "{name}"
        );
        client.stop().await;
    }
}

/// Appends an entry. Returns the status, or `None` if no answer comes.
async fn append(client: &Client, expected: Option<u16>) -> Option<u16> {
    let limit = if expected.is_none() {
        NO_ANSWER_WAIT
    } else {
        TIMEOUT
    };
    let url = format!("http://{}/v1/log/append", client.running.platform);
    let http = new_client();
    let sent = http.post(url).send_json(&json!({"payload": "entry"}));
    let answer = timeout(limit, sent).await.ok()?;
    answer.ok().map(|a| a.status().as_u16())
}

#[actix_web::test]
async fn an_append_without_a_good_answer_may_have_taken_effect() {
    let out = |mode| Command::Log { mode };
    let lose = |mode| Command::LoseAppends { count: 1, mode };
    let cases = [
        ("outage, refused", out(Mode::Refuse), Some(503), 0),
        ("outage, silent", out(Mode::Hang), None, 0),
        ("outage, closed", out(Mode::Drop), None, 0),
        ("answer lost, refused", lose(Mode::Refuse), Some(503), 1),
        ("answer lost, silent", lose(Mode::Hang), None, 1),
        ("answer lost, closed", lose(Mode::Drop), None, 1),
    ];
    for (name, command, status, entries) in cases {
        let client = Client::start(&settings()).await;
        client.command(&command).await;
        assert_eq!(append(&client, status).await, status, "{name}");
        client.command(&out(Mode::Up)).await;
        assert_eq!(client.read(0, 10, 0).await.entries.len(), entries, "{name}");
        assert_eq!(client.append("next").await.0, 200, "{name}");
        client.stop().await;
    }
}

#[actix_web::test]
async fn an_outage_of_the_list_does_not_affect_the_log() {
    let client = Client::start(&settings()).await;
    client.command(&Command::List { mode: Mode::Refuse }).await;
    assert_eq!(client.get::<Listing>("/v1/instances").await.0, 503);
    assert_eq!(client.append("entry").await.0, 200);
    client.command(&Command::List { mode: Mode::Up }).await;
    assert_eq!(client.get::<Listing>("/v1/instances").await.0, 200);
    client.stop().await;
}

#[actix_web::test]
async fn appends_wait_and_then_take_effect() {
    let client = Client::start(&settings()).await;
    client.command(&Command::DelayAppends { delay: 200 }).await;
    let start = Instant::now();
    assert_eq!(client.append("entry").await.0, 200);
    assert!(start.elapsed() >= Duration::from_millis(200));
    assert_eq!(client.read(0, 10, 0).await.entries.len(), 1);
    client.stop().await;
}

#[actix_web::test]
async fn platform_silence_affects_open_connections_only() {
    let client = Client::start(&settings()).await;
    let url = format!("http://{}/v1/instances", client.running.platform);
    let old = new_client();
    let first = old.get(&url).send().await.unwrap().body().await;
    assert!(!first.unwrap().is_empty());
    client.command(&Command::SilencePlatform).await;
    assert!(timeout(NO_ANSWER_WAIT, old.get(&url).send()).await.is_err());
    assert_eq!(list_entry(&client, ENTRY).await.state, State::Live);
    client.stop().await;
}
