//! Registry of open connections, which faults silence or close.

use std::{
    any::Any,
    net::{
        Shutdown,
        TcpStream, //
    },
    os::fd::AsFd,
    sync::{
        Arc,
        Mutex,
        Weak,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    }, //
};

use actix_web::rt::net;

use crate::standin::lock;

/// Growth of the registry, in entries, after which closed connections are removed from it.
const SWEEP_GROWTH: usize = 256;

/// One connection from a caller.
#[derive(Debug)]
pub struct Connection {
    /// Index of the worker; absent for the platform.
    pub worker: Option<usize>,
    silent: AtomicBool,
    socket: Option<TcpStream>,
}

impl Connection {
    /// Whether the connection delivers nothing more.
    #[must_use]
    pub fn silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }

    /// Shuts the connection's socket down in both directions.
    pub fn close(&self) {
        if let Some(socket) = &self.socket
            && let Err(e) = socket.shutdown(Shutdown::Both)
        {
            log::debug!(error:% = e; "connection was already closed");
        }
    }
}

/// Registry of all connections that may be open.
#[derive(Debug, Default)]
pub struct Registry {
    open: Mutex<(usize, Vec<Weak<Connection>>)>,
}

impl Registry {
    /// Adds a connection that the HTTP server has accepted.
    pub fn add(&self, io: &dyn Any, worker: Option<usize>) -> Arc<Connection> {
        let connection = Arc::new(Connection {
            worker,
            silent: AtomicBool::new(false),
            socket: duplicate_socket(io),
        });
        let mut open = lock(&self.open);
        if open.1.len() >= open.0 + SWEEP_GROWTH {
            open.1.retain(|c| c.strong_count() > 0);
            open.0 = open.1.len();
        }
        open.1.push(Arc::downgrade(&connection));
        connection
    }

    /// Silences the open connections that match `wanted` until they close. Returns their number.
    pub fn silence(&self, wanted: impl Fn(&Connection) -> bool) -> usize {
        let found = self.find(wanted);
        for connection in &found {
            connection.silent.store(true, Ordering::Release);
        }
        found.len()
    }

    /// Closes the open connections that match `wanted`. Returns their number.
    pub fn close(&self, wanted: impl Fn(&Connection) -> bool) -> usize {
        let found = self.find(wanted);
        for connection in &found {
            connection.close();
            connection.silent.store(false, Ordering::Release);
        }
        found.len()
    }

    fn find(&self, wanted: impl Fn(&Connection) -> bool) -> Vec<Arc<Connection>> {
        let open = lock(&self.open);
        let alive = open.1.iter().filter_map(Weak::upgrade);
        alive.filter(|c| wanted(c)).collect()
    }
}

/// Duplicates the handle of the connection's socket, so that it can be shut down from outside the
/// server.
fn duplicate_socket(io: &dyn Any) -> Option<TcpStream> {
    let stream = io.downcast_ref::<net::TcpStream>()?;
    let handle = stream.as_fd().try_clone_to_owned().ok()?;
    Some(TcpStream::from(handle))
}
