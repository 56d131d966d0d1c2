//! Log without faults: offsets, retention, limits and waiting reads.

use bamboolock::{
    ids::Offset,
    standin::settings::{
        self,
        Settings, //
    }, //
};

use crate::client::{
    self,
    Client, //
};

fn limited(rate: u32, retention: u32) -> Settings {
    let log = settings::Log {
        rate,
        retention,
        entry: 64,
    };
    Settings {
        log,
        ..client::settings()
    }
}

#[actix_web::test]
async fn offsets_rise_by_one_and_entries_come_back_in_order() {
    let client = Client::start(&client::settings()).await;
    for expected in 0..5 {
        let (status, appended) = client.append(&format!("entry {expected}")).await;
        assert_eq!((status, appended.unwrap().offset), (200, Offset(expected)));
    }
    let page = client.read(1, 3, 0).await;
    let got: Vec<_> = page
        .entries
        .iter()
        .map(|e| (e.offset.0, e.payload.as_str()))
        .collect();
    assert_eq!(got, [(1, "entry 1"), (2, "entry 2"), (3, "entry 3")]);
    assert_eq!((page.first, page.next), (Offset(0), Offset(5)));
    client.stop().await;
}

#[actix_web::test]
async fn retention_drops_the_oldest_and_the_page_shows_it() {
    let client = Client::start(&limited(1_000, 3)).await;
    for _ in 0..5 {
        client.append("entry").await;
    }
    let page = client.read(0, 10, 0).await;
    assert_eq!((page.first, page.next), (Offset(2), Offset(5)));
    assert_eq!(page.entries.len(), 3);
    client.stop().await;
}

#[actix_web::test]
async fn appends_above_the_rate_are_refused_and_take_no_effect() {
    let client = Client::start(&limited(4, 100)).await;
    let mut taken = 0;
    let mut refused = 0;
    for _ in 0..20 {
        match client.append("entry").await.0 {
            200 => taken += 1,
            429 => refused += 1,
            other => panic!("status {other}"),
        }
    }
    assert!(refused > 0);
    assert_eq!(client.read(0, 100, 0).await.entries.len(), taken);
    let counters = client.verdict().counters;
    assert_eq!(
        (counters.appends, counters.limited),
        (taken as u64, refused)
    );
    client.stop().await;
}

#[actix_web::test]
async fn an_entry_above_the_limit_is_refused() {
    let client = Client::start(&limited(100, 100)).await;
    assert_eq!(client.append(&"x".repeat(65)).await.0, 413);
    assert_eq!(client.append(&"x".repeat(64)).await.0, 200);
    client.stop().await;
}

#[actix_web::test]
async fn a_read_waits_for_the_first_entry() {
    let client = Client::start(&client::settings()).await;
    let (page, _) = futures_util::join!(client.read(0, 10, 20_000), client.append("late"));
    assert_eq!(page.entries.len(), 1);
    client.stop().await;
}
