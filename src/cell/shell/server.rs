//! HTTP server: accepts connections and dispatches requests to the handler of their endpoint.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use actix_http::{
    HttpService,
    Method,
    Request,
    Response,
    StatusCode,
    body::BoxBody, //
};
use actix_service::{
    Service,
    ServiceFactory,
    fn_service, //
};
use bytes::Bytes;
use compact_str::CompactString;
use log::{
    debug,
    info, //
};
use tokio::net::TcpListener;

use crate::platform::api;

use super::{
    Error,
    Shared,
    body::{
        Body,
        Unread, //
    },
    connection::{
        Connection,
        PeerClosed, //
    },
    frontend,
    gate::Gate,
    guard::Guard,
    intake::Limit,
    peer, //
};

/// Idle timeout of connections between instances and of the platform's checks.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Timeout for receiving a request's header: the usual limit of the platform.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a body between instances, in bytes.
const MAX_PEER_BODY: usize = 4 << 20;

/// Purpose of a listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// Requests of callers.
    Callers,
    /// Readiness checks of the platform.
    Ready,
    /// Requests of other instances.
    Peers,
    /// Metrics for the operator.
    Admin,
}

/// An HTTP response before it is encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body of the message.
    pub body: Bytes,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// Creates a response with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body: body.into(),
            content_type: "application/json",
            retry_after: None,
        }
    }

    /// Creates a response with a plain-text body.
    #[must_use]
    pub fn text(status: u16, body: &str) -> Self {
        Self {
            status,
            body: Bytes::copy_from_slice(body.as_bytes()),
            content_type: "text/plain; charset=utf-8",
            retry_after: None,
        }
    }
}

/// Value of the `Retry-After` header of a request for which there was too little memory, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Response to a request whose body was not read to its end.
#[must_use]
pub fn unread(cause: Unread) -> Answer {
    match cause {
        Unread::Unfit => Answer::text(413, "the body is too large or was cut short\n"),
        Unread::GivenUp(Limit::BodyTime) => {
            Answer::text(408, "the body did not arrive in time; it does not run\n")
        }
        Unread::GivenUp(_) => {
            let mut answer = Answer::text(503, "too little memory; it does not run\n");
            answer.retry_after = Some(RETRY_AFTER_S);
            answer
        }
    }
}

/// A caller's request. It holds a key, and so is not for logs.
#[expect(missing_debug_implementations, reason = "the key must not be logged")]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL, without the query.
    pub path: String,
    /// Host header, without the port.
    pub host: String,
    /// Body of the message, which is read on demand.
    pub body: Body,
    /// Caller's timeout in milliseconds, if the request states one.
    pub timeout: Option<u64>,
    /// API key that the request carries.
    pub key: Option<CompactString>,
    /// Longest time for which the request may have waited to be read, in milliseconds.
    pub age: u64,
    /// Whether the caller has closed its side of the connection.
    pub peer_closed: PeerClosed,
}

/// Binds `address` and serves it in a background task.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(
    shared: &Rc<Shared>,
    address: SocketAddr,
    endpoint: Endpoint,
) -> Result<(), Error> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|e| Error::Io(format!("cannot listen on {address}"), e))?;
    info!(address:% = address, endpoint:? = endpoint; "listening");
    actix_rt::spawn(accept(shared.clone(), listener, endpoint));
    Ok(())
}

async fn accept(shared: Rc<Shared>, listener: TcpListener, endpoint: Endpoint) {
    let handler = shared.clone();
    let closing = shared.clone();
    let idle = match (endpoint, &*shared.catalog.borrow()) {
        (Endpoint::Callers, Some(catalog)) => catalog.limits.idle,
        _ => KEEP_ALIVE,
    };
    let guard = guard(&shared, endpoint).clone();
    let factory = HttpService::build()
        .keep_alive(idle)
        .client_request_timeout(HEADER_TIMEOUT)
        .graceful_shutdown_signal(move || closed(closing.clone()))
        .on_connect_ext(|connection: &Connection, data| {
            data.insert(connection.gate());
        })
        .h1(fn_service(move |request: Request| {
            let shared = handler.clone();
            async move { Ok::<_, actix_http::Error>(respond(shared, request, endpoint).await) }
        }));
    let Ok(service) = factory.new_service(()).await else {
        log::error!(endpoint:? = endpoint; "cannot create the HTTP service");
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    debug!("cannot set TCP_NODELAY: {e}");
                }
                let Some(gate) = guard.open().await else {
                    continue;
                };
                let service = service.clone();
                let key = gate.key();
                let connection = Connection::new(stream, gate);
                let task = actix_rt::spawn(async move {
                    if let Err(e) = service.call((connection, Some(peer))).await {
                        debug!(endpoint:? = endpoint; "connection failed: {e}");
                    }
                });
                guard.attach(key, task.abort_handle());
            }
            Err(e) => {
                log::warn!(endpoint:? = endpoint; "cannot accept a connection: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn closed(shared: Rc<Shared>) {
    while !shared.closed.get() {
        shared.closing.notified().await;
    }
}

fn guard(shared: &Shared, endpoint: Endpoint) -> &Rc<Guard> {
    match endpoint {
        Endpoint::Callers => &shared.guards.callers,
        Endpoint::Ready => &shared.guards.ready,
        Endpoint::Peers => &shared.guards.peers,
        Endpoint::Admin => &shared.guards.admin,
    }
}

async fn respond(
    shared: Rc<Shared>,
    mut request: Request,
    endpoint: Endpoint,
) -> Response<BoxBody> {
    let Some(gate) = request.conn_data::<Rc<Gate>>().cloned() else {
        return Response::internal_server_error();
    };
    let mut body = Body::of(&mut request, &gate, max_bytes(&shared, endpoint));
    let answer = match endpoint {
        Endpoint::Ready if request.path() == api::READY_PATH => frontend::ready(&shared),
        Endpoint::Callers => {
            let answer;
            (answer, body) = callers(&shared, &request, body, &gate).await;
            answer
        }
        Endpoint::Peers if request.path() != "/metrics" => {
            peers(&shared, &request, &mut body).await
        }
        _ if request.path() == "/metrics" => Answer::text(200, &shared.metrics.text()),
        _ => Answer::text(404, "no such page\n"),
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(status);
    response.insert_header(("content-type", answer.content_type));
    if let Some(seconds) = answer.retry_after {
        response.insert_header(("retry-after", seconds.to_string()));
    }
    let stopping = shared.stopping.get() && endpoint == Endpoint::Callers;
    let keeps = body.finish().await && !stopping;
    if !keeps {
        response.force_close();
    }
    gate.answered(keeps);
    response.body(answer.body).map_into_boxed_body()
}

/// Largest body of a request, in bytes.
fn max_bytes(shared: &Shared, endpoint: Endpoint) -> usize {
    match (endpoint, &*shared.catalog.borrow()) {
        (Endpoint::Callers, Some(catalog)) => catalog.limits.body,
        _ => MAX_PEER_BODY,
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head().headers.get(name)?.to_str().ok()
}

/// Counts a caller's request while it is in progress, but for the time in which its body is read.
pub(super) struct Active<'a>(&'a Shared);

impl<'a> Active<'a> {
    pub(super) fn begin(shared: &'a Shared) -> Self {
        shared.active.set(shared.active.get() + 1);
        Self(shared)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

async fn callers(
    shared: &Rc<Shared>,
    request: &Request,
    body: Body,
    gate: &Gate,
) -> (Answer, Body) {
    let host = header(request, "host")
        .or(request.uri().host())
        .unwrap_or_default();
    let mut caller_request = CallerRequest {
        method: request.method().clone(),
        path: request.path().to_owned(),
        host: host.split(':').next().unwrap_or_default().to_owned(),
        timeout: header(request, api::DEADLINE_HEADER).and_then(|text| text.parse().ok()),
        key: header(request, api::KEY_HEADER)
            .and_then(api::decode_key)
            .map(CompactString::from),
        age: shared.stalls.age(shared.now()),
        peer_closed: gate.peer_closed().clone(),
        body,
    };
    let answer = frontend::serve(shared, &mut caller_request).await;
    (answer, caller_request.body)
}

async fn peers(shared: &Rc<Shared>, request: &Request, body: &mut Body) -> Answer {
    let kind = peer::kind(request.path());
    if !peer::is_call(request.path()) {
        return Answer::text(404, "no such call\n");
    }
    let body = match body.read().await {
        Ok(body) => body,
        Err(cause) => return unread(cause),
    };
    shared.uplink.count_received(kind, body.len());
    let answer = peer::serve(shared, request.path(), &body).await;
    shared.uplink.count_sent(kind, answer.body.len());
    answer
}
