//! Body of a request, which is read only where its handler wants it.

use std::{
    future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Instant, //
};

use actix_http::{
    BoxedPayloadStream,
    HttpMessage,
    Payload,
    Request,
    header, //
};
use bytes::Bytes;
use futures_util::Stream;

use super::{
    gate::Gate,
    intake::{
        Limit,
        framing::Framing, //
    }, //
};

/// First piece of a body that is charged, in bytes; each further one doubles the total.
const FIRST_PIECE: usize = 16 << 10;

/// Size up to which a body that is not wanted is discarded if it has arrived, in bytes, so that the
/// connection can be kept.
const MAX_DISCARDED: u64 = 8 << 10;

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It exceeds the limit, or its client has closed the connection.
    Unfit,
    /// A limit was reached while it arrived.
    GivenUp(Limit),
}

/// Body of a request.
#[expect(missing_debug_implementations, reason = "the payload has none")]
pub struct Body {
    gate: Rc<Gate>,
    payload: Option<Payload<BoxedPayloadStream>>,
    framing: Framing,
    max_bytes: usize,
    /// Time for which it has waited for memory, in milliseconds.
    waited: u64,
}

fn framing(request: &Request, payload: &Payload<BoxedPayloadStream>) -> Framing {
    if matches!(payload, Payload::None) {
        return Framing::Done;
    }
    if request.chunked().unwrap_or(false) {
        return Framing::CHUNKED;
    }
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.trim().parse().ok());
    length.map_or(Framing::UntilEnd, Framing::length)
}

impl Body {
    /// Takes the body of a request, of which at most `max_bytes` are read.
    pub(super) fn of(request: &mut Request, gate: &Rc<Gate>, max_bytes: usize) -> Self {
        let payload = request.take_payload();
        let framing = framing(request, &payload);
        gate.begin(framing);
        Self {
            gate: gate.clone(),
            payload: (!framing.is_done()).then_some(payload),
            framing,
            max_bytes,
            waited: 0,
        }
    }

    /// Time for which the body has waited for memory, in milliseconds.
    #[must_use]
    pub fn waited(&self) -> u64 {
        self.waited
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns why it was not read to its end.
    pub async fn read(&mut self) -> Result<Vec<u8>, Unread> {
        let most = match self.framing {
            Framing::Length(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
            // One byte more tells that the body exceeds the limit.
            _ => self.max_bytes.saturating_add(1),
        };
        if self.payload.is_none() {
            return Ok(Vec::new());
        }
        if matches!(self.framing, Framing::Length(_)) && most > self.max_bytes {
            return Err(Unread::Unfit);
        }
        self.gate.guard().begin_body(self.gate.key(), most);
        let (mut body, mut charged) = (Vec::new(), 0_usize);
        loop {
            if body.len() > self.max_bytes {
                return Err(Unread::Unfit);
            }
            if body.len() == charged && charged < most {
                let next = charged.saturating_mul(2).max(FIRST_PIECE).min(most);
                self.charge(next - charged).await?;
                body.reserve_exact(next - body.len());
                charged = next;
                self.gate.allow(charged);
            }
            match self.next().await? {
                Some(chunk) => body.extend_from_slice(&chunk),
                None => break,
            }
        }
        self.payload = None;
        self.gate.body_read();
        Ok(body)
    }

    /// Reads the body and discards it.
    ///
    /// # Errors
    ///
    /// Returns why it was not read to its end.
    pub async fn discard(&mut self) -> Result<(), Unread> {
        if self.payload.is_none() {
            return Ok(());
        }
        self.gate.allow(usize::MAX);
        let mut len = 0_usize;
        while let Some(chunk) = self.next().await? {
            len += chunk.len();
            if len > self.max_bytes {
                return Err(Unread::Unfit);
            }
        }
        self.payload = None;
        self.gate.body_read();
        Ok(())
    }

    /// Discards what is left of the body if it has arrived; returns whether nothing is left.
    pub(super) async fn finish(&mut self) -> bool {
        if let Framing::Length(len) = self.gate.framing()
            && len <= MAX_DISCARDED
            && len <= self.gate.ahead() as u64
            && self.gate.given_up().is_none()
        {
            return self.discard().await.is_ok();
        }
        self.payload.is_none()
    }

    /// Charges the request with `bytes` in place of its body, which was read; returns whether there is
    /// room.
    #[must_use]
    pub fn replace_charge(&self, bytes: usize) -> bool {
        let gate = &self.gate;
        let granted = gate.guard().replace(gate.key(), bytes);
        if !granted {
            gate.guard().note(Limit::Bytes);
        }
        granted
    }

    /// Charges the body with `bytes` more once there is room.
    async fn charge(&mut self, bytes: usize) -> Result<(), Unread> {
        if self.gate.charge(bytes) {
            return Ok(());
        }
        let began = Instant::now();
        let gate = &self.gate;
        let granted = future::poll_fn(|cx| {
            gate.store_waker(cx.waker());
            match (gate.given_up(), gate.is_granted()) {
                (Some(limit), _) => Poll::Ready(Err(Unread::GivenUp(limit))),
                (None, true) => Poll::Ready(Ok(())),
                (None, false) => Poll::Pending,
            }
        });
        let granted = granted.await;
        self.waited += began.elapsed().as_millis() as u64;
        granted
    }

    /// Returns the next bytes of the body, or `None` at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, Unread> {
        let (gate, payload) = (&self.gate, &mut self.payload);
        let chunk = future::poll_fn(|cx| poll_chunk(gate, payload.as_mut(), cx));
        let chunk = chunk.await?;
        if let Some(chunk) = &chunk {
            gate.take(chunk.len());
        }
        Ok(chunk)
    }
}

fn poll_chunk(
    gate: &Gate,
    payload: Option<&mut Payload<BoxedPayloadStream>>,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, Unread>> {
    let Some(payload) = payload else {
        return Poll::Ready(Ok(None));
    };
    if let Some(limit) = gate.given_up() {
        return Poll::Ready(Err(Unread::GivenUp(limit)));
    }
    match Pin::new(payload).poll_next(cx) {
        Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Ok(Some(chunk))),
        Poll::Ready(Some(Err(_))) => Poll::Ready(Err(Unread::Unfit)),
        Poll::Ready(None) => Poll::Ready(Ok(None)),
        Poll::Pending => Poll::Pending,
    }
}
