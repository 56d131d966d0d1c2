//! Sends one request to a backend server or to another entry instance and reads the response.

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

/// Largest response that is passed on, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Request to send.
#[derive(Debug, Clone)]
pub struct Message {
    /// Id of the request; the receiver echoes it in the response.
    pub id: RequestId,
    /// Name of the request's profile, as used in the path.
    pub profile: CompactString,
    /// Body of the request.
    pub body: Bytes,
    /// Content type that the caller sent.
    pub content_type: CompactString,
    /// Idempotency key of the caller, if any.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Resources that the request uses at a worker.
    pub demand: Resources,
}

/// Destination of a request, with the time limits of the exchange.
#[derive(Debug, Clone)]
pub struct Route {
    /// Address of the receiver, as `IP:port`.
    pub address: CompactString,
    /// The worker, if this instance holds its placement lease; `None` for a peer.
    pub worker: Option<WorkerKey>,
    /// Kind of receiver, with the headers that depend on it.
    pub receiver: Receiver,
    /// Nothing is sent after this point, because the placement lease may have expired.
    pub send_deadline: Instant,
    /// Time after which the attempt counts as timed out; the exchange continues.
    pub timeout: Duration,
    /// Time after which the exchange is aborted.
    pub abort_after: Duration,
    /// Whether to open a new connection, because established ones may have stalled without an
    /// error.
    pub new_connection: bool,
}

/// Kind of receiver.
#[derive(Debug, Clone)]
pub enum Receiver {
    /// A backend server on a worker whose placement lease this instance holds.
    Worker(Token),
    /// Another entry instance.
    Peer {
        /// Id of this instance.
        from: CompactString,
        /// Time left for the request, in milliseconds.
        remaining: u64,
    },
}

/// Complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Content type of the response.
    pub content_type: CompactString,
    /// Complete body of the response.
    pub body: Bytes,
    /// Whether the work ran, as reported by the receiver.
    pub ran: Ran,
}

/// Outcome of an exchange.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A complete response to this request arrived.
    Complete(Response),
    /// Nothing was sent, or the receiver reports that the request did not run.
    NotRun,
    /// The receiver reports that the request did not run, because the fencing token is not current.
    Fenced,
    /// Something may have been sent, and no complete response arrived in time.
    Aborted,
    /// Something may have been sent, and the exchange failed before the response was complete.
    ConnectionLost,
}

thread_local! {
    /// One HTTP client for each address, sorted by address.
    static CLIENTS: RefCell<Vec<(CompactString, awc::Client)>> = const { RefCell::new(Vec::new()) };
}

/// Returns the thread's client for an address; creates the client at first use.
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

/// Drops the thread's client for an address and with it all connections to the address.
pub fn drop_client(address: &CompactString) {
    CLIENTS.with_borrow_mut(|clients| clients.retain(|(known, _)| known != address));
}

/// Sends a request once and waits for its complete response.
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
    // The HTTP library reports a truncated body as complete, so the length is checked here.
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

/// Formats a demand as the value of the demand header.
fn format_demand(demand: &Resources) -> String {
    demand.parts().map(|part| part.to_string()).join(",")
}
