//! HTTP server: accepts connections and dispatches requests to the handler of their endpoint.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use actix_http::{
    BoxedPayloadStream,
    HttpService,
    Method,
    Payload,
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
use bytes::{
    Bytes,
    BytesMut, //
};
use compact_str::CompactString;
use futures_util::StreamExt;
use log::{
    debug,
    info, //
};
use tokio::net::TcpListener;

use crate::platform::api;

use super::{
    Error,
    Shared,
    connection::{
        Connection,
        PeerClosed, //
    },
    frontend,
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

/// A caller's request after its body has been read. It holds a key, and so is not for logs.
#[expect(missing_debug_implementations, reason = "the key must not be logged")]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL, without the query.
    pub path: String,
    /// Host header, without the port.
    pub host: String,
    /// Body of the message.
    pub body: Bytes,
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
    let factory = HttpService::build()
        .keep_alive(idle)
        .client_request_timeout(HEADER_TIMEOUT)
        .graceful_shutdown_signal(move || closed(closing.clone()))
        .on_connect_ext(|connection: &Connection, data| {
            data.insert(connection.peer_closed());
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
                let service = service.clone();
                actix_rt::spawn(async move {
                    let connection = Connection::new(stream);
                    if let Err(e) = service.call((connection, Some(peer))).await {
                        debug!(endpoint:? = endpoint; "connection failed: {e}");
                    }
                });
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

async fn respond(shared: Rc<Shared>, request: Request, endpoint: Endpoint) -> Response<BoxBody> {
    let answer = match endpoint {
        Endpoint::Ready if request.path() == api::READY_PATH => frontend::ready(&shared),
        Endpoint::Callers => callers(&shared, request).await,
        Endpoint::Peers if request.path() != "/metrics" => peers(&shared, request).await,
        _ if request.path() == "/metrics" => Answer::text(200, &shared.metrics.text()),
        _ => Answer::text(404, "no such page\n"),
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::build(status);
    response.insert_header(("content-type", answer.content_type));
    if let Some(seconds) = answer.retry_after {
        response.insert_header(("retry-after", seconds.to_string()));
    }
    if shared.stopping.get() && endpoint == Endpoint::Callers {
        response.force_close();
    }
    response.body(answer.body).map_into_boxed_body()
}

/// Reads a body; returns `None` if it exceeds `max_bytes` or is incomplete.
async fn read_body(mut payload: Payload<BoxedPayloadStream>, max_bytes: usize) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > max_bytes {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.head().headers.get(name)?.to_str().ok()
}

async fn callers(shared: &Rc<Shared>, mut request: Request) -> Answer {
    let max_bytes = shared
        .catalog
        .borrow()
        .as_ref()
        .map_or(MAX_PEER_BODY, |c| c.limits.body);
    let payload = request.take_payload();
    let Some(body) = read_body(payload, max_bytes).await else {
        return Answer::text(413, "the body is too large or was cut short\n");
    };
    let host = header(&request, "host")
        .or(request.uri().host())
        .unwrap_or_default();
    let caller_request = CallerRequest {
        method: request.method().clone(),
        path: request.path().to_owned(),
        host: host.split(':').next().unwrap_or_default().to_owned(),
        timeout: header(&request, api::DEADLINE_HEADER).and_then(|text| text.parse().ok()),
        key: header(&request, api::KEY_HEADER)
            .and_then(api::decode_key)
            .map(CompactString::from),
        age: shared.stalls.age(shared.now()),
        peer_closed: request
            .conn_data::<PeerClosed>()
            .cloned()
            .unwrap_or_default(),
        body,
    };
    shared.active.set(shared.active.get() + 1);
    let answer = frontend::serve(shared, caller_request).await;
    shared.active.set(shared.active.get() - 1);
    answer
}

async fn peers(shared: &Rc<Shared>, mut request: Request) -> Answer {
    let payload = request.take_payload();
    let Some(body) = read_body(payload, MAX_PEER_BODY).await else {
        return Answer::text(413, "the body is too large or was cut short\n");
    };
    let kind = peer::kind(request.path());
    shared.uplink.count_received(kind, body.len());
    let answer = peer::serve(shared, request.path(), &body).await;
    shared.uplink.count_sent(kind, answer.body.len());
    answer
}
