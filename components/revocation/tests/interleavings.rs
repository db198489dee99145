//! Explores all interleavings of a small deployment up to a depth, breadth first: nodes that ask three
//! replicas for the group's revision, messages that are delayed, reordered and lost, leader changes,
//! deposed leaders and followers that lag, nodes that are frozen, and a key that is revoked and
//! granted again. Each revision toggles the key; it is valid at even ones. Once with three nodes
//! and three replicas, once with one node and two replicas to a greater depth. `GYARD_REVOCATION_DEPTH=N` explores the first deeper.

use model::Revision;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use revocation::{AskId, RevisionReads, RevocationProof};
use std::{
    collections::{
        HashMap, HashSet,
        hash_map::{DefaultHasher, Entry},
    },
    fmt::Write,
    hash::{Hash, Hasher},
};

const TICK_US: u64 = 1_000_000;
/// The bound in ticks.
const BOUND_TICKS: u64 = 2;
/// Limits of the explorations.
const EXPLORED: Limits = Limits {
    ticks: 3,
    commits: 2,
    leader_changes: 1,
    freezes: 1,
    asks: 2,
    messages: 2,
};
/// Limits of the random walks.
const WALKED: Limits = Limits {
    ticks: 8,
    commits: 4,
    leader_changes: 3,
    freezes: 3,
    asks: 12,
    messages: 6,
};
/// Steps of a random walk, of which about a third are impossible in their state.
const WALK_STEPS: usize = 120;
const WALKS: u64 = 40_000;
/// Walks within which a seeded defect must be found.
const MAX_DEFECT_WALKS: u64 = 100_000;
/// Depths in CI: of the exploration with three nodes and of that with one.
const DEPTH: usize = 6;
const NARROW_DEPTH: usize = 11;

/// How often things may happen.
#[derive(Clone, Copy)]
struct Limits {
    ticks: u64,
    commits: u64,
    leader_changes: u8,
    freezes: u8,
    asks: u8,
    messages: usize,
}

/// A fault that the exploration must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// The proof is dated at the answer.
    DatedAtAnswer,
    /// The node accepts a proof of a revision that it lacks.
    AnyRevision,
    /// The age is measured on a clock that stands still while the node is frozen.
    ClockStops,
    /// The table of keys is read before the proof is checked.
    TableFirst,
    /// A replica answers with what it has applied.
    LocalRevision,
    /// A leader answers without a quorum.
    NoQuorum,
    /// A question is answered by a round that began before it arrived.
    SharedRound,
}

const DEFECTS: [Defect; 7] = [
    Defect::DatedAtAnswer,
    Defect::AnyRevision,
    Defect::ClockStops,
    Defect::TableFirst,
    Defect::LocalRevision,
    Defect::NoQuorum,
    Defect::SharedRound,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Asker {
    Node { node: usize, ask: AskId },
    Replica { replica: usize, round: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Round {
    /// A quorum confirms this revision, or never does at a deposed leader.
    Quorum(Option<u64>),
    /// The leader was asked.
    AtLeader,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Question { asker: Asker, to: usize },
    Answer { asker: Asker, revision: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    applied: u64,
    believed_leader: usize,
    reads: RevisionReads<Asker>,
    /// Questions that arrived while a round ran, with the defect that it answers them.
    late: Vec<Asker>,
    round: Option<Round>,
    round_number: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    proof: RevocationProof,
    own: u64,
    is_frozen: bool,
    /// Ticks that its clock has missed.
    lag: u64,
}

/// A call with the key between the two steps of its check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Call {
    node: usize,
    /// Whether the key had been revoked for the bound or longer when the call arrived.
    is_overdue: bool,
    /// Result of the first step.
    has_key: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    tick: u64,
    committed: u64,
    /// Tick of the last revocation.
    revoked_at: u64,
    leader: usize,
    replicas: Vec<Replica>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
    call: Option<Call>,
    asks: u8,
    leader_changes: u8,
    freezes: u8,
    has_violation: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Commit,
    Apply { replica: usize },
    ChangeLeader { to: usize },
    LearnLeader { replica: usize },
    Ask { node: usize, replica: usize },
    Deliver { message: usize },
    EndRound { replica: usize },
    TimeOut { replica: usize },
    Pull { node: usize, replica: usize },
    Check { node: usize },
    Accept,
    Freeze { node: usize },
    Thaw { node: usize },
    Tick,
}

fn revision(number: u64) -> Revision {
    Revision { term: 1, number }
}

fn has_key(number: u64) -> bool {
    number.is_multiple_of(2)
}

struct Model {
    defect: Defect,
    nodes: usize,
    replicas: usize,
    limits: Limits,
}

impl Model {
    fn start(&self) -> State {
        let replica = || Replica {
            applied: 0,
            believed_leader: 0,
            reads: RevisionReads::default(),
            late: Vec::new(),
            round: None,
            round_number: 0,
        };
        let node = || Node {
            proof: RevocationProof::new(BOUND_TICKS * TICK_US),
            own: 0,
            is_frozen: false,
            lag: 0,
        };
        State {
            tick: 0,
            committed: 0,
            revoked_at: 0,
            leader: 0,
            replicas: (0..self.replicas).map(|_| replica()).collect(),
            nodes: (0..self.nodes).map(|_| node()).collect(),
            messages: Vec::new(),
            call: None,
            asks: 0,
            leader_changes: 0,
            freezes: 0,
            has_violation: false,
        }
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = vec![Action::Commit, Action::Accept, Action::Tick];
        for replica in 0..state.replicas.len() {
            actions.extend([
                Action::Apply { replica },
                Action::ChangeLeader { to: replica },
                Action::LearnLeader { replica },
                Action::EndRound { replica },
                Action::TimeOut { replica },
            ]);
        }
        for node in 0..state.nodes.len() {
            for replica in 0..state.replicas.len() {
                actions.push(Action::Ask { node, replica });
                actions.push(Action::Pull { node, replica });
            }
            actions.extend([
                Action::Check { node },
                Action::Freeze { node },
                Action::Thaw { node },
            ]);
        }
        actions.extend((0..state.messages.len()).map(|message| Action::Deliver { message }));
        actions
    }

    /// The state after an action; `None` if the action is impossible or changes nothing.
    fn next(&self, state: &State, action: Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Commit => {
                next.committed += 1;
                let leader = &mut next.replicas[state.leader];
                leader.applied = next.committed;
                if !has_key(next.committed) {
                    next.revoked_at = next.tick;
                } else if let Some(call) = &mut next.call {
                    // The key is valid while the call is checked.
                    call.is_overdue = false;
                }
                (next.committed <= self.limits.commits).then_some(())?;
            }
            Action::Apply { replica } => next.replicas[replica].applied = state.committed,
            Action::ChangeLeader { to } => {
                (to != state.leader && state.leader_changes < self.limits.leader_changes)
                    .then_some(())?;
                next.leader = to;
                next.leader_changes += 1;
                next.replicas[to].applied = state.committed;
                next.replicas[to].believed_leader = to;
            }
            Action::LearnLeader { replica } => {
                next.replicas[replica].believed_leader = state.leader;
            }
            Action::Ask { node, replica } => self.ask(&mut next, node, replica)?,
            Action::Deliver { message } => self.deliver(&mut next, message)?,
            Action::EndRound { replica } => {
                let Some(Round::Quorum(Some(revision))) = state.replicas[replica].round else {
                    return None;
                };
                self.end_round(&mut next, replica, Some(revision));
            }
            Action::TimeOut { replica } => {
                let is_over = matches!(
                    state.replicas[replica].round,
                    Some(Round::AtLeader | Round::Quorum(None))
                );
                is_over.then_some(())?;
                self.end_round(&mut next, replica, None);
            }
            Action::Pull { node, replica } => {
                (!state.nodes[node].is_frozen).then_some(())?;
                let own = state.nodes[node].own.max(state.replicas[replica].applied);
                next.nodes[node].own = own;
                next.nodes[node].proof.on_revision(revision(own));
            }
            Action::Check { node } => self.check(&mut next, node)?,
            Action::Accept => self.accept(&mut next)?,
            Action::Freeze { node } => {
                (state.freezes < self.limits.freezes && !state.nodes[node].is_frozen)
                    .then_some(())?;
                next.freezes += 1;
                next.nodes[node].is_frozen = true;
            }
            Action::Thaw { node } => next.nodes[node].is_frozen = false,
            Action::Tick => {
                (state.tick < self.limits.ticks).then_some(())?;
                next.tick += 1;
                if self.defect == Defect::ClockStops {
                    for node in next.nodes.iter_mut().filter(|node| node.is_frozen) {
                        node.lag += 1;
                    }
                }
            }
        }
        next.messages.sort_unstable();
        (next.messages.len() <= self.limits.messages && next != *state).then_some(next)
    }

    fn ask(&self, state: &mut State, node: usize, to: usize) -> Option<()> {
        let now_us = now_us(state, node);
        let asking = &mut state.nodes[node];
        (!asking.is_frozen && state.asks < self.limits.asks).then_some(())?;
        let ask = asking.proof.ask(now_us);
        state.asks += 1;
        let asker = Asker::Node { node, ask };
        state.messages.push(Message::Question { asker, to });
        Some(())
    }

    fn deliver(&self, state: &mut State, message: usize) -> Option<()> {
        match state.messages.remove(message) {
            Message::Question { asker, to } => {
                let is_node = matches!(asker, Asker::Node { .. });
                if self.defect == Defect::LocalRevision && is_node {
                    let revision = state.replicas[to].applied;
                    state.messages.push(Message::Answer { asker, revision });
                    return Some(());
                }
                if self.defect == Defect::SharedRound && state.replicas[to].round.is_some() {
                    state.replicas[to].late.push(asker);
                    return Some(());
                }
                state.replicas[to].reads.add(u64::MAX, asker);
                self.begin_round(state, to);
            }
            Message::Answer {
                asker: Asker::Node { node, ask },
                revision,
            } => self.answer_node(state, node, ask, revision)?,
            Message::Answer {
                asker: Asker::Replica { replica, round },
                revision,
            } => {
                let follower = &state.replicas[replica];
                let is_expected =
                    follower.round == Some(Round::AtLeader) && follower.round_number == round;
                if is_expected {
                    self.end_round(state, replica, Some(revision));
                }
            }
        }
        Some(())
    }

    fn answer_node(&self, state: &mut State, node: usize, ask: AskId, number: u64) -> Option<()> {
        let now_us = now_us(state, node);
        let node = &mut state.nodes[node];
        (!node.is_frozen).then_some(())?;
        let own = revision(node.own);
        match self.defect {
            Defect::DatedAtAnswer => {
                node.proof.on_failure(ask);
                let now = node.proof.ask(now_us);
                node.proof.on_answer(now, revision(number), own);
            }
            Defect::AnyRevision => {
                node.proof.on_answer(ask, own, own);
            }
            _ => {
                node.proof.on_answer(ask, revision(number), own);
            }
        }
        Some(())
    }

    /// Begins a round if questions wait, as a replica does at once.
    fn begin_round(&self, state: &mut State, replica: usize) {
        let (committed, leader) = (state.committed, state.leader);
        let reading = &mut state.replicas[replica];
        if !reading.reads.begin_round() {
            return;
        }
        reading.round_number += 1;
        if reading.believed_leader != replica {
            reading.round = Some(Round::AtLeader);
            let (to, round) = (reading.believed_leader, reading.round_number);
            let asker = Asker::Replica { replica, round };
            state.messages.push(Message::Question { asker, to });
            return;
        }
        // The lowest revision that a round may confirm is that of its begin.
        let confirmed = (leader == replica).then_some(committed);
        reading.round = Some(Round::Quorum(match self.defect {
            Defect::NoQuorum => Some(reading.applied),
            _ => confirmed,
        }));
    }

    fn end_round(&self, state: &mut State, replica: usize, read: Option<u64>) {
        let reading = &mut state.replicas[replica];
        reading.round = None;
        let mut answered = reading.reads.end_round(0, read.map(revision));
        if read.is_some() {
            answered.append(&mut reading.late);
        }
        if let Some(revision) = read {
            let answers = answered.into_iter();
            let answers = answers.map(|asker| Message::Answer { asker, revision });
            state.messages.extend(answers);
        }
        self.begin_round(state, replica);
    }

    /// First step of a call: the proof is checked, or with the defect the table is read.
    fn check(&self, state: &mut State, node: usize) -> Option<()> {
        let now_us = now_us(state, node);
        let checking = &state.nodes[node];
        (state.call.is_none() && !checking.is_frozen).then_some(())?;
        let passes = match self.defect {
            Defect::TableFirst => has_key(checking.own),
            _ => checking.proof.is_fresh(now_us),
        };
        passes.then_some(())?;
        state.call = Some(Call {
            node,
            is_overdue: is_overdue(state),
            has_key: passes,
        });
        Some(())
    }

    /// Second step of a call: the table is read, and the call is accepted or refused.
    fn accept(&self, state: &mut State) -> Option<()> {
        let call = state.call.take()?;
        let now_us = now_us(state, call.node);
        let node = &state.nodes[call.node];
        (!node.is_frozen).then_some(())?;
        let passes = match self.defect {
            Defect::TableFirst => node.proof.is_fresh(now_us),
            _ => has_key(node.own),
        };
        state.has_violation = passes && call.has_key && call.is_overdue;
        Some(())
    }

    /// The number of states, or the shortest way to a violation.
    fn explore(&self, depth: usize) -> Result<usize, String> {
        let mut parents: Parents = HashMap::new();
        let start = self.start();
        parents.insert(digest(&start), None);
        let mut frontier = vec![start];
        for _ in 0..depth {
            let mut reached = Vec::new();
            for state in &frontier {
                for action in self.actions(state) {
                    let Some(next) = self.next(state, action) else {
                        continue;
                    };
                    if is_violated(&next) {
                        return Err(self.trace(&parents, state, action));
                    }
                    if let Entry::Vacant(vacant) = parents.entry(digest(&next)) {
                        vacant.insert(Some((digest(state), action)));
                        reached.push(next);
                    }
                }
            }
            frontier = reached;
        }
        Ok(parents.len())
    }

    /// Takes random ways; the seed of one to a violation, if any of `walks` finds one.
    fn walk(&self, walks: u64) -> Option<u64> {
        (0..walks).find(|seed| {
            let mut random = Pcg64Mcg::seed_from_u64(*seed);
            let mut state = self.start();
            for _ in 0..WALK_STEPS {
                let actions = self.actions(&state);
                let action = actions[random.random_range(..actions.len())];
                state = self.next(&state, action).unwrap_or(state);
                if is_violated(&state) {
                    return true;
                }
            }
            false
        })
    }

    fn trace(&self, parents: &Parents, state: &State, action: Action) -> String {
        let mut actions = vec![action];
        let mut at = digest(state);
        while let Some((parent, action)) = parents[&at] {
            actions.push(action);
            at = parent;
        }
        let mut text = format!("{:?}:", self.defect);
        for action in actions.iter().rev() {
            write!(text, " {action:?};").expect("writing to a string");
        }
        text
    }
}

/// Digests of the states that were reached, each with the way to it.
type Parents = HashMap<u128, Option<(u128, Action)>>;

/// 128 bits of hash, which stand for the state; whole states would need several gigabytes.
fn digest(state: &State) -> u128 {
    let half = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(1) << u64::BITS | half(2)
}

/// Whether the key had been revoked for the bound or longer.
fn is_overdue(state: &State) -> bool {
    !has_key(state.committed) && state.tick - state.revoked_at >= BOUND_TICKS
}

/// Whether a call was accepted that must not run, or one that arrived now would be.
fn is_violated(state: &State) -> bool {
    let accepts = |node: usize| {
        let accepting = &state.nodes[node];
        let is_fresh = accepting.proof.is_fresh(now_us(state, node));
        !accepting.is_frozen && is_fresh && has_key(accepting.own)
    };
    state.has_violation || (is_overdue(state) && (0..state.nodes.len()).any(accepts))
}

/// The node's own clock.
fn now_us(state: &State, node: usize) -> u64 {
    (state.tick - state.nodes[node].lag) * TICK_US
}

/// Guards against a call that is accepted with a key that was revoked for the bound or longer.
#[test]
fn all_interleavings() {
    let depth = std::env::var("GYARD_REVOCATION_DEPTH").map_or(DEPTH, |text| text.parse().unwrap());
    for (nodes, replicas, depth) in [(3, 3, depth), (1, 2, NARROW_DEPTH)] {
        let model = Model {
            defect: Defect::None,
            nodes,
            replicas,
            limits: EXPLORED,
        };
        match model.explore(depth) {
            Ok(states) => println!(
                "{nodes} nodes, {replicas} replicas: {states} states to a depth of {depth}"
            ),
            Err(trace) => panic!("{trace}"),
        }
    }
}

/// Shows that the exploration can fail: each seeded defect is found, by a shortest trace.
#[test]
fn seeded_defects() {
    let mut found = HashSet::new();
    for defect in DEFECTS {
        let model = Model {
            defect,
            nodes: 1,
            replicas: 2,
            limits: EXPLORED,
        };
        let trace = model.explore(NARROW_DEPTH).unwrap_err();
        println!("{trace}");
        found.insert(trace);
    }
    assert_eq!(found.len(), DEFECTS.len());
}

/// Guards as `all_interleavings` does, on long random ways through the whole deployment, which the
/// exploration doesn't reach. The seeded defects are found there, too, but for `SharedRound`, which
/// needs a round that stays open for two ticks.
#[test]
fn random_walks() {
    let model = |defect| Model {
        defect,
        nodes: 3,
        replicas: 3,
        limits: WALKED,
    };
    for defect in DEFECTS
        .into_iter()
        .filter(|defect| *defect != Defect::SharedRound)
    {
        let seed = model(defect).walk(MAX_DEFECT_WALKS);
        println!("{defect:?}: found with seed {seed:?}");
        assert!(seed.is_some(), "{defect:?}");
    }
    assert_eq!(model(Defect::None).walk(WALKS), None);
}
