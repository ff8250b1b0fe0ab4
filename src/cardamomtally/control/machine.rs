//! The state machine of the configuration log, and the views that readers get.
//!
//! The log's thread applies commands to the state. Polls, operators and the
//! leader's periodic tasks read an immutable [`ConfigView`], which is built on
//! the first read after a change. A member that replays a long log therefore
//! encodes the configuration once, rather than once per ticket.

use super::state::{Command, Reply, State};
use crate::{
    core::{config::ConfigRef, digest::Digest, id::Index},
    net::{codec, delta},
    replica::state_machine,
};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Number of past configurations from which a delta can be computed. A process
/// that holds an older configuration gets the whole one.
const MAX_PAST_CONFIGS: usize = 16;

/// The configuration in force, with the digest and size of its encoding and the
/// deltas that lead to it.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// The configuration in force.
    pub config: ConfigRef,
    /// Digest of its encoding.
    pub digest: Digest,
    /// Length of its encoding in bytes.
    pub size: usize,
    recent: Vec<PastConfig>,
}

/// A past configuration, and the delta from it to the one in force, which is
/// computed on first use.
#[derive(Clone, Debug)]
struct PastConfig {
    digest: Digest,
    delta: Arc<std::sync::OnceLock<Option<Vec<u8>>>>,
    config: ConfigRef,
}

impl ConfigView {
    /// Returns the delta from the configuration with the given digest. Returns
    /// `None` if that configuration is not among the past ones, or if the delta is
    /// not shorter than the whole configuration.
    #[must_use]
    pub fn delta_from(&self, digest: Digest) -> Option<&[u8]> {
        let recent = self.recent.iter().find(|r| r.digest == digest)?;
        let delta = recent.delta.get_or_init(|| {
            let patch = delta::diff(&recent.config, &self.config).ok()?;
            (patch.len() < self.size).then_some(patch)
        });
        delta.as_deref()
    }
}

/// The replicated state, shared between the log's thread and its readers.
#[derive(Debug, Default)]
pub struct Store {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    view: Arc<ConfigView>,
    past: VecDeque<(Digest, ConfigRef)>,
}

impl Store {
    /// Returns the configuration that this member has applied, which may be behind
    /// the leader's unless a quorum confirmed the log just before.
    pub fn view(&self) -> Arc<ConfigView> {
        let mut inner = self.lock();
        let current = inner.view.digest != Digest::default()
            && Arc::ptr_eq(&inner.view.config, &inner.state.config);
        if !current {
            inner.rebuild();
        }
        Arc::clone(&inner.view)
    }

    /// Calls a function with the state under the lock.
    pub fn read<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock().state)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn rebuild(&mut self) {
        if self.view.digest != Digest::default() {
            let old = (self.view.digest, Arc::clone(&self.view.config));
            self.past.retain(|(digest, _)| *digest != old.0);
            self.past.push_back(old);
        }
        while self.past.len() > MAX_PAST_CONFIGS {
            self.past.pop_front();
        }
        let config = Arc::clone(&self.state.config);
        let bytes = codec::encode(&config);
        let recent = self.past.iter().map(|(digest, config)| PastConfig {
            digest: *digest,
            delta: Arc::default(),
            config: Arc::clone(config),
        });
        self.view = Arc::new(ConfigView {
            digest: Digest::of(&bytes),
            size: bytes.len(),
            recent: recent.collect(),
            config,
        });
    }
}

impl state_machine::Store for Store {
    type State = State;

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.lock().state)
    }
}

impl state_machine::ReplicatedState for State {
    type Command = Command;
    type Reply = Reply;

    const UNREADABLE: Reply = Reply::Done;

    fn apply(&mut self, index: Index, command: Command) -> Reply {
        Self::apply(self, index, command)
    }
}

/// Applies the commands of the configuration log to a [`Store`].
pub type Machine = state_machine::Machine<Store>;
