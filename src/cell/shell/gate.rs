//! What the input and output of a connection and the handler of its request share: how much of what
//! the client sends may be delivered to the HTTP library.

use std::{
    cell::RefCell,
    rc::Rc,
    task::Waker, //
};

use super::{
    connection::PeerClosed,
    guard::Guard,
    intake::{
        ConnectionKey,
        Limit,
        connections::Stage,
        framing::Framing, //
    }, //
};

/// Bytes of a body that are delivered ahead of its handler.
const WINDOW: usize = 16 << 10;

/// What is delivered to the HTTP library.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The next head, once it is complete.
    Head,
    /// Nothing, while a request is handled.
    Held,
    /// The body of the request.
    Body,
    /// The end of the connection.
    Closing,
}

/// What is known of a connection. Of a body, `taken` bytes have left the HTTP library, `delivered` bytes
/// have entered it, and at most `charged` bytes may; `ahead` bytes wait here.
#[derive(Debug)]
struct State {
    phase: Phase,
    /// Rest of the body.
    framing: Framing,
    /// Bytes of the body that may be delivered.
    charged: usize,
    /// Bytes of the body that were delivered.
    delivered: usize,
    /// Bytes of the body that the handler has taken.
    taken: usize,
    /// Bytes that were read from the client and not delivered.
    ahead: usize,
    /// Whether there is something to deliver, and no wake-up by the client will follow.
    withheld: bool,
    granted: bool,
    given_up: Option<Limit>,
    waker: Option<Waker>,
}

/// State that the two sides of a connection share.
#[derive(Debug)]
pub struct Gate {
    guard: Rc<Guard>,
    key: ConnectionKey,
    peer_closed: PeerClosed,
    state: RefCell<State>,
}

impl Gate {
    pub(super) fn new(guard: Rc<Guard>, key: ConnectionKey) -> Self {
        Self {
            guard,
            key,
            peer_closed: PeerClosed::default(),
            state: RefCell::new(State {
                phase: Phase::Head,
                framing: Framing::Done,
                charged: 0,
                delivered: 0,
                taken: 0,
                ahead: 0,
                withheld: false,
                granted: false,
                given_up: None,
                waker: None,
            }),
        }
    }

    /// Returns the key of the connection.
    pub(super) fn key(&self) -> ConnectionKey {
        self.key
    }

    pub(super) fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Returns what tells whether the caller has closed its side.
    pub(super) fn peer_closed(&self) -> &PeerClosed {
        &self.peer_closed
    }

    pub(super) fn phase(&self) -> Phase {
        self.state.borrow().phase
    }

    pub(super) fn store_waker(&self, waker: &Waker) {
        let mut state = self.state.borrow_mut();
        match &mut state.waker {
            Some(known) => known.clone_from(waker),
            none => *none = Some(waker.clone()),
        }
    }

    /// Wakes the task of the connection.
    pub(super) fn wake(&self) {
        if let Some(waker) = &self.state.borrow().waker {
            waker.wake_by_ref();
        }
    }

    fn wake_if_withheld(&self) {
        let withheld = std::mem::take(&mut self.state.borrow_mut().withheld);
        if withheld {
            self.wake();
        }
    }

    // The side of the connection.

    /// Notes that a part of a head has arrived.
    pub(super) fn head_begins(&self) {
        self.guard.enter(self.key, Stage::Head);
    }

    /// Charges a head of which `bytes` have arrived; returns whether there is room.
    pub(super) fn charge_head(&self, bytes: usize) -> bool {
        self.guard.charge_head(self.key, bytes)
    }

    /// Notes that a complete head was delivered, with `ahead` bytes after it that were read already.
    pub(super) fn head_delivered(&self, ahead: usize) {
        let mut state = self.state.borrow_mut();
        state.phase = Phase::Held;
        state.ahead = ahead;
        drop(state);
        // The library may still reject the head.
        self.guard.enter(self.key, Stage::Head);
    }

    /// Notes whether the connection has something to deliver later.
    pub(super) fn withhold(&self, withheld: bool) {
        self.state.borrow_mut().withheld = withheld;
    }

    /// Number of bytes of the body that may be delivered now.
    pub(super) fn room(&self) -> usize {
        let state = self.state.borrow();
        let window = state.taken.saturating_add(WINDOW);
        state.charged.min(window).saturating_sub(state.delivered)
    }

    /// Number of bytes to read for a body: none of another request if its length is known.
    pub(super) fn wanted(&self) -> usize {
        match self.state.borrow().framing {
            Framing::Length(left) => self.room().min(usize::try_from(left).unwrap_or(usize::MAX)),
            _ => self.room(),
        }
    }

    /// Takes the part of `bytes` that belongs to the body and may be delivered; returns its length.
    pub(super) fn accept(&self, bytes: &[u8]) -> usize {
        let room = self.room();
        let mut state = self.state.borrow_mut();
        let (len, data) = state.framing.accept(bytes, room);
        state.delivered += data;
        if state.framing.is_done() {
            state.phase = Phase::Held;
        }
        drop(state);
        if len > 0 {
            self.guard.body_progress(self.key);
        }
        len
    }

    /// Discards the part of `bytes` that belongs to a body which is not wanted; returns whether the
    /// body is complete.
    pub(super) fn discard(&self, bytes: &[u8]) -> bool {
        let mut state = self.state.borrow_mut();
        state.framing.accept(bytes, usize::MAX);
        state.framing.is_done()
    }

    /// Notes that the client does not take an answer, or takes it again.
    pub(super) fn answer_blocked(&self, blocked: bool) {
        let stage = match (blocked, self.phase()) {
            (true, _) => Stage::Answer,
            (false, Phase::Head) => Stage::Idle,
            (false, Phase::Body) => Stage::Body,
            (false, Phase::Held) => Stage::Serving,
            (false, Phase::Closing) => Stage::Closing,
        };
        self.guard.enter(self.key, stage);
    }

    // The side of the handler.

    /// Notes that the handler has got a request, with what its body consists of.
    pub(super) fn begin(&self, framing: Framing) {
        let mut state = self.state.borrow_mut();
        state.framing = framing;
        (state.charged, state.delivered, state.taken) = (0, 0, 0);
        drop(state);
        self.guard.enter(self.key, Stage::Serving);
    }

    /// Rest of the body.
    pub(super) fn framing(&self) -> Framing {
        self.state.borrow().framing
    }

    /// Number of bytes after the head that were read with it.
    pub(super) fn ahead(&self) -> usize {
        self.state.borrow().ahead
    }

    /// Lets the body be delivered, up to `bytes` in all.
    pub(super) fn allow(&self, bytes: usize) {
        let mut state = self.state.borrow_mut();
        let first = state.phase == Phase::Held && !state.framing.is_done();
        state.charged = bytes;
        if first {
            state.phase = Phase::Body;
            state.withheld = true;
        }
        drop(state);
        if first {
            self.guard.enter(self.key, Stage::Body);
        }
        self.wake_if_withheld();
    }

    /// Notes that the handler has taken `bytes` more of the body.
    pub(super) fn take(&self, bytes: usize) {
        self.state.borrow_mut().taken += bytes;
        self.wake_if_withheld();
    }

    /// Notes that the handler has read the body to its end. The framing does not tell this: the
    /// library may expect more than it says.
    pub(super) fn body_read(&self) {
        self.guard.body_complete(self.key);
    }

    /// Asks for `bytes` of the budget; returns whether they are granted now.
    pub(super) fn charge(&self, bytes: usize) -> bool {
        let granted = self.guard.charge(self.key, bytes);
        self.state.borrow_mut().granted = granted;
        if !granted {
            self.guard.enter(self.key, Stage::Waiting);
        }
        granted
    }

    /// Whether bytes that the handler waits for were granted meanwhile.
    pub(super) fn is_granted(&self) -> bool {
        self.state.borrow().granted
    }

    /// Limit because of which the body is given up.
    pub(super) fn given_up(&self) -> Option<Limit> {
        self.state.borrow().given_up
    }

    /// Notes that the request is answered; `keeps` says whether the next one may follow.
    pub(super) fn answered(&self, keeps: bool) {
        let mut state = self.state.borrow_mut();
        (state.phase, state.given_up) = match keeps {
            true => (Phase::Head, None),
            false => (Phase::Closing, state.given_up),
        };
        state.withheld |= !keeps;
        drop(state);
        self.guard.release(self.key);
        let stage = if keeps { Stage::Idle } else { Stage::Closing };
        self.guard.enter(self.key, stage);
        self.wake_if_withheld();
    }

    // The side of the guard.

    /// Notes that bytes were granted that the handler waits for.
    pub(super) fn grant(&self) {
        self.state.borrow_mut().granted = true;
        self.guard.enter(self.key, Stage::Body);
        self.wake();
    }

    /// Gives the body up because of a limit.
    pub(super) fn give_up(&self, limit: Limit) {
        self.state.borrow_mut().given_up.get_or_insert(limit);
        self.wake();
    }
}
