//! The configuration log's state machine, and what others read of it.
//!
//! The log's thread applies commands to the state; polls, operators and the
//! leader's duties read an immutable [`View`], which is built when it is first
//! asked for after a change. So a member that replays a long log encodes the
//! configuration once, not once a ticket.

use super::state::{Command, Reply, State};
use crate::{
    core::{config::ConfigRef, digest::Digest, id::Index},
    net::{codec, delta},
    replica::applied,
};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Recent configurations that deltas may start from.
const RECENT_KEPT: usize = 16;

/// The configuration in force, encoded.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration.
    pub config: ConfigRef,
    /// Digest of its encoding.
    pub digest: Digest,
    /// Length of its encoding in bytes.
    pub size: usize,
    recent: Vec<Recent>,
}

/// An older configuration, and the delta that leads from it to the one in force.
#[derive(Clone, Debug)]
struct Recent {
    digest: Digest,
    delta: Arc<std::sync::OnceLock<Option<Vec<u8>>>>,
    config: ConfigRef,
}

impl View {
    /// Returns the delta from the configuration with a digest, if that is known
    /// and the delta is shorter than the whole.
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

/// The state, shared between the log's thread and its readers.
#[derive(Debug, Default)]
pub struct Store {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    view: Arc<View>,
    seen: VecDeque<(Digest, ConfigRef)>,
}

impl Store {
    /// Returns the configuration in force, as this member has applied it.
    pub fn view(&self) -> Arc<View> {
        let mut inner = self.lock();
        let fresh = inner.view.digest != Digest::default()
            && Arc::ptr_eq(&inner.view.config, &inner.state.config);
        if !fresh {
            inner.rebuild();
        }
        Arc::clone(&inner.view)
    }

    /// Reads the state.
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
            self.seen.retain(|(digest, _)| *digest != old.0);
            self.seen.push_back(old);
        }
        while self.seen.len() > RECENT_KEPT {
            self.seen.pop_front();
        }
        let config = Arc::clone(&self.state.config);
        let bytes = codec::encode(&config);
        let recent = self.seen.iter().map(|(digest, config)| Recent {
            digest: *digest,
            delta: Arc::default(),
            config: Arc::clone(config),
        });
        self.view = Arc::new(View {
            digest: Digest::of(&bytes),
            size: bytes.len(),
            recent: recent.collect(),
            config,
        });
    }
}

impl applied::Store for Store {
    type State = State;

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.lock().state)
    }
}

impl applied::Applied for State {
    type Command = Command;
    type Reply = Reply;

    const UNREADABLE: Reply = Reply::Done;

    fn apply(&mut self, index: Index, command: Command) -> Reply {
        Self::apply(self, index, command)
    }
}

/// Applies the configuration log.
pub type Machine = applied::Machine<Store>;
