//! The replicated state machine of a site. The code does no I/O.
//!
//! Every member applies the same commands in the same order. A command therefore carries
//! the times that its effect depends on, and no member reads its clock. The state keeps
//! the bytes of a document as they were sent, so that an operator reads back what was
//! submitted.

use super::{
    backend::Backend,
    document::Document,
    orders::{Orders, is_overtaken},
    rollout::{Progress, Rollout, Stage, Step},
};
use crate::{
    prelude::*,
    quarantine::verdict::{Change, Verdicts},
    replica::state_machine,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Time in milliseconds within which an order for the same version as that of an ended
/// roll-out counts as a repetition. A later order starts a new roll-out.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// A submitted document, decoded and as it was sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Submission {
    /// The decoded document.
    #[serde(rename = "d")]
    pub document: Document,
    /// The bytes that the operator sent.
    #[serde(rename = "s", with = "serde_bytes")]
    pub source: Vec<u8>,
}

/// A command of the replicated log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Puts a valid document in force, unless its number is not higher than the current
    /// one.
    #[serde(rename = "d")]
    Submit(Box<Submission>),
    /// Begins a roll-out by an operator's order.
    #[serde(rename = "r")]
    Begin {
        /// Name of the service.
        #[serde(rename = "s")]
        service: Name,
        /// Name of the new version.
        #[serde(rename = "v")]
        target: Name,
        /// Time from the order to the deadline of the roll-out, in milliseconds.
        #[serde(rename = "d")]
        duration: u64,
        /// Wall time of the order, in milliseconds.
        #[serde(rename = "w")]
        wall: u64,
        /// Time since the latest order for this service, in milliseconds, as the member
        /// that proposes this one has measured it. Former builds do not tell it.
        #[serde(rename = "a", default)]
        since_latest: Option<u64>,
        /// Log index of the latest order for the service when this one was decided. Former
        /// builds do not tell it.
        #[serde(rename = "n", default)]
        decided_on: Option<Index>,
    },
    /// Applies a step of a roll-out that the leader has decided.
    #[serde(rename = "p")]
    Step(Step),
    /// Evacuates a data centre, or puts it back into service.
    #[serde(rename = "e")]
    Evacuate {
        /// Name of the data centre.
        #[serde(rename = "c")]
        centre: Name,
        /// Whether the data centre must not be used.
        #[serde(rename = "o")]
        evacuated: bool,
        /// Log index of the latest order for the data centre when this one was decided.
        /// Former builds do not tell it.
        #[serde(rename = "n", default)]
        decided_on: Option<Index>,
    },
    /// Replaces the list of backend servers by a changed one.
    #[serde(rename = "b")]
    Backends(Vec<Backend>),
    /// Changes the verdicts on content that ends backend servers.
    #[serde(rename = "q")]
    Verdicts(Vec<Change>),
}

/// Reply of the state machine to a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The command has changed the state.
    #[serde(rename = "d")]
    Done,
    /// The command changed nothing, because it or something newer was in force already.
    #[serde(rename = "s")]
    Same,
    /// The order was decided before another one for the same data centre or service took
    /// effect, which says otherwise. It changed nothing.
    #[serde(rename = "o")]
    Overtaken,
    /// The command could not be decoded and changed nothing.
    #[serde(rename = "u")]
    Unreadable,
}

/// State that changes more often than the document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Fleet {
    /// Log index of the last change of the fleet.
    #[serde(rename = "i")]
    pub index: Index,
    /// Backend servers by the platform's latest list.
    #[serde(rename = "b")]
    pub backends: Vec<Backend>,
    /// The latest roll-out of each service.
    #[serde(rename = "r")]
    pub rollouts: BTreeMap<Name, Rollout>,
    /// Evacuated data centres, which must not be used.
    #[serde(rename = "o")]
    pub evacuated: BTreeSet<Name>,
}

impl Fleet {
    /// Returns whether a data centre is evacuated, or in service, as an order asks for.
    #[must_use]
    pub fn is_in_force(&self, centre: &str, evacuated: bool) -> bool {
        self.evacuated.contains(centre) == evacuated
    }
}

/// The whole replicated state of a site.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// The document in force, and the log index at which it came into force.
    #[serde(rename = "d")]
    pub document: Option<(Index, Arc<Submission>)>,
    /// Backend servers, roll-outs and evacuations.
    #[serde(rename = "f")]
    pub fleet: Arc<Fleet>,
    /// The verdicts on content that ends backend servers.
    #[serde(rename = "q", default)]
    pub verdicts: Arc<Verdicts>,
    /// How long the latest roll-out of each service has run.
    #[serde(rename = "t", default)]
    pub progress: BTreeMap<Name, Progress>,
    /// The latest orders, by which an order is told that was decided before them.
    #[serde(rename = "l", default)]
    pub orders: Orders,
}

impl State {
    /// Applies the command at a log index.
    pub fn apply(&mut self, index: Index, command: Command) -> Reply {
        match command {
            Command::Submit(submission) => self.submit(index, *submission),
            Command::Begin {
                service,
                target,
                duration,
                wall,
                since_latest,
                decided_on,
            } => {
                let rollout = Rollout::new(target, duration, wall);
                let repeated = self.repeats(&service, &rollout, since_latest);
                let latest = self.orders.services.get(&service);
                if !repeated && is_overtaken(latest, decided_on) {
                    return Reply::Overtaken;
                }
                self.orders.record_rollout(index, &service, &rollout.target);
                self.change(index, |fleet| {
                    if !repeated {
                        fleet.rollouts.insert(service, rollout);
                    }
                    !repeated
                })
            }
            Command::Step(step) => {
                self.record_progress(&step);
                let reply = self.change(index, |fleet| apply_step(fleet, &step));
                if reply == Reply::Done && step.stage != Stage::Running {
                    self.orders.record_end(index, &step.service);
                }
                reply
            }
            Command::Evacuate {
                centre,
                evacuated,
                decided_on,
            } => self.evacuate(index, centre, evacuated, decided_on),
            Command::Backends(backends) => self.change(index, |fleet| {
                let differs = fleet.backends != backends;
                fleet.backends = backends;
                differs
            }),
            Command::Verdicts(changes) => self.change_verdicts(index, changes),
        }
    }

    /// Applies changes of the verdicts. Sets their index only if something has changed.
    fn change_verdicts(&mut self, index: Index, changes: Vec<Change>) -> Reply {
        let mut verdicts = Verdicts::clone(&self.verdicts);
        let applied = changes.into_iter().filter(|c| verdicts.apply(c.clone()));
        if applied.count() == 0 {
            return Reply::Same;
        }
        verdicts.index = index;
        self.verdicts = Arc::new(verdicts);
        Reply::Done
    }

    fn submit(&mut self, index: Index, submission: Submission) -> Reply {
        let number = submission.document.number;
        let current = self.document.as_ref().map(|(_, s)| s.document.number);
        if current.is_some_and(|current| number <= current) {
            return Reply::Same;
        }
        self.document = Some((index, Arc::new(submission)));
        Reply::Done
    }

    /// Returns whether an order repeats that of the service's latest roll-out. It comes
    /// `since_latest` milliseconds after that, if a member has measured it.
    #[must_use]
    pub fn repeats(&self, service: &str, order: &Rollout, since_latest: Option<u64>) -> bool {
        let latest = self.fleet.rollouts.get(service);
        latest.is_some_and(|latest| {
            let since = since_latest.unwrap_or(order.ordered.saturating_sub(latest.ordered));
            let recent = since < REPEAT_WINDOW_MS;
            latest.target == order.target && (latest.stage == Stage::Running || recent)
        })
    }

    /// Evacuates a data centre or puts it back into service, unless another order has come
    /// since this one was decided. An order that asks for what is in force is acknowledged
    /// in any case, since it may be the second copy of one that was applied.
    fn evacuate(
        &mut self,
        index: Index,
        centre: Name,
        evacuated: bool,
        decided_on: Option<Index>,
    ) -> Reply {
        let in_force = self.fleet.is_in_force(&centre, evacuated);
        if !in_force && is_overtaken(self.orders.centres.get(&centre), decided_on) {
            return Reply::Overtaken;
        }
        self.orders.record_evacuation(index, &centre, evacuated);
        self.change(index, |fleet| {
            if evacuated {
                fleet.evacuated.insert(centre)
            } else {
                fleet.evacuated.remove(&centre)
            }
        })
    }

    /// Records how long a roll-out has run, which changes nothing for entries.
    fn record_progress(&mut self, step: &Step) {
        let rollout = self.fleet.rollouts.get(&step.service);
        if rollout.is_some_and(|rollout| rollout.ordered == step.ordered) {
            let progress = Progress {
                ordered: step.ordered,
                passed: step.passed,
            };
            self.progress.insert(Arc::clone(&step.service), progress);
        }
    }

    /// Applies a change to the fleet. Sets the fleet's index only if `change` returns
    /// that something has changed, so that entries do not fetch an unchanged fleet.
    fn change(&mut self, index: Index, change: impl FnOnce(&mut Fleet) -> bool) -> Reply {
        let mut fleet = Fleet::clone(&self.fleet);
        if !change(&mut fleet) {
            return Reply::Same;
        }
        fleet.index = index;
        self.fleet = Arc::new(fleet);
        Reply::Done
    }
}

fn apply_step(fleet: &mut Fleet, step: &Step) -> bool {
    let rollout = fleet.rollouts.get_mut(&step.service);
    rollout.is_some_and(|rollout| rollout.apply_step(step))
}

/// The state, shared between the thread that applies the log and the readers.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
}

impl Store {
    /// Calls `read` with the state and returns its result. The lock is held meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl state_machine::Store for Store {
    type State = State;

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.lock())
    }
}

impl state_machine::ReplicatedState for State {
    type Command = Command;
    type Reply = Reply;

    const UNREADABLE: Reply = Reply::Unreadable;

    fn apply(&mut self, index: Index, command: Command) -> Reply {
        Self::apply(self, index, command)
    }
}

/// The state machine that applies a site's log.
pub type Machine = state_machine::Machine<Store>;
