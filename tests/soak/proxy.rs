//! Loopback proxy that delays, resets, silences and refuses connections.

use std::{
    net::SocketAddr,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        }, //
    },
    sync::watch,
    time, //
};

/// Largest number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16_384;

/// Treatment of connections by a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Mode {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes are forwarded after a delay.
    Delay(Duration),
    /// Nothing is forwarded; a connection that has lost bytes stays silent until it is reset.
    Silent,
    /// Requests are forwarded, answers are dropped.
    OneWay,
    /// Requests are forwarded, answers wait until the mode changes.
    Hold,
    /// Open and new connections are reset.
    Refuse,
}

/// Proxy that runs until the test process ends.
pub(super) struct Proxy {
    pub(super) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub(super) fn start(target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (mode, modes) = watch::channel(Mode::Pass);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            runtime.unwrap().block_on(serve(listener, target, modes));
        });
        Self { address, mode }
    }

    pub(super) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Resets the open connections; later ones work.
    pub(super) fn reset(&self) {
        self.set(Mode::Refuse);
        self.set(Mode::Pass);
    }
}

async fn serve(listener: std::net::TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            continue;
        };
        if *mode.borrow() == Mode::Refuse {
            // The drop resets the connection if the caller has already sent something.
            continue;
        }
        tokio::spawn(relay(caller, target, mode.clone()));
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // If this fails, small messages are merely delayed.
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let dead = AtomicBool::new(false);
    let requests = forward(from_caller, to_server, false, &dead, mode.clone());
    let answers = forward(from_server, to_caller, true, &dead, mode.clone());
    tokio::select! {
        ((), ()) = async { tokio::join!(requests, answers) } => {}
        () = wait_for_reset(mode) => {}
    }
}

/// Waits for a change of the mode that resets connections, or for one that has been undone already.
async fn wait_for_reset(mut mode: watch::Receiver<Mode>) {
    loop {
        let before = *mode.borrow_and_update();
        if before == Mode::Refuse || mode.changed().await.is_err() {
            return;
        }
        // `reset` makes two changes, which may be observed as one without an effect.
        if *mode.borrow() == Mode::Pass && before == Mode::Pass {
            return;
        }
    }
}

/// Forwards one direction of a connection. On a real network dropped bytes would be retransmitted
/// and arrive later, so a connection that has lost some is dead in both directions.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    answers: bool,
    dead: &AtomicBool,
    mut mode: watch::Receiver<Mode>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(len @ 1..) = from.read(&mut chunk).await {
        let now = match mode.wait_for(|mode| !answers || *mode != Mode::Hold).await {
            Ok(mode) => *mode,
            Err(_) => return,
        };
        if now == Mode::Silent || now == Mode::OneWay && answers {
            dead.store(true, Ordering::Relaxed);
        }
        if dead.load(Ordering::Relaxed) {
            continue;
        }
        if let Mode::Delay(span) = now {
            time::sleep(span).await;
        }
        if to.write_all(&chunk[..len]).await.is_err() {
            break;
        }
    }
    if dead.load(Ordering::Relaxed) {
        // The close of a dead connection does not reach the other side either.
        std::future::pending().await
    }
}
