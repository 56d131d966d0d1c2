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
const MAX_RESPONSE_BYTES: usize = 16 << 20;

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
    pub content_type: CompactString,
    /// The caller's key.
    pub idempotency_key: Option<IdempotencyKey>,
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
    pub receiver: Receiver,
    /// Nothing is sent after this point: the placement lease may lapse.
    pub send_deadline: Instant,
    /// After this time the exchange counts as silent, though it goes on.
    pub timeout: Duration,
    /// After this time the exchange ends.
    pub abort_after: Duration,
    /// Whether a new connection must be opened: earlier ones may have gone silent.
    pub new_connection: bool,
}

/// The kind of receiver.
#[derive(Debug, Clone)]
pub enum Receiver {
    /// A backend server on a worker that this instance holds.
    Worker(Token),
    /// Another entry instance.
    Peer {
        /// This instance.
        from: CompactString,
        /// The time left for the request, in milliseconds.
        remaining: u64,
    },
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Its content type.
    pub content_type: CompactString,
    /// Its body, whole.
    pub body: Bytes,
    /// Whether the work ran, by the receiver's word.
    pub ran: Ran,
}

/// How an exchange ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A whole answer to this request came back.
    Complete(Response),
    /// Nothing was sent, or the receiver says it did not run.
    NotRun,
    /// The receiver says it did not run since the token is not the current one.
    Fenced,
    /// Something may have been sent, and no whole answer came in time.
    Aborted,
    /// Something may have been sent, and the exchange broke off.
    ConnectionLost,
}

thread_local! {
    /// One client for each address, sorted by address.
    static CLIENTS: RefCell<Vec<(CompactString, awc::Client)>> = const { RefCell::new(Vec::new()) };
}

/// The thread's client for an address, made at first use.
fn client(address: &CompactString, idle: Duration) -> awc::Client {
    CLIENTS.with_borrow_mut(|clients| {
        match clients.binary_search_by(|(known, _)| known.cmp(address)) {
            Ok(index) => clients[index].1.clone(),
            Err(index) => {
                let client = link::client(idle);
                clients.insert(index, (address.clone(), client.clone()));
                client
            }
        }
    })
}

/// Leaves all of the thread's connections to an address behind.
pub fn drop_client(address: &CompactString) {
    CLIENTS.with_borrow_mut(|clients| clients.retain(|(known, _)| known != address));
}

/// Sends a message once and waits for its whole answer.
pub async fn send(message: &Message, route: &Route, zone: &ZoneId, idle: Duration) -> Outcome {
    if Instant::now() >= route.send_deadline {
        return Outcome::NotRun;
    }
    if route.new_connection {
        drop_client(&route.address);
    }
    let exchange = perform(message, route, zone, idle);
    let Ok(outcome) = tokio::time::timeout(route.abort_after, exchange).await else {
        drop_client(&route.address);
        return Outcome::Aborted;
    };
    outcome
}

async fn perform(message: &Message, route: &Route, zone: &ZoneId, idle: Duration) -> Outcome {
    let client = client(&route.address, idle);
    let request = build_request(&client, message, route, zone);
    let mut response = match request.send_body(message.body.clone()).await {
        Ok(response) => response,
        Err(e) if link::unsent(&e) => return Outcome::NotRun,
        Err(_) => return Outcome::ConnectionLost,
    };
    let ran = parse_ran(response.headers());
    let status = response.status();
    if ran == Ran::No && status == StatusCode::PRECONDITION_FAILED {
        return Outcome::Fenced;
    }
    if ran == Ran::No {
        return Outcome::NotRun;
    }
    let echoed_id = header_text(response.headers(), wire::REQUEST_HEADER);
    let content_type = header_text(response.headers(), "content-type");
    let declared_length = header_text(response.headers(), "content-length").parse();
    let Ok(body) = response.body().limit(MAX_RESPONSE_BYTES).await else {
        return Outcome::ConnectionLost;
    };
    // The HTTP library takes a body that ends early for a whole one.
    if declared_length != Ok(body.len()) || echoed_id != message.id.as_str() {
        return Outcome::ConnectionLost;
    }
    Outcome::Complete(Response {
        status,
        content_type,
        body,
        ran,
    })
}

fn build_request(
    client: &awc::Client,
    message: &Message,
    route: &Route,
    zone: &ZoneId,
) -> awc::ClientRequest {
    let path = match route.receiver {
        Receiver::Worker(_) => "serve",
        Receiver::Peer { .. } => "requests",
    };
    let uri = format!("http://{}/v1/{path}/{}", route.address, message.profile);
    let mut request = client
        .post(uri)
        .insert_header((wire::ZONE_HEADER, zone.as_str()))
        .insert_header((wire::REQUEST_HEADER, message.id.as_str()))
        .insert_header(("content-type", message.content_type.as_str()));
    if !message.idempotent {
        request = request.insert_header((wire::NONIDEMPOTENT_HEADER, "yes"));
    }
    if let Some(key) = &message.idempotency_key {
        request = request.insert_header((wire::KEY_HEADER, key.as_str()));
    }
    match &route.receiver {
        Receiver::Worker(token) => request
            .insert_header((wire::TOKEN_HEADER, token.0))
            .insert_header((wire::DEMAND_HEADER, format_demand(&message.demand))),
        Receiver::Peer { from, remaining } => request
            .insert_header((wire::FORWARD_HEADER, from.as_str()))
            .insert_header((wire::DEADLINE_HEADER, *remaining)),
    }
}

fn header_text(headers: &awc::http::header::HeaderMap, name: &str) -> CompactString {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().into()
}

fn parse_ran(headers: &awc::http::header::HeaderMap) -> Ran {
    match header_text(headers, wire::RAN_HEADER).as_str() {
        "yes" => Ran::Yes,
        "no" => Ran::No,
        _ => Ran::Unknown,
    }
}

/// A demand as the header carries it.
fn format_demand(demand: &Resources) -> String {
    demand.parts().map(|part| part.to_string()).join(",")
}
