//! Stateful fuzzing of the simulation. CI runs a fixed seed; `BAMBOOLOCK_FUZZ_CASES=10000 cargo
//! test --release --test kernel fuzz` is a soak test of four million steps, and
//! `BAMBOOLOCK_FUZZ_SEED` selects another seed.

use bamboolock::profile::Kind;
use proptest::{
    prelude::*,
    sample,
    strategy::BoxedStrategy,
    test_runner::{
        Config,
        RngSeed, //
    }, //
};
use proptest_state_machine::{
    ReferenceStateMachine,
    StateMachineTest,
    prop_state_machine, //
};

use super::simulation::{
    Op,
    Simulation, //
};

/// Number of operations in a case.
const STEPS: usize = 400;

/// Number of cases in CI, which makes 100,000 operations.
const CASES: u32 = 250;

/// Seed used in CI.
const SEED: u64 = 20_261_204;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn config() -> Config {
    let cases = env_number("BAMBOOLOCK_FUZZ_CASES").and_then(|n| u32::try_from(n).ok());
    Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(env_number("BAMBOOLOCK_FUZZ_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    }
}

/// Generator of operations. It needs no model state, because every operation is allowed at any
/// time.
struct Operations;

impl ReferenceStateMachine for Operations {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Op> {
        let i = 0..4usize;
        let w = 0..5usize;
        let at = 0..64usize;
        prop_oneof![
            30 => (10..400u64).prop_map(|ms| Op::Round { ms }),
            14 => (i.clone(), 1..200u64).prop_map(|(instance, ms)| Op::Step { instance, ms }),
            4 => i.clone().prop_map(|instance| Op::Decide { instance }),
            16 => at.clone().prop_map(|at| Op::Deliver { at }),
            4 => at.clone().prop_map(|at| Op::Drop { at }),
            3 => at.clone().prop_map(|at| Op::Duplicate { at }),
            2 => (i.clone(), 0..4_000u64).prop_map(|(instance, ms)| Op::Pause { instance, ms }),
            4 => i.clone().prop_map(|instance| Op::Resume { instance }),
            1 => i.clone().prop_map(|instance| Op::Restart { instance }),
            1 => (i.clone(), i.clone()).prop_map(|(instance, peer)| Op::Replace { instance, peer }),
            2 => (i.clone(), i.clone()).prop_map(|(instance, peer)| Op::LoadSnapshot { instance, peer }),
            1 => i.clone().prop_map(|instance| Op::Leave { instance }),
            2 => (i.clone(), w.clone())
                .prop_map(|(instance, worker)| Op::CutWorker { instance, worker }),
            1 => i.clone().prop_map(|instance| Op::CutLog { instance }),
            1 => (i.clone(), i.clone()).prop_map(|(a, b)| Op::CutPeers { a, b }),
            1 => Just(Op::Outage),
            3 => Just(Op::Heal),
            1 => w.clone().prop_map(|worker| Op::RestartWorker { worker }),
            1 => sample::select(vec![Op::EndWorker, Op::LeaveWorker, Op::List]),
            2 => Just(Op::List),
            2 => w.clone().prop_map(|worker| Op::Refuse { worker }),
            8 => (w.clone(), at.clone(), prop::bool::weighted(0.2))
                .prop_map(|(worker, at, failed)| Op::Finish { worker, at, failed }),
            5 => (w.clone(), at.clone())
                .prop_map(|(worker, at)| Op::FinishRequest { worker, at }),
            8 => (i.clone(), kinds(), 1..4u32, 1..3u32).prop_map(
                |(instance, kind, tasks, slots)| Op::Submit { instance, kind, tasks, slots }
            ),
            3 => (i.clone(), at).prop_map(|(instance, job)| Op::Cancel { instance, job }),
            14 => i.prop_map(|instance| Op::Request { instance }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

fn kinds() -> impl Strategy<Value = Kind> {
    sample::select(vec![Kind::Run, Kind::Run, Kind::Gang, Kind::Service])
}

struct KernelTest;

impl StateMachineTest for KernelTest {
    type SystemUnderTest = Simulation;
    type Reference = Operations;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), op: Op) -> Simulation {
        simulation.apply(op);
        simulation
    }

    fn teardown(mut simulation: Simulation, (): ()) {
        simulation.quiesce();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_under_arbitrary_faults(sequential STEPS => KernelTest);
}
