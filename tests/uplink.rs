//! Tests of the pace of bulk messages on an instance's link, and of the estimate of round trips.

use std::{
    rc::Rc,
    time::Duration, //
};

use bamboolock::remote::{
    round_trips::RoundTrips,
    uplink::{
        Kind,
        Uplink, //
    }, //
};
use tokio::time::{
    self,
    Instant, //
};

/// A link of 2 Mbit/s, in bytes per second.
const LINK: u64 = 250_000;

/// Size of a start command with a long specification, in bytes.
const START: usize = 3_000;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_starts_does_not_fill_the_queue_of_the_link() {
    let uplink = Rc::new(Uplink::new(Some(LINK)));
    let began = Instant::now();
    for _ in 0..65 {
        uplink.turn(Kind::Start, START).await;
        // What the link has not sent yet delays a heartbeat that is sent now.
        assert!(uplink.backlog() < ms(40), "{:?}", uplink.backlog());
        uplink.count_sent(Kind::Start, START);
    }
    let least = Duration::from_secs_f64(65.0 * START as f64 / LINK as f64);
    assert!(began.elapsed() + ms(40) > least, "faster than the link");
    assert!(began.elapsed() < least * 2, "the link idles");
}

#[tokio::test(start_paused = true)]
async fn bulk_messages_are_sent_in_their_order() {
    let local = tokio::task::LocalSet::new();
    let uplink = Rc::new(Uplink::new(Some(LINK)));
    let sent = Rc::new(std::cell::RefCell::new(Vec::new()));
    for n in 0..10 {
        let (uplink, sent) = (uplink.clone(), sent.clone());
        local.spawn_local(async move {
            uplink.turn(Kind::Start, START).await;
            uplink.count_sent(Kind::Start, START);
            sent.borrow_mut().push(n);
        });
    }
    local.await;
    assert_eq!(*sent.borrow(), (0..10).collect::<Vec<_>>());
    assert!(uplink.room(ms(1)) < 500, "the link is not free yet");
    time::sleep(ms(100)).await;
    assert_eq!(uplink.backlog(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_message_no_longer_counts_as_backlog() {
    let uplink = Uplink::new(Some(LINK));
    uplink.count_sent(Kind::Start, 100_000);
    let turn = time::timeout(ms(10), uplink.turn(Kind::Start, 1_000_000)).await;
    assert!(turn.is_err());
    time::sleep(ms(1_000)).await;
    assert_eq!(uplink.backlog(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_link_without_a_limit_is_never_waited_for() {
    let uplink = Uplink::new(None);
    let began = Instant::now();
    for _ in 0..1_000 {
        uplink.turn(Kind::Start, START).await;
        uplink.count_sent(Kind::Start, START);
    }
    assert_eq!(began.elapsed(), Duration::ZERO);
    assert_eq!(uplink.room(ms(1)), usize::MAX);
}

#[test]
fn the_timeout_follows_a_path_that_gets_busy_and_is_bounded() {
    let mut path = RoundTrips::new(ms(250), ms(1_500));
    assert_eq!(path.timeout(), ms(250), "nothing is known yet");
    for _ in 0..20 {
        path.observe(ms(25));
    }
    assert_eq!(path.timeout(), ms(250), "a fast path keeps the floor");
    path.observe(ms(700));
    path.observe(ms(700));
    assert!(path.timeout() > ms(700), "{:?}", path.timeout());
    for _ in 0..20 {
        path.observe(ms(5_000));
    }
    assert_eq!(path.timeout(), ms(1_500), "a real loss is still noticed");
    for _ in 0..60 {
        path.observe(ms(25));
    }
    assert_eq!(path.timeout(), ms(250), "the path is fast again");
}
