//! Connection of a caller, which notes that the caller has closed its side.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    }, //
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

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

/// TCP connection of a caller.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    peer_closed: PeerClosed,
}

impl Connection {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            peer_closed: PeerClosed::default(),
        }
    }

    /// Returns what tells whether the caller has closed its side.
    #[must_use]
    pub fn peer_closed(&self) -> PeerClosed {
        self.peer_closed.clone()
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let room = buf.remaining();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match read {
            Poll::Ready(Ok(())) if room > 0 && buf.filled().len() == before => {
                self.peer_closed.0.set(true);
            }
            Poll::Ready(Err(_)) => self.peer_closed.0.set(true),
            _ => {}
        }
        read
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
