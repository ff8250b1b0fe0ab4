//! The state behind a site's log, as pure logic.
//!
//! Every member applies the same commands in the same order; what depends on a
//! clock comes as part of a command. A document is kept as it was sent too, so
//! that a reader gets back what the operator wrote.

use super::{
    backend::Backend,
    document::Document,
    rollout::{Rollout, Stage, Step},
};
use crate::{prelude::*, replica::applied};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Time after which the same order is a new one and not the old one repeated.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// A document as it was sent, and what it says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Submission {
    /// What it says.
    #[serde(rename = "d")]
    pub document: Document,
    /// The bytes that the operator sent.
    #[serde(rename = "s", with = "serde_bytes")]
    pub source: Vec<u8>,
}

/// A change of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// A checked document.
    #[serde(rename = "d")]
    Submit(Box<Submission>),
    /// An operator's order to roll a version in.
    #[serde(rename = "r")]
    Begin {
        /// The service.
        #[serde(rename = "s")]
        service: Name,
        /// The version.
        #[serde(rename = "v")]
        target: Name,
        /// Time until it must be complete, in milliseconds.
        #[serde(rename = "d")]
        duration: u64,
        /// Wall time of the order, in milliseconds.
        #[serde(rename = "w")]
        wall: u64,
    },
    /// The leader's next step of a roll-out.
    #[serde(rename = "p")]
    Step(Step),
    /// Takes a data centre out, or back.
    #[serde(rename = "e")]
    Evacuate {
        /// The data centre.
        #[serde(rename = "c")]
        centre: Name,
        /// Whether it is out.
        #[serde(rename = "o")]
        evacuated: bool,
    },
    /// The platform's list has changed.
    #[serde(rename = "b")]
    Backends(Vec<Backend>),
}

/// What the state machine says of a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// It is in force.
    #[serde(rename = "d")]
    Done,
    /// It changed nothing: it is in force already, or something newer is.
    #[serde(rename = "s")]
    Same,
    /// It does not decode.
    #[serde(rename = "u")]
    Unreadable,
}

/// What changes oftener than the document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Fleet {
    /// Log index of its last change.
    #[serde(rename = "i")]
    pub index: Index,
    /// Backend servers.
    #[serde(rename = "b")]
    pub backends: Vec<Backend>,
    /// The latest roll-out of each service.
    #[serde(rename = "r")]
    pub rollouts: BTreeMap<Name, Rollout>,
    /// Data centres that are out.
    #[serde(rename = "o")]
    pub out: BTreeSet<Name>,
}

/// The whole state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// The document in force, and the log index at which it came into force.
    #[serde(rename = "d")]
    pub document: Option<(Index, Arc<Submission>)>,
    /// The rest.
    #[serde(rename = "f")]
    pub fleet: Arc<Fleet>,
}

impl State {
    /// Applies a command.
    pub fn apply(&mut self, index: Index, command: Command) -> Reply {
        match command {
            Command::Submit(submission) => self.submit(index, *submission),
            Command::Begin {
                service,
                target,
                duration,
                wall,
            } => self.begin(index, &service, target, duration, wall),
            Command::Step(step) => self.change(index, |fleet| apply_step(fleet, &step)),
            Command::Evacuate { centre, evacuated } => self.change(index, |fleet| {
                if evacuated {
                    fleet.out.insert(centre)
                } else {
                    fleet.out.remove(&centre)
                }
            }),
            Command::Backends(backends) => self.change(index, |fleet| {
                let differs = fleet.backends != backends;
                fleet.backends = backends;
                differs
            }),
        }
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

    fn begin(
        &mut self,
        index: Index,
        service: &Name,
        target: Name,
        duration: u64,
        wall: u64,
    ) -> Reply {
        self.change(index, |fleet| {
            let latest = fleet.rollouts.get(service);
            let repeated = latest.is_some_and(|latest| {
                let recent = wall < latest.ordered + REPEAT_WINDOW_MS;
                latest.target == target && (latest.stage == Stage::Running || recent)
            });
            if repeated {
                return false;
            }
            let rollout = Rollout::new(target, duration, wall);
            fleet.rollouts.insert(Arc::clone(service), rollout);
            true
        })
    }

    /// Changes the fleet, whose index moves only if something did change.
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

/// The state, shared between the log's thread and its readers.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
}

impl Store {
    /// Reads the state.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl applied::Store for Store {
    type State = State;

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.lock())
    }
}

impl applied::Applied for State {
    type Command = Command;
    type Reply = Reply;

    const UNREADABLE: Reply = Reply::Unreadable;

    fn apply(&mut self, index: Index, command: Command) -> Reply {
        Self::apply(self, index, command)
    }
}

/// Applies a site's log.
pub type Machine = applied::Machine<Store>;
