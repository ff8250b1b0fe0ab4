//! A state behind a store, changed by the commands of a log.
//!
//! The log's thread applies commands; others read the store. Commands, replies and
//! snapshots are encoded here, so that a state is plain logic.

use crate::{
    core::{id::Index, log::Machine as LogMachine},
    net::codec,
};
use eyre::WrapErr as _;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt::Debug, sync::Arc};

/// A state that commands change.
pub trait Applied: DeserializeOwned + Serialize {
    /// What changes it.
    type Command: DeserializeOwned;
    /// What a change is answered with.
    type Reply: Serialize;
    /// Answer to a command that does not decode and changes nothing.
    const UNREADABLE: Self::Reply;

    /// Applies a command.
    fn apply(&mut self, index: Index, command: Self::Command) -> Self::Reply;
}

/// Where a state is kept for its readers.
pub trait Store: Debug + Send + Sync {
    /// The state.
    type State: Applied;

    /// Reads or changes the state.
    fn with<T>(&self, act: impl FnOnce(&mut Self::State) -> T) -> T;
}

/// Applies a log to the state in a store.
#[derive(Debug)]
pub struct Machine<S> {
    store: Arc<S>,
}

impl<S> Machine<S> {
    /// Builds the machine of a store.
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
