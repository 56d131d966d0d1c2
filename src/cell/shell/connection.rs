//! Connection of a client, which delivers one request at a time to the HTTP library.
//!
//! The library parses all that it reads, and each parsed request takes about 4 KB. So it gets one
//! complete head, then the body as far as its handler has room for it, and the next head once the
//! request is answered and the answer is written. Meanwhile the connection reads a little ahead, to
//! notice that the client has closed its side.

use std::{
    cell::Cell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

use bytes::{
    Buf,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

use super::{
    gate::{
        Gate,
        Phase, //
    },
    intake::{
        Limit,
        framing::{
            Framing,
            HeadScan, //
        }, //
    }, //
};

/// Size of a read for heads, and of what is read ahead, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Size of the buffer that an idle connection keeps, in bytes.
const KEPT_BYTES: usize = 4 << 10;

/// Bytes of a body that is not of a known length that are delivered before the library parses them. It
/// keeps an entry of 32 bytes for each chunk, also for one of 6 bytes, and the buffer for the lines
/// between the chunks, which the window of the body does not count.
const CHUNKS_TURN: usize = 4 << 10;

/// Bytes that are discarded at once from a client whose body is not wanted.
const DISCARD_TURN: usize = 64 << 10;

/// Bytes that are discarded in all from such a client: more than the usual largest body, so that its
/// client reads the answer before it notices the end of the connection.
const MAX_DISCARDED: usize = 512 << 10;

/// Whether the caller has closed its side of a connection.
#[derive(Debug, Clone, Default)]
pub struct PeerClosed(Rc<Cell<bool>>);

impl PeerClosed {
    /// Whether all that the caller sent has been read, and nothing more can follow.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.get()
    }
}

/// TCP connection of a client.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    gate: Rc<Gate>,
    /// Bytes that were read and not delivered.
    ahead: BytesMut,
    scan: HeadScan,
    /// Length of the complete head at the start of `ahead` that is being delivered; 0 for none.
    head: usize,
    /// Whether the time for the present head has begun.
    timed: bool,
    /// Bytes of a body that were delivered since the library parsed last.
    turn: usize,
    /// Whether nothing more can be read.
    ended: bool,
    /// Whether the client has not taken all of an answer.
    blocked: bool,
    /// Whether the side of the process is closed.
    shut: bool,
    /// Bytes discarded while closing.
    discarded: usize,
}

impl Connection {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream, gate: Rc<Gate>) -> Self {
        Self {
            stream,
            gate,
            ahead: BytesMut::new(),
            scan: HeadScan::default(),
            head: 0,
            timed: false,
            turn: 0,
            ended: false,
            blocked: false,
            shut: false,
            discarded: 0,
        }
    }

    /// Returns what the connection shares with the handlers of its requests.
    #[must_use]
    pub fn gate(&self) -> Rc<Gate> {
        self.gate.clone()
    }

    fn note_end(&mut self) {
        self.ended = true;
        self.gate.peer_closed().0.set(true);
    }

    /// Removes `len` bytes from the start of `ahead`.
    fn consume(&mut self, len: usize) {
        self.ahead.advance(len);
        if self.ahead.is_empty() && self.ahead.capacity() > KEPT_BYTES {
            self.ahead = BytesMut::new();
        }
    }

    /// Delivers the next head once it is complete.
    fn poll_head(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.blocked {
            // Goes on when the answer before is written.
            self.gate.withhold(true);
            return Poll::Pending;
        }
        if self.head == 0
            && let Some(len) = self.scan.end(&self.ahead)
        {
            self.head = len;
        }
        if self.head == 0 && !self.ahead.is_empty() {
            // It was read ahead, while the request before was handled.
            self.begin_head();
        }
        loop {
            if self.head > 0 {
                let len = self.head.min(buf.remaining());
                buf.put_slice(&self.ahead[..len]);
                self.consume(len);
                self.head -= len;
                if self.head == 0 {
                    self.end_head();
                }
                return Poll::Ready(Ok(()));
            }
            if self.ahead.len() > self.gate.guard().head_bytes {
                return Poll::Ready(Err(self.refuse(Limit::HeadBytes)));
            }
            if self.ended {
                // The library rejects a head that is cut short.
                let len = self.ahead.len().min(buf.remaining());
                buf.put_slice(&self.ahead[..len]);
                self.consume(len);
                return Poll::Ready(Ok(()));
            }
            let mut scratch = [MaybeUninit::uninit(); READ_BYTES];
            let mut part = ReadBuf::uninit(&mut scratch);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
            let bytes = part.filled();
            if bytes.is_empty() {
                self.note_end();
                continue;
            }
            let first = self.ahead.is_empty();
            if first && let Some(len) = self.scan.end(bytes) {
                if len <= buf.remaining() {
                    buf.put_slice(&bytes[..len]);
                    self.ahead.extend_from_slice(&bytes[len..]);
                    self.end_head();
                    return Poll::Ready(Ok(()));
                }
                self.head = len;
            }
            self.ahead.extend_from_slice(bytes);
            if self.head == 0 {
                self.head = self.scan.end(&self.ahead).unwrap_or(0);
            }
            self.begin_head();
            if !self.gate.charge_head(self.ahead.len()) {
                return Poll::Ready(Err(self.refuse(Limit::Bytes)));
            }
        }
    }

    /// Begins the time for a head at its first byte.
    fn begin_head(&mut self) {
        if !self.timed {
            self.timed = true;
            self.gate.head_begins();
        }
    }

    /// Notes that a complete head was delivered.
    fn end_head(&mut self) {
        self.timed = false;
        self.gate.head_delivered(self.ahead.len());
    }

    fn refuse(&self, limit: Limit) -> io::Error {
        self.gate.guard().note(limit);
        io::Error::new(io::ErrorKind::InvalidData, limit.label())
    }

    /// Reads a little ahead, to notice the end of the connection. Delivers nothing.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.ended && self.ahead.len() < READ_BYTES {
            let mut scratch = [MaybeUninit::uninit(); READ_BYTES];
            let mut part = ReadBuf::uninit(&mut scratch[..READ_BYTES - self.ahead.len()]);
            match Pin::new(&mut self.stream).poll_read(cx, &mut part) {
                Poll::Pending => break,
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Ready(Ok(())) if part.filled().is_empty() => self.note_end(),
                Poll::Ready(Ok(())) => self.ahead.extend_from_slice(part.filled()),
            }
        }
        let withheld = self.ended || !self.ahead.is_empty();
        self.gate.withhold(withheld);
        Poll::Pending
    }

    /// Delivers the body as far as its handler has room for it.
    fn poll_body(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.gate.room() == 0 {
            self.gate.withhold(true);
            return Poll::Pending;
        }
        let most = match self.gate.framing() {
            Framing::Length(_) => usize::MAX,
            _ => CHUNKS_TURN.saturating_sub(self.turn),
        };
        if most == 0 {
            // The library parses what it has before it reads again.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if !self.ahead.is_empty() {
            let len = self.ahead.len().min(buf.remaining()).min(most);
            let len = self.gate.accept(&self.ahead[..len]);
            buf.put_slice(&self.ahead[..len]);
            self.consume(len);
            self.turn += len;
            return Poll::Ready(Ok(()));
        }
        if self.ended {
            return Poll::Ready(Ok(()));
        }
        let want = self.gate.wanted().min(buf.remaining()).min(most);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(want));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled();
        if bytes.is_empty() {
            self.note_end();
            return Poll::Ready(Ok(()));
        }
        let len = self.gate.accept(bytes);
        self.ahead.extend_from_slice(&bytes[len..]);
        buf.advance(len);
        self.turn += len;
        Poll::Ready(Ok(()))
    }

    /// Discards what the client still sends, so that it reads the answer before it notices the end
    /// of the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut done = self.gate.discard(&self.ahead);
        self.ahead = BytesMut::new();
        let turn = self.discarded + DISCARD_TURN;
        while !done && !self.ended && self.discarded < MAX_DISCARDED {
            if self.discarded >= turn {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let mut scratch = [MaybeUninit::uninit(); READ_BYTES];
            let mut part = ReadBuf::uninit(&mut scratch);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part)) {
                Ok(()) if !part.filled().is_empty() => {
                    self.discarded += part.filled().len();
                    done = self.gate.discard(part.filled());
                }
                _ => self.ended = true,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.guard().close(self.gate.key());
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let read = match this.gate.phase() {
            Phase::Head => this.poll_head(cx, buf),
            Phase::Held => this.poll_ahead(cx),
            Phase::Body => this.poll_body(cx, buf),
            Phase::Closing => Poll::Ready(Ok(())),
        };
        match &read {
            Poll::Pending => {
                this.turn = 0;
                this.gate.store_waker(cx.waker());
            }
            Poll::Ready(Err(_)) => this.gate.peer_closed().0.set(true),
            Poll::Ready(Ok(())) => {}
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        let blocked = match &written {
            Poll::Ready(Ok(len)) => *len < buf.len(),
            Poll::Ready(Err(_)) => return written,
            Poll::Pending => true,
        };
        if blocked != this.blocked {
            this.blocked = blocked;
            this.gate.answer_blocked(blocked);
            if !blocked {
                // The next head may have been held back.
                cx.waker().wake_by_ref();
            }
        } else if blocked && written.is_ready() {
            this.gate.guard().answer_progress(this.gate.key());
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.shut {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.shut = true;
        }
        match this.gate.phase() {
            Phase::Closing => this.poll_discard(cx),
            _ => Poll::Ready(Ok(())),
        }
    }
}
