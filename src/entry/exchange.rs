//! One exchange of a request with a backend server or with another entry instance.

use std::{
    cell::RefCell,
    time::Duration, //
};

use actix_web::http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use tokio::time::Instant;

use crate::{
    ids::{
        IdempotencyKey,
        RequestId,
        Token,
        ZoneId, //
    },
    kernel::WorkerKey,
    remote::link,
    resources::Resources,
    wire::{
        self,
        caller::Ran, //
    }, //
};

/// Largest answer that is passed on, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// What is sent.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request.
    pub id: RequestId,
    /// Its profile, as it stands in the path.
    pub profile: CompactString,
    /// Its body.
    pub body: Bytes,
    /// The caller's content type.
    pub content: CompactString,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// What it takes at a worker.
    pub demand: Resources,
}

/// Where it is sent, and within which bounds.
#[derive(Debug, Clone)]
pub struct Route {
    /// `IP:port`.
    pub address: CompactString,
    /// The worker, if it is one that this instance holds.
    pub worker: Option<WorkerKey>,
    /// What the receiver needs to know.
    pub via: Via,
    /// Nothing is sent after this point: the placement lease may lapse.
    pub until: Instant,
    /// After this time the exchange counts as silent, though it goes on.
    pub timeout: Duration,
    /// After this time the exchange ends.
    pub limit: Duration,
    /// Whether a new connection must be opened: earlier ones may have gone silent.
    pub fresh: bool,
}

/// The kind of receiver.
#[derive(Debug, Clone)]
pub enum Via {
    /// A backend server on a worker that this instance holds.
    Worker(Token),
    /// Another entry instance.
    Peer {
        /// This instance.
        from: CompactString,
        /// The time left for the request, in milliseconds.
        left: u64,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Its content type.
    pub content: CompactString,
    /// Its body, whole.
    pub body: Bytes,
    /// Whether the work ran, by the receiver's word.
    pub ran: Ran,
}

/// How an exchange ended.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole answer to this request came back.
    Whole(Answer),
    /// Nothing was sent, or the receiver says it did not run.
    NotRun,
    /// The receiver says it did not run since the token is not the current one.
    Fenced,
    /// Something may have been sent, and no whole answer came in time.
    Silent,
    /// Something may have been sent, and the exchange broke off.
    Cut,
}

thread_local! {
    /// One client for each address, sorted by address.
    static CLIENTS: RefCell<Vec<(CompactString, awc::Client)>> = const { RefCell::new(Vec::new()) };
}

/// The thread's client for an address, made at first use.
fn client(address: &CompactString, idle: Duration) -> awc::Client {
    CLIENTS.with_borrow_mut(|clients| {
        match clients.binary_search_by(|(known, _)| known.cmp(address)) {
            Ok(at) => clients[at].1.clone(),
            Err(at) => {
                let fresh = link::client(idle);
                clients.insert(at, (address.clone(), fresh.clone()));
                fresh
            }
        }
    })
}

/// Leaves all of the thread's connections to an address behind.
pub fn forget(address: &CompactString) {
    CLIENTS.with_borrow_mut(|clients| clients.retain(|(known, _)| known != address));
}

/// Sends a message once and waits for its whole answer.
pub async fn send(message: &Message, route: &Route, zone: &ZoneId, idle: Duration) -> End {
    if Instant::now() >= route.until {
        return End::NotRun;
    }
    if route.fresh {
        forget(&route.address);
    }
    let exchange = exchange(message, route, zone, idle);
    let Ok(end) = tokio::time::timeout(route.limit, exchange).await else {
        forget(&route.address);
        return End::Silent;
    };
    end
}

async fn exchange(message: &Message, route: &Route, zone: &ZoneId, idle: Duration) -> End {
    let client = client(&route.address, idle);
    let request = prepare(&client, message, route, zone);
    let mut answer = match request.send_body(message.body.clone()).await {
        Ok(answer) => answer,
        Err(e) if link::unsent(&e) => return End::NotRun,
        Err(_) => return End::Cut,
    };
    let ran = ran(answer.headers());
    let status = answer.status();
    if ran == Ran::No && status == StatusCode::PRECONDITION_FAILED {
        return End::Fenced;
    }
    if ran == Ran::No {
        return End::NotRun;
    }
    let echoed = text(answer.headers(), wire::REQUEST_HEADER);
    let content = text(answer.headers(), "content-type");
    let announced = text(answer.headers(), "content-length").parse();
    let Ok(body) = answer.body().limit(MAX_ANSWER).await else {
        return End::Cut;
    };
    // The HTTP library takes a body that ends early for a whole one.
    if announced != Ok(body.len()) || echoed != message.id.as_str() {
        return End::Cut;
    }
    End::Whole(Answer {
        status,
        content,
        body,
        ran,
    })
}

fn prepare(
    client: &awc::Client,
    message: &Message,
    route: &Route,
    zone: &ZoneId,
) -> awc::ClientRequest {
    let path = match route.via {
        Via::Worker(_) => "serve",
        Via::Peer { .. } => "requests",
    };
    let uri = format!("http://{}/v1/{path}/{}", route.address, message.profile);
    let mut request = client
        .post(uri)
        .insert_header((wire::ZONE_HEADER, zone.as_str()))
        .insert_header((wire::REQUEST_HEADER, message.id.as_str()))
        .insert_header(("content-type", message.content.as_str()));
    if !message.idempotent {
        request = request.insert_header((wire::NONIDEMPOTENT_HEADER, "yes"));
    }
    if let Some(key) = &message.key {
        request = request.insert_header((wire::KEY_HEADER, key.as_str()));
    }
    match &route.via {
        Via::Worker(token) => request
            .insert_header((wire::TOKEN_HEADER, token.0))
            .insert_header((wire::DEMAND_HEADER, demand(&message.demand))),
        Via::Peer { from, left } => request
            .insert_header((wire::FORWARD_HEADER, from.as_str()))
            .insert_header((wire::DEADLINE_HEADER, *left)),
    }
}

fn text(headers: &awc::http::header::HeaderMap, name: &str) -> CompactString {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

fn ran(headers: &awc::http::header::HeaderMap) -> Ran {
    match text(headers, wire::RAN_HEADER).as_str() {
        "yes" => Ran::Yes,
        "no" => Ran::No,
        _ => Ran::Unknown,
    }
}

/// A demand as the header carries it.
fn demand(demand: &Resources) -> String {
    demand.parts().map(|part| part.to_string()).join(",")
}
