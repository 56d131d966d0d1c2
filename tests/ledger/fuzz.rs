//! Stateful fuzzing of the ledger against the reference model: publishers, readers, outages, lost
//! responses, delayed duplicates, retention, snapshots, restarts and peers.

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

/// Body of a profile change.
#[derive(Debug, Clone, Copy)]
enum Content {
    Valid(u8),
    Unreadable,
    Withdrawal,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    Acknowledged,
    ResponseLost,
    RequestLost,
    NotConnected,
    Delayed,
}

/// One operation. Indices are taken modulo the number of items.
#[derive(Debug, Clone)]
enum Op {
    Publish {
        node: usize,
        name: usize,
        base_shift: i32,
        content: Content,
    },
    Repeat {
        node: usize,
        submission: usize,
    },
    AcquireKey {
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
        outcome: AppendOutcome,
    },
    Deliver {
        copy: usize,
    },
    Fetch {
        node: usize,
        max: usize,
    },
    DeliverPage {
        node: usize,
    },
    RequestTail {
        from: usize,
        to: usize,
    },
    DeliverTail {
        to: usize,
    },
    Snapshot {
        node: usize,
    },
    Truncate {
        entries: usize,
    },
    Restart {
        node: usize,
    },
    Expire {
        node: usize,
    },
    AdvanceClock {
        hours: u64,
    },
    Garbage {
        kind: usize,
    },
}

/// Reference of the state machine. The machine itself applies its entries to the oracle, so the
/// generator needs no state.
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
            6 => (0..10_u8).prop_map(Content::Valid),
            1 => Just(Content::Unreadable),
            1 => Just(Content::Withdrawal),
        ];
        let outcome = prop_oneof![
            6 => Just(AppendOutcome::Acknowledged),
            2 => Just(AppendOutcome::ResponseLost),
            1 => Just(AppendOutcome::RequestLost),
            1 => Just(AppendOutcome::NotConnected),
            2 => Just(AppendOutcome::Delayed),
        ];
        let ran = prop_oneof![Just(Ran::Yes), Just(Ran::No), Just(Ran::Unknown)];
        let index = any::<usize>();
        prop_oneof![
            8 => (node.clone(), 0..2_usize, -1..2_i32, content)
                .prop_map(|(node, name, base_shift, content)| Op::Publish { node, name, base_shift, content }),
            2 => (node.clone(), index).prop_map(|(node, submission)| Op::Repeat { node, submission }),
            4 => (node.clone(), 0..2_usize).prop_map(|(node, key)| Op::AcquireKey { node, key }),
            4 => (node.clone(), 0..2_usize, ran)
                .prop_map(|(node, key, ran)| Op::Answer { node, key, ran }),
            12 => (node.clone(), outcome).prop_map(|(node, outcome)| Op::Send { node, outcome }),
            3 => any::<usize>().prop_map(|copy| Op::Deliver { copy }),
            12 => (node.clone(), 1..6_usize).prop_map(|(node, max)| Op::Fetch { node, max }),
            12 => node.clone().prop_map(|node| Op::DeliverPage { node }),
            4 => (node.clone(), node.clone()).prop_map(|(from, to)| Op::RequestTail { from, to }),
            4 => node.clone().prop_map(|to| Op::DeliverTail { to }),
            3 => node.clone().prop_map(|node| Op::Snapshot { node }),
            2 => (1..5_usize).prop_map(|entries| Op::Truncate { entries }),
            2 => node.clone().prop_map(|node| Op::Restart { node }),
            3 => node.prop_map(|node| Op::Expire { node }),
            1 => (1..30_u64).prop_map(|hours| Op::AdvanceClock { hours }),
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
    /// A page in transit, and the offset from which it was requested.
    page: Option<(Offset, log::Page)>,
    /// Entries from a peer in transit.
    tail: Option<peer::Tail>,
    /// The highest version of each profile in this incarnation.
    versions: [u32; 2],
}

impl Node {
    fn new(index: usize, incarnation: u64) -> Self {
        let by = record::Author {
            incarnation: Incarnation(incarnation),
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

/// A submitted record and the reported outcome.
struct Submission {
    record: Value,
    /// Whether the record was reported as not written.
    dropped: bool,
}

struct Machine {
    entries: Vec<log::Entry>,
    first: usize,
    clock: u64,
    copies: Vec<String>,
    nodes: Vec<Node>,
    incarnations: u64,
    submissions: Vec<Submission>,
    /// Changes that were reported as accepted: name, base and change.
    accepted: Vec<(String, u64, String)>,
    oracle: Oracle,
    /// The state by full replay, after each number of entries.
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
            incarnations: 0,
            submissions: Vec::new(),
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
        for submission in self.submissions.iter().filter(|t| t.dropped) {
            assert!(
                !records.contains(&submission.record),
                "reported as not written: {}",
                submission.record
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
        // The same record is submitted again, so that it may be written after all.
        for submission in self.submissions.iter_mut().filter(|t| t.record == record) {
            submission.dropped = false;
        }
        let node = &mut self.nodes[node];
        node.queue.push(Item {
            reply: self.submissions.len(),
            records: vec![record.clone()],
            deadline: node.now + Duration::from_secs(3),
        });
        self.submissions.push(Submission {
            record,
            dropped: false,
        });
    }

    fn publish(&mut self, node: usize, name: usize, base_shift: i32, content: Content) {
        let current = self.version(node, name);
        let base = current.saturating_add_signed(base_shift);
        let body = match content {
            Content::Valid(priority) => body(priority),
            Content::Unreadable => json!(5),
            Content::Withdrawal => Value::Null,
        };
        let unique = format!("c{}", self.submissions.len());
        self.push(node, change(&unique, NAMES[name], base, body));
    }

    fn version(&self, node: usize, name: usize) -> u32 {
        let name = id(NAMES[name]);
        self.nodes[node]
            .follower
            .read(|s| s.profiles.get(&name).map_or(0, |n| n.version()))
    }

    /// Submits a change again through any instance; the outcome of one submission then proves
    /// nothing about the record.
    fn repeat(&mut self, node: usize, submission: usize) {
        if self.submissions.is_empty() {
            return;
        }
        let index = submission % self.submissions.len();
        let again = self.submissions[index].record.clone();
        if again["type"] != "profile"
            || self
                .submissions
                .iter()
                .any(|t| t.dropped && t.record == again)
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

    fn send(&mut self, node: usize, outcome: AppendOutcome) {
        let Some(out) = self.nodes[node].queue.next_outgoing() else {
            return;
        };
        match outcome {
            AppendOutcome::Acknowledged => {
                self.append(&out.text);
                self.nodes[node].queue.acknowledge(&out.id);
            }
            AppendOutcome::ResponseLost => self.append(&out.text),
            AppendOutcome::RequestLost => {}
            AppendOutcome::NotConnected => self.nodes[node].queue.requeue_unsent(&out.id),
            AppendOutcome::Delayed => self.copies.push(out.text),
        }
    }

    fn page(&self, from: Offset, max: usize) -> log::Page {
        let skip = usize::try_from(from.0).unwrap().max(self.first);
        log::Page {
            first: Offset(self.first as u64),
            next: Offset(self.entries.len() as u64),
            entries: self.entries.iter().skip(skip).take(max).cloned().collect(),
        }
    }

    fn fetch(&mut self, node: usize, max: usize) {
        let from = self.nodes[node].follower.fetch_offset();
        let page = self.page(from, max);
        self.nodes[node].page.get_or_insert((from, page));
    }

    fn deliver_page(&mut self, node: usize) {
        let Some((from, page)) = self.nodes[node].page.take() else {
            return;
        };
        let applied = self.nodes[node].follower.apply_page(from, page);
        self.complete(node, &applied);
    }

    fn request_tail(&mut self, from: usize, to: usize) {
        let wanted = self.nodes[to].follower.next();
        let tail = self.nodes[from].follower.tail(wanted);
        self.nodes[to].tail.get_or_insert(tail);
    }

    fn deliver_tail(&mut self, to: usize) {
        let Some(tail) = self.nodes[to].tail.take() else {
            return;
        };
        let applied = self.nodes[to].follower.apply_tail(tail).unwrap();
        self.complete(to, &applied);
    }

    /// Completes the submissions in the applied entries and checks their effects against the oracle.
    fn complete(&mut self, node: usize, all: &[Applied]) {
        for applied in all {
            for (submission, effects) in self.nodes[node].queue.complete(applied) {
                let record = &self.submissions[submission].record;
                let own = |e: &Effect| {
                    verdict(e).is_none_or(|(change, ..)| record["change"] == change.as_str())
                };
                assert!(effects.iter().all(own), "{effects:?} for {record}");
                let entry = usize::try_from(applied.offset.0).unwrap();
                effects
                    .iter()
                    .for_each(|effect| self.check_verdict(entry, effect));
            }
        }
    }

    fn check_verdict(&mut self, entry: usize, effect: &Effect) {
        let Effect::Profile {
            change,
            name,
            version,
            accepted,
        } = effect
        else {
            return;
        };
        let reported = (change.as_str().to_owned(), *version as usize, *accepted);
        assert!(
            self.oracle.verdicts[entry].contains(&reported),
            "{reported:?} at {entry}"
        );
        if !accepted {
            return;
        }
        let base = u64::from(*version) - 1;
        let mut others = self.accepted.iter();
        let rival = others.find(|(n, b, c)| n == name.as_str() && *b == base && *c != reported.0);
        assert_eq!(
            rival, None,
            "{reported:?} and another change were accepted on the same base"
        );
        self.accepted
            .push((name.as_str().to_owned(), base, reported.0));
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
            let record = self.submissions[expired.reply].record.clone();
            let same = self
                .submissions
                .iter()
                .filter(|t| t.record == record)
                .count();
            self.submissions[expired.reply].dropped = !expired.pending && same == 1;
        }
    }

    fn restart(&mut self, node: usize) {
        self.incarnations += 1;
        self.nodes[node] = Node::new(node, self.incarnations);
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
                base_shift,
                content,
            } => self.publish(node, name, base_shift, content),
            Op::Repeat { node, submission } => self.repeat(node, submission),
            Op::AcquireKey { node, key: index } => {
                let request = format!("r{}", self.submissions.len());
                self.push(node, key(KEYS[index], &request));
            }
            Op::Answer { node, key, ran } => self.answer(node, key, ran),
            Op::Send { node, outcome } => self.send(node, outcome),
            Op::Deliver { copy } if !self.copies.is_empty() => {
                let text = self.copies.remove(copy % self.copies.len());
                self.append(&text);
            }
            Op::Deliver { .. } => {}
            Op::Fetch { node, max } => self.fetch(node, max),
            Op::DeliverPage { node } => self.deliver_page(node),
            Op::RequestTail { from, to } => self.request_tail(from, to),
            Op::DeliverTail { to } => self.deliver_tail(to),
            Op::Snapshot { node } => self.snapshot(node),
            Op::Truncate { entries } => self.first = (self.first + entries).min(self.entries.len()),
            Op::Restart { node } => self.restart(node),
            Op::Expire { node } => self.expire(node),
            Op::AdvanceClock { hours } => self.clock += hours * 3_600_000,
            Op::Garbage { kind } => self.garbage(kind),
        }
    }

    /// Asserts that every loaded reader equals the full replay up to its offset, and that no version
    /// decreases.
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

    /// Drains all queues and lets a reader without entries start from a final snapshot.
    fn finish(mut self) {
        for node in 0..NODES {
            while !self.nodes[node].queue.is_empty() {
                let before = self.entries.len();
                self.send(node, AppendOutcome::Acknowledged);
                self.catch_up(node);
                if before == self.entries.len() {
                    break;
                }
            }
        }
        let writer = (0..NODES).find(|n| self.nodes[*n].follower.loaded());
        let Some(writer) = writer.filter(|n| self.nodes[*n].follower.read(State::complete)) else {
            return;
        };
        self.catch_up(writer);
        if !self.nodes[writer].follower.loaded() {
            return;
        }
        self.first = self.entries.len();
        self.snapshot(writer);
        // Four rounds are more than the remaining batches.
        for _ in 0..4 {
            self.send(writer, AppendOutcome::Acknowledged);
            self.catch_up(writer);
        }
        self.append(&batch("last", vec![key("k1", "last")]));
        self.restart(0);
        self.catch_up(0);
        assert!(
            self.nodes[0].follower.loaded(),
            "a new reader starts from the snapshot"
        );
        self.check();
    }

    fn catch_up(&mut self, node: usize) {
        self.nodes[node].page = None;
        self.fetch(node, usize::MAX);
        self.deliver_page(node);
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
        machine.finish();
    }
}

/// Number of cases; `BAMBOOLOCK_SOAK` multiplies it.
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
