//! HTTP routes of the platform: the log and the list of instances.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    HttpRequest,
    HttpResponse,
    web, //
};
use tokio::time;

use crate::{
    ids::Offset,
    standin::{
        connection::Connection,
        faults,
        lock,
        shared::Shared, //
    },
    wire::log::{
        Append,
        Appended,
        Page,
        Read, //
    }, //
};

/// Largest number of entries in one answer.
const MAX_ENTRIES: u32 = 10_000;

/// Longest wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Registers the routes of the platform.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/log/append", web::post().to(append))
        .route("/log/read", web::get().to(read))
        .route("/instances", web::get().to(instances));
}

/// Appends an entry: 200 with its offset, 413 if it is too large, 429 above the rate limit.
async fn append(
    req: HttpRequest,
    shared: web::Data<Shared>,
    body: web::Json<Append>,
) -> HttpResponse {
    let delay = lock(&shared.faults).platform.delay;
    if delay > 0 {
        shared.sleep(Duration::from_millis(delay)).await;
    }
    let payload = body.into_inner().payload;
    if payload.len() > lock(&shared.log).max_entry_bytes() {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let Some(offset) = append_entry(&shared, payload) else {
        return HttpResponse::TooManyRequests().finish();
    };
    match next_loss(&shared) {
        faults::Mode::Up => HttpResponse::Ok().json(Appended { offset }),
        mode => withhold_answer(&req, &shared, mode).await,
    }
}

fn append_entry(shared: &Shared, payload: String) -> Option<Offset> {
    let now = shared.now();
    let at = shared.clock.wall(now);
    let offset = lock(&shared.log).append(now, at, payload);
    let counters = &mut lock(&shared.world).judge.counters;
    if offset.is_none() {
        counters.limited += 1;
        return None;
    }
    counters.appends += 1;
    shared.appended.notify_waiters();
    offset
}

/// Returns how the answer to this append is lost; [`faults::Mode::Up`] if it is not.
fn next_loss(shared: &Shared) -> faults::Mode {
    let platform = &mut lock(&shared.faults).platform;
    if platform.lose == 0 {
        return faults::Mode::Up;
    }
    platform.lose -= 1;
    platform.loss
}

/// Withholds the answer to an append that took effect.
async fn withhold_answer(req: &HttpRequest, shared: &Shared, mode: faults::Mode) -> HttpResponse {
    lock(&shared.world).judge.counters.lost += 1;
    if mode == faults::Mode::Hang {
        let changed = shared.changed.notified();
        if !shared.stopping() {
            changed.await;
        }
    }
    let connection = req.conn_data::<Arc<Connection>>();
    if mode != faults::Mode::Refuse
        && let Some(connection) = connection
    {
        connection.close();
    }
    HttpResponse::ServiceUnavailable().finish()
}

/// Returns entries from an offset on; waits for the first one as long as the query allows.
async fn read(shared: web::Data<Shared>, query: web::Query<Read>) -> HttpResponse {
    lock(&shared.world).judge.counters.reads += 1;
    let wait = Duration::from_millis(query.wait.min(MAX_WAIT_MS));
    let page = match time::timeout(wait, wait_for_entries(&shared, &query)).await {
        Ok(page) => page,
        Err(_) => lock(&shared.log).read(query.from, query.max.min(MAX_ENTRIES)),
    };
    HttpResponse::Ok().json(page)
}

/// Waits for a page that has entries or shows that retention dropped some.
async fn wait_for_entries(shared: &Shared, query: &Read) -> Page {
    loop {
        let appended = shared.appended.notified();
        let page = lock(&shared.log).read(query.from, query.max.min(MAX_ENTRIES));
        let ready = !page.entries.is_empty() || page.first > query.from;
        if ready || query.max == 0 || shared.stopping() {
            return page;
        }
        appended.await;
    }
}

/// Returns the list of instances as it was one lag ago.
async fn instances(shared: web::Data<Shared>) -> HttpResponse {
    lock(&shared.world).judge.counters.lists += 1;
    let mut listing = lock(&shared.list).snapshot(shared.now());
    listing.at = shared.clock.wall(listing.at);
    HttpResponse::Ok().json(listing)
}
