//! List of instances and its lag, under a simulated clock and over HTTP.

use bamboolock::{
    ids::{
        Millis, //
        WorkerIncarnation,
    },
    standin::{
        list::List,
        settings::Entry, //
    },
    wire::list::{
        Instance,
        Listing,
        Role,
        State, //
    }, //
};

use crate::client::{
    self,
    Client, //
};

/// Lag of the list, in milliseconds.
const LAG_MS: u64 = 1_000;

fn list() -> List {
    let instance = Instance {
        id: "w1".into(),
        role: Role::Worker,
        zone: "north-a".parse().unwrap(),
        region: "north".parse().unwrap(),
        rack: "rack1".parse().unwrap(),
        address: "127.0.0.1:1".into(),
        peer: "".into(),
        state: State::Live,
        incarnation: WorkerIncarnation(1),
    };
    List::new(vec![instance], LAG_MS)
}

fn shown(list: &List, now: u64) -> (State, WorkerIncarnation) {
    let instance = &list.snapshot(Millis(now)).instances[0];
    (instance.state, instance.incarnation)
}

#[test]
fn changes_show_after_the_lag() {
    let mut list = list();
    assert!(list.change(Millis(5_000), "w1", State::Leaving, None));
    assert!(list.change(Millis(6_000), "w1", State::Live, Some(WorkerIncarnation(2))));
    let cases = [
        (5_999, State::Live, 1),
        (6_000, State::Leaving, 1),
        (6_999, State::Leaving, 1),
        (7_000, State::Live, 2),
    ];
    for (now, state, boot) in cases {
        assert_eq!(
            shown(&list, now),
            (state, WorkerIncarnation(boot)),
            "at {now}"
        );
    }
    assert!(!list.change(Millis(7_000), "w2", State::Gone, None));
}

#[test]
fn a_frozen_list_shows_an_old_state_and_its_time() {
    let mut list = list();
    list.change(Millis(5_000), "w1", State::Gone, None);
    list.freeze(Millis(5_500), true);
    assert_eq!(shown(&list, 60_000).0, State::Live);
    assert_eq!(list.snapshot(Millis(60_000)).at, Millis(4_500));
    list.freeze(Millis(60_000), false);
    assert_eq!(shown(&list, 60_000).0, State::Gone);
}

#[actix_web::test]
async fn the_list_names_workers_and_entry_instances_sorted() {
    let entry = Entry {
        id: "a-entry".parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        region: "north".parse().unwrap(),
        rack: "rack9".parse().unwrap(),
        address: "127.0.0.1:7001".parse().unwrap(),
        peer: "127.0.0.1:7002".parse().unwrap(),
    };
    let mut settings = client::settings();
    settings.entries.push(entry);
    let client = Client::start(&settings).await;
    let listing: Listing = client.get("/v1/instances").await.1.unwrap();
    let ids: Vec<_> = listing.instances.iter().map(|i| i.id.as_str()).collect();
    let workers = [
        "north-a-w000",
        "north-a-w001",
        "north-b-w002",
        "north-b-w003",
    ];
    assert_eq!(ids[0], "a-entry");
    assert_eq!(ids[1..5], workers);
    assert_eq!(listing.instances[1].address, client.worker(0).to_string());
    assert_eq!(
        (listing.instances[0].role, listing.instances[1].role),
        (Role::Entry, Role::Worker)
    );
    client.stop().await;
}
