//! A loopback proxy that delays, resets, silences and refuses connections.

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

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16_384;

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Mode {
    /// It passes everything on.
    #[default]
    Pass,
    /// It passes everything on late.
    Delay(Duration),
    /// Nothing comes through, and the connections that see it stay silent for good.
    Silent,
    /// Requests come through, answers do not.
    OneWay,
    /// Open connections are reset and new ones too.
    Refuse,
}

/// A proxy that runs until the process ends.
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

    /// Resets the open connections, and no later ones.
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
            // Dropped with a reset where the caller has sent already.
            continue;
        }
        tokio::spawn(relay(caller, target, mode.clone()));
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // A failure leaves only the packets of small messages delayed.
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

/// Ends at the first change that resets connections, also one that is over already.
async fn wait_for_reset(mut mode: watch::Receiver<Mode>) {
    loop {
        let before = *mode.borrow_and_update();
        if before == Mode::Refuse || mode.changed().await.is_err() {
            return;
        }
        // A reset is two changes that may be seen as one without an effect.
        if *mode.borrow() == Mode::Pass && before == Mode::Pass {
            return;
        }
    }
}

/// Passes one direction on. Bytes that were swallowed would arrive later on a real network, so
/// that a connection that has lost some is dead in both directions.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    answers: bool,
    dead: &AtomicBool,
    mode: watch::Receiver<Mode>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(len @ 1..) = from.read(&mut chunk).await {
        let now = *mode.borrow();
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
        // The end of a silent connection is not heard either.
        std::future::pending().await
    }
}
