//! Stateful fuzzing of publishers, readers, outages, lost answers, late copies, retention,
//! snapshots, restarts and peers against the order of the log.

use std::{
    sync::{
        Arc,
        RwLock, //
    },
    time::Duration, //
};

use bamboolock::{
    ids::{
        Incarnation,
        Millis,
        Offset, //
    },
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        follower::Follower,
        queue::{
            Item,
            Queue, //
        },
        reassembly,
        record,
        state::State, //
    },
    wire::{
        caller::Ran,
        log,
        peer, //
    }, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        RngSeed, //
    },
};
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::Instant;

use crate::{
    common::{
        answer,
        author,
        batch,
        body,
        change,
        id,
        key,
        part,
        verdict, //
    },
    oracle::Oracle, //
};

const NODES: usize = 3;
const NAMES: [&str; 2] = ["checks", "letters"];
const KEYS: [&str; 2] = ["k1", "k2"];

/// What a profile change carries.
#[derive(Debug, Clone, Copy)]
enum Content {
    Good(u8),
    Unreadable,
    Nothing,
}

/// What becomes of an append.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    RequestLost,
    NotConnected,
    Late,
}

/// One operation. Indices are taken modulo what there is.
#[derive(Debug, Clone)]
enum Op {
    Publish {
        node: usize,
        name: usize,
        shift: i32,
        content: Content,
    },
    Repeat {
        node: usize,
        ticket: usize,
    },
    Hold {
        node: usize,
        key: usize,
    },
    Answer {
        node: usize,
        key: usize,
        ran: Ran,
    },
    Send {
        node: usize,
        fate: Fate,
    },
    Deliver {
        copy: usize,
    },
    Fetch {
        node: usize,
        most: usize,
    },
    Arrive {
        node: usize,
    },
    Ask {
        from: usize,
        to: usize,
    },
    Feed {
        to: usize,
    },
    Snapshot {
        node: usize,
    },
    Retain {
        entries: usize,
    },
    Restart {
        node: usize,
    },
    Expire {
        node: usize,
    },
    Pass {
        hours: u64,
    },
    Garbage {
        kind: usize,
    },
}

/// The oracle is the log itself; the generator needs no state.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let node = 0..NODES;
        let content = prop_oneof![
            6 => (0..10_u8).prop_map(Content::Good),
            1 => Just(Content::Unreadable),
            1 => Just(Content::Nothing),
        ];
        let fate = prop_oneof![
            6 => Just(Fate::Answered),
            2 => Just(Fate::AnswerLost),
            1 => Just(Fate::RequestLost),
            1 => Just(Fate::NotConnected),
            2 => Just(Fate::Late),
        ];
        let ran = prop_oneof![Just(Ran::Yes), Just(Ran::No), Just(Ran::Unknown)];
        let index = any::<usize>();
        prop_oneof![
            8 => (node.clone(), 0..2_usize, -1..2_i32, content)
                .prop_map(|(node, name, shift, content)| Op::Publish { node, name, shift, content }),
            2 => (node.clone(), index).prop_map(|(node, ticket)| Op::Repeat { node, ticket }),
            4 => (node.clone(), 0..2_usize).prop_map(|(node, key)| Op::Hold { node, key }),
            4 => (node.clone(), 0..2_usize, ran)
                .prop_map(|(node, key, ran)| Op::Answer { node, key, ran }),
            12 => (node.clone(), fate).prop_map(|(node, fate)| Op::Send { node, fate }),
            3 => any::<usize>().prop_map(|copy| Op::Deliver { copy }),
            12 => (node.clone(), 1..6_usize).prop_map(|(node, most)| Op::Fetch { node, most }),
            12 => node.clone().prop_map(|node| Op::Arrive { node }),
            4 => (node.clone(), node.clone()).prop_map(|(from, to)| Op::Ask { from, to }),
            4 => node.clone().prop_map(|to| Op::Feed { to }),
            3 => node.clone().prop_map(|node| Op::Snapshot { node }),
            2 => (1..5_usize).prop_map(|entries| Op::Retain { entries }),
            2 => node.clone().prop_map(|node| Op::Restart { node }),
            3 => node.prop_map(|node| Op::Expire { node }),
            1 => (1..30_u64).prop_map(|hours| Op::Pass { hours }),
            1 => (0..40_usize).prop_map(|kind| Op::Garbage { kind }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

/// One instance.
struct Node {
    follower: Follower,
    queue: Queue<usize>,
    now: Instant,
    /// A page that is on its way, and the offset that it was asked from.
    page: Option<(Offset, log::Page)>,
    /// What a peer sent, on its way.
    tail: Option<peer::Tail>,
    /// The highest version seen of each name in this life.
    versions: [u32; 2],
}

impl Node {
    fn new(index: usize, life: u64) -> Self {
        let by = record::Author {
            incarnation: Incarnation(life),
            ..author(&format!("i{index}"))
        };
        Self {
            follower: Follower::new(Arc::new(RwLock::new(State::new()))),
            queue: Queue::new(by, 3),
            now: Instant::now(),
            page: None,
            tail: None,
            versions: [0; 2],
        }
    }
}

/// What a waiting party asked for and was told.
struct Ticket {
    record: Value,
    /// Whether it was told that nothing was written.
    dropped: bool,
}

struct Machine {
    entries: Vec<log::Entry>,
    first: usize,
    clock: u64,
    copies: Vec<String>,
    nodes: Vec<Node>,
    lives: u64,
    tickets: Vec<Ticket>,
    /// Accepted changes as parties were told: name, base and change.
    accepted: Vec<(String, u64, String)>,
    oracle: Oracle,
    /// The full replay after each number of entries.
    replay: Vec<State>,
}

impl Machine {
    fn new() -> Self {
        Self {
            entries: Vec::new(),
            first: 0,
            clock: 1_000,
            copies: Vec::new(),
            nodes: (0..NODES).map(|i| Node::new(i, 0)).collect(),
            lives: 0,
            tickets: Vec::new(),
            accepted: Vec::new(),
            oracle: Oracle::default(),
            replay: vec![State::new()],
        }
    }

    fn append(&mut self, payload: &str) {
        let entry = log::Entry {
            offset: Offset(self.entries.len() as u64),
            at: Millis(self.clock),
            payload: payload.to_owned(),
        };
        let readable = serde_json::from_str::<record::Batch>(payload).ok();
        let readable = readable.filter(|b| b.format <= record::FORMAT);
        let records = readable.map_or_else(Vec::new, |b| b.records);
        for ticket in self.tickets.iter().filter(|t| t.dropped) {
            assert!(
                !records.contains(&ticket.record),
                "told as not written: {}",
                ticket.record
            );
        }
        self.oracle.append(&records, self.clock);
        let mut state = self.replay.last().unwrap().clone();
        state.apply(&entry);
        self.oracle.check(&state);
        self.replay.push(state);
        self.entries.push(entry);
        self.clock += 1;
    }

    fn push(&mut self, node: usize, record: Value) {
        // Asked for anew, it may be written after all.
        for ticket in self.tickets.iter_mut().filter(|t| t.record == record) {
            ticket.dropped = false;
        }
        let node = &mut self.nodes[node];
        node.queue.push(Item {
            reply: self.tickets.len(),
            records: vec![record.clone()],
            deadline: node.now + Duration::from_secs(3),
        });
        self.tickets.push(Ticket {
            record,
            dropped: false,
        });
    }

    fn publish(&mut self, node: usize, name: usize, shift: i32, content: Content) {
        let current = self.version(node, name);
        let base = current.saturating_add_signed(shift);
        let body = match content {
            Content::Good(priority) => body(priority),
            Content::Unreadable => json!(5),
            Content::Nothing => Value::Null,
        };
        let unique = format!("c{}", self.tickets.len());
        self.push(node, change(&unique, NAMES[name], base, body));
    }

    fn version(&self, node: usize, name: usize) -> u32 {
        let name = id(NAMES[name]);
        self.nodes[node]
            .follower
            .read(|s| s.profiles.get(&name).map_or(0, |n| n.version()))
    }

    /// The same change once more, through any instance; its first fate then proves nothing.
    fn repeat(&mut self, node: usize, ticket: usize) {
        if self.tickets.is_empty() {
            return;
        }
        let index = ticket % self.tickets.len();
        let again = self.tickets[index].record.clone();
        if again["type"] != "profile" || self.tickets.iter().any(|t| t.dropped && t.record == again)
        {
            return;
        }
        self.push(node, again);
    }

    fn answer(&mut self, node: usize, index: usize, ran: Ran) {
        let held = self.nodes[node].follower.read(|state| {
            let held = state.keys.get(&id("checks"), &id(KEYS[index]))?;
            Some(held.holder.as_str().to_owned())
        });
        let holder = held.unwrap_or_else(|| "r0".to_owned());
        self.push(node, answer(KEYS[index], &holder, ran));
    }

    fn send(&mut self, node: usize, fate: Fate) {
        let Some(out) = self.nodes[node].queue.next_outgoing() else {
            return;
        };
        match fate {
            Fate::Answered => {
                self.append(&out.text);
                self.nodes[node].queue.acknowledge(&out.id);
            }
            Fate::AnswerLost => self.append(&out.text),
            Fate::RequestLost => {}
            Fate::NotConnected => self.nodes[node].queue.requeue_unsent(&out.id),
            Fate::Late => self.copies.push(out.text),
        }
    }

    fn page(&self, from: Offset, most: usize) -> log::Page {
        let skip = usize::try_from(from.0).unwrap().max(self.first);
        log::Page {
            first: Offset(self.first as u64),
            next: Offset(self.entries.len() as u64),
            entries: self.entries.iter().skip(skip).take(most).cloned().collect(),
        }
    }

    fn fetch(&mut self, node: usize, most: usize) {
        let from = self.nodes[node].follower.fetch_offset();
        let page = self.page(from, most);
        self.nodes[node].page.get_or_insert((from, page));
    }

    fn arrive(&mut self, node: usize) {
        let Some((from, page)) = self.nodes[node].page.take() else {
            return;
        };
        let applied = self.nodes[node].follower.apply_page(from, page);
        self.resolve(node, &applied);
    }

    fn ask(&mut self, from: usize, to: usize) {
        let wanted = self.nodes[to].follower.next();
        let tail = self.nodes[from].follower.tail(wanted);
        self.nodes[to].tail.get_or_insert(tail);
    }

    fn feed(&mut self, to: usize) {
        let Some(tail) = self.nodes[to].tail.take() else {
            return;
        };
        let applied = self.nodes[to].follower.apply_tail(tail).unwrap();
        self.resolve(to, &applied);
    }

    /// Tells waiting parties what they get, and checks it against the log.
    fn resolve(&mut self, node: usize, all: &[Applied]) {
        for applied in all {
            for (ticket, effects) in self.nodes[node].queue.complete(applied) {
                let record = &self.tickets[ticket].record;
                let own = |e: &Effect| {
                    verdict(e).is_none_or(|(change, ..)| record["change"] == change.as_str())
                };
                assert!(effects.iter().all(own), "{effects:?} for {record}");
                let entry = usize::try_from(applied.offset.0).unwrap();
                effects.iter().for_each(|effect| self.told(entry, effect));
            }
        }
    }

    fn told(&mut self, entry: usize, effect: &Effect) {
        let Effect::Profile {
            change,
            name,
            version,
            accepted,
        } = effect
        else {
            return;
        };
        let told = (change.as_str().to_owned(), *version as usize, *accepted);
        assert!(
            self.oracle.verdicts[entry].contains(&told),
            "{told:?} at {entry}"
        );
        if !accepted {
            return;
        }
        let base = u64::from(*version) - 1;
        let mut others = self.accepted.iter();
        let rival = others.find(|(n, b, c)| n == name.as_str() && *b == base && *c != told.0);
        assert_eq!(rival, None, "{told:?} won on the same base");
        self.accepted.push((name.as_str().to_owned(), base, told.0));
    }

    fn snapshot(&mut self, node: usize) {
        let follower = &self.nodes[node].follower;
        if !follower.loaded() || !follower.read(State::complete) {
            return;
        }
        let snapshot = follower.read(State::snapshot);
        let text = snapshot.state.to_string();
        for part in reassembly::split(snapshot.next, &text, text.len() / 2 + 1) {
            let record = record::Record::Snapshot(part);
            self.push(node, serde_json::to_value(record).unwrap());
        }
    }

    fn expire(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.now += Duration::from_secs(2);
        for expired in node.queue.expire(node.now) {
            let record = self.tickets[expired.reply].record.clone();
            let same = self.tickets.iter().filter(|t| t.record == record).count();
            self.tickets[expired.reply].dropped = !expired.pending && same == 1;
        }
    }

    fn restart(&mut self, node: usize) {
        self.lives += 1;
        self.nodes[node] = Node::new(node, self.lives);
    }

    fn garbage(&mut self, kind: usize) {
        let payload = match kind {
            0 => json!({"format": record::FORMAT + 1}).to_string(),
            1..15 => "\u{0}garbage".to_owned(),
            15..30 => batch("stray", vec![json!({"type": "holiday"}), json!(7)]),
            _ => batch("lie", vec![part(1_000, 0, 1, "{}")]),
        };
        self.append(&payload);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Publish {
                node,
                name,
                shift,
                content,
            } => self.publish(node, name, shift, content),
            Op::Repeat { node, ticket } => self.repeat(node, ticket),
            Op::Hold { node, key: index } => {
                let request = format!("r{}", self.tickets.len());
                self.push(node, key(KEYS[index], &request));
            }
            Op::Answer { node, key, ran } => self.answer(node, key, ran),
            Op::Send { node, fate } => self.send(node, fate),
            Op::Deliver { copy } if !self.copies.is_empty() => {
                let text = self.copies.remove(copy % self.copies.len());
                self.append(&text);
            }
            Op::Deliver { .. } => {}
            Op::Fetch { node, most } => self.fetch(node, most),
            Op::Arrive { node } => self.arrive(node),
            Op::Ask { from, to } => self.ask(from, to),
            Op::Feed { to } => self.feed(to),
            Op::Snapshot { node } => self.snapshot(node),
            Op::Retain { entries } => self.first = (self.first + entries).min(self.entries.len()),
            Op::Restart { node } => self.restart(node),
            Op::Expire { node } => self.expire(node),
            Op::Pass { hours } => self.clock += hours * 3_600_000,
            Op::Garbage { kind } => self.garbage(kind),
        }
    }

    /// Every loaded reader equals the full replay of what it has read, and none goes back.
    fn check(&mut self) {
        for index in 0..NODES {
            let follower = &self.nodes[index].follower;
            if !follower.loaded() {
                continue;
            }
            let next = usize::try_from(follower.next().0).unwrap();
            follower.read(|state| assert!(*state == self.replay[next], "node {index} at {next}"));
            for name in 0..NAMES.len() {
                let version = self.version(index, name);
                let seen = &mut self.nodes[index].versions[name];
                assert!(version >= *seen, "node {index} went back to {version}");
                *seen = version;
            }
        }
    }

    /// Reads everything and writes everything; then a fresh reader starts from a last snapshot.
    fn end(mut self) {
        for node in 0..NODES {
            while !self.nodes[node].queue.is_empty() {
                let before = self.entries.len();
                self.send(node, Fate::Answered);
                self.catch_up(node);
                if before == self.entries.len() {
                    break;
                }
            }
        }
        let whole = (0..NODES).find(|n| self.nodes[*n].follower.loaded());
        let Some(whole) = whole.filter(|n| self.nodes[*n].follower.read(State::complete)) else {
            return;
        };
        self.catch_up(whole);
        if !self.nodes[whole].follower.loaded() {
            return;
        }
        self.first = self.entries.len();
        self.snapshot(whole);
        // More rounds than there are batches left.
        for _ in 0..4 {
            self.send(whole, Fate::Answered);
            self.catch_up(whole);
        }
        self.append(&batch("last", vec![key("k1", "last")]));
        self.restart(0);
        self.catch_up(0);
        assert!(
            self.nodes[0].follower.loaded(),
            "a fresh reader finds its start"
        );
        self.check();
    }

    fn catch_up(&mut self, node: usize) {
        self.nodes[node].page = None;
        self.fetch(node, usize::MAX);
        self.arrive(node);
        self.check();
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut machine: Self, (): &(), op: Op) -> Self {
        machine.apply(op);
        machine.check();
        machine
    }

    fn teardown(machine: Self, (): ()) {
        machine.end();
    }
}

/// Cases of the fuzzing; `BAMBOOLOCK_SOAK` multiplies them.
const CASES: u32 = 1_000;

fn config() -> Config {
    let soak = std::env::var("BAMBOOLOCK_SOAK");
    let factor = soak.ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    Config {
        cases: CASES * factor,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x1ed9),
        max_shrink_iters: 20_000,
        failure_persistence: None,
        ..Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn the_order_of_the_log_decides_everywhere(sequential 1..200 => Machine);
}
