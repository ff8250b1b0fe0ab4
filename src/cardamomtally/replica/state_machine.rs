//! A replicated state: plain data in a store, changed by the commands of a log.
//!
//! The log's thread applies the commands, and other threads read the store.
//! Commands, replies and snapshots are encoded and decoded here, so that an
//! implementation of a state contains no serialisation.

use crate::{
    core::{id::Index, log::StateMachine as LogMachine},
    net::codec,
};
use eyre::WrapErr as _;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt::Debug, sync::Arc};

/// A state that is changed by the commands of a log only, so that it is the same
/// on every member.
pub trait ReplicatedState: DeserializeOwned + Serialize {
    /// A command that changes the state.
    type Command: DeserializeOwned;
    /// The reply to a command.
    type Reply: Serialize;
    /// Reply to a command that does not decode. Such a command changes nothing.
    const UNREADABLE: Self::Reply;

    /// Applies the command of the entry at `index`. The result must depend on the
    /// state and the arguments only.
    fn apply(&mut self, index: Index, command: Self::Command) -> Self::Reply;
}

/// Holds a state, shared between the log's thread and its readers.
pub trait Store: Debug + Send + Sync {
    /// The type of the state.
    type State: ReplicatedState;

    /// Calls a function with exclusive access to the state.
    fn with<T>(&self, act: impl FnOnce(&mut Self::State) -> T) -> T;
}

/// Applies the commands of a log to the state in a store.
#[derive(Debug)]
pub struct Machine<S> {
    store: Arc<S>,
}

impl<S> Machine<S> {
    /// Creates the state machine of a store.
    #[must_use]
    pub const fn new(store: Arc<S>) -> Self {
        Self { store }
    }
}

impl<S: Store> LogMachine for Machine<S> {
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8> {
        let reply = match codec::decode(command) {
            Ok(command) => self.store.with(|state| state.apply(index, command)),
            Err(_undecodable) => S::State::UNREADABLE,
        };
        codec::encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.store.with(|state| codec::encode(state))
    }

    fn restore(&mut self, bytes: &[u8]) -> eyre::Result<()> {
        let restored = codec::decode(bytes).wrap_err("the log's snapshot does not decode")?;
        self.store.with(|state| *state = restored);
        Ok(())
    }
}
