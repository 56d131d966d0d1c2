//! A crowd of clients that all send the same bytes and read nothing.

use std::{
    io::{
        ErrorKind,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use super::site::Site;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a crowd that cannot send anything stops.
const QUIET_TIME: Duration = Duration::from_millis(700);

/// Longest time for which a crowd sends.
const SEND_TIME: Duration = Duration::from_secs(20);

/// Pause of a crowd that cannot send anything.
const PAUSE: Duration = Duration::from_millis(5);

/// A client, until the process closes its connection.
struct Client {
    stream: Option<TcpStream>,
    sent: usize,
}

/// Clients that stay connected until the crowd is dropped.
pub(super) struct Crowd {
    clients: Vec<Client>,
    message: Vec<u8>,
}

impl Crowd {
    /// Connects `count` clients, each of which is to send `message`.
    pub(super) fn connect(to: SocketAddr, count: usize, message: Vec<u8>) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).ok();
            let stream = stream.filter(|stream| stream.set_nonblocking(true).is_ok());
            Client { stream, sent: 0 }
        };
        Self {
            clients: (0..count).map(connect).collect(),
            message,
        }
    }

    /// Sends up to `piece` bytes of each client's message; returns whether a client sent any.
    pub(super) fn send_piece(&mut self, piece: usize) -> bool {
        let mut progress = false;
        for client in &mut self.clients {
            let Some(stream) = &mut client.stream else {
                continue;
            };
            let end = self.message.len().min(client.sent + piece);
            if client.sent == end {
                continue;
            }
            match stream.write(&self.message[client.sent..end]) {
                Ok(count) => {
                    client.sent += count;
                    progress = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => client.stream = None,
            }
        }
        progress
    }

    /// Sends the messages in pieces, until nothing more can be sent.
    pub(super) fn send(&mut self, site: &mut Site, piece: usize) {
        let began = Instant::now();
        let mut moved = Instant::now();
        while moved.elapsed() < QUIET_TIME && began.elapsed() < SEND_TIME {
            if self.send_piece(piece) {
                moved = Instant::now();
            } else {
                thread::sleep(PAUSE);
            }
            site.sample();
        }
    }
}
