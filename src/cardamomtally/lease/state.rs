//! The lease rules: which configuration a process may use, and until when. The code
//! does no I/O.
//!
//! A lease begins when the process *sends* the poll. The member confirms the
//! configuration after that moment, so any newer configuration came into force later
//! than the beginning of the lease. The time at which the reply arrives proves
//! nothing, because a reply may be delayed for any time.
//!
//! A reply is applied only if its index is not lower than that of the current
//! configuration, and a delta only if its result has the digest that the member
//! gave. After the lease has ended, the process takes no new work, whatever its
//! configuration.

use crate::{
    core::{
        clock::Mono,
        config::{Config, ConfigRef},
        digest::Digest,
        id::Index,
    },
    net::{
        codec, delta,
        wire::{Poll, PollReply, Update},
    },
};
use std::sync::Arc;

/// Rules that tests disable one at a time, to show that their checks detect the
/// violation. All rules apply by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedFaults {
    /// Lets the lease begin when the reply arrives.
    pub lease_from_receipt: bool,
    /// Applies a configuration with a lower index than the current one.
    pub apply_lower: bool,
}

/// Result of applying a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The lease of the current configuration was renewed.
    Renewed,
    /// Another configuration was adopted, with its lease.
    Changed,
    /// The reply concerns an older configuration and was ignored.
    Stale,
    /// The update does not match the current configuration or the given index or
    /// digest. Nothing was applied; after a failed delta the next poll asks for the
    /// whole configuration.
    Mismatch,
}

/// Current configuration and lease of a process.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    config: ConfigRef,
    digest: Digest,
    until: Mono,
    faults: InjectedFaults,
}

impl LeaseState {
    /// Builds the state of a new process, which has no configuration and no lease.
    #[must_use]
    pub fn new(faults: InjectedFaults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Returns the current configuration.
    pub const fn config(&self) -> &ConfigRef {
        &self.config
    }

    /// Returns the index of the current configuration, or 0 if there is none.
    pub fn index(&self) -> Index {
        self.config.index
    }

    /// Returns the end of the lease.
    pub const fn until(&self) -> Mono {
        self.until
    }

    /// Tells whether the lease is valid, so that the process may take new work.
    pub fn is_valid(&self, now: Mono) -> bool {
        now < self.until
    }

    /// Writes the index and digest of the current configuration into a poll.
    pub fn fill_poll(&self, poll: &mut Poll) {
        poll.holds = self.index();
        poll.digest = self.digest;
    }

    /// Applies the reply to a poll.
    ///
    /// The poll was sent at `sent` and named the configuration of index `polled`; the
    /// reply arrived at `received`.
    pub fn apply_reply(
        &mut self,
        polled: Index,
        sent: Mono,
        received: Mono,
        reply: &PollReply,
    ) -> Outcome {
        if reply.index < self.index() && !self.faults.apply_lower {
            return Outcome::Stale;
        }
        let outcome = match &reply.update {
            Update::Same if polled == self.index() && reply.index == polled => Outcome::Renewed,
            Update::Same => return Outcome::Stale,
            Update::Whole(config) => self.replace(config, reply),
            Update::Delta(patch) => self.apply_delta(polled, patch, reply),
        };
        if matches!(outcome, Outcome::Renewed | Outcome::Changed) {
            self.renew(sent, received, reply);
        }
        outcome
    }

    fn renew(&mut self, sent: Mono, received: Mono, reply: &PollReply) {
        let from = if self.faults.lease_from_receipt {
            received
        } else {
            sent
        };
        self.until = self.until.max(from + reply.lease);
    }

    fn replace(&mut self, config: &ConfigRef, reply: &PollReply) -> Outcome {
        if config.index != reply.index {
            return Outcome::Mismatch;
        }
        self.set_config(Arc::clone(config), reply.digest.unwrap_or_default())
    }

    fn apply_delta(&mut self, polled: Index, patch: &[u8], reply: &PollReply) -> Outcome {
        // The reply may be late, and its delta based on an earlier configuration.
        if polled != self.index() {
            return Outcome::Stale;
        }
        match delta::apply(&self.config, patch) {
            Ok(config) if Some(digest(&config)) == reply.digest => {
                self.set_config(Arc::new(config), reply.digest.unwrap_or_default())
            }
            Ok(_) | Err(_) => {
                self.digest = Digest::default();
                Outcome::Mismatch
            }
        }
    }

    fn set_config(&mut self, config: ConfigRef, digest: Digest) -> Outcome {
        let same = config.index == self.index() && digest == self.digest;
        self.config = config;
        self.digest = digest;
        if same {
            Outcome::Renewed
        } else {
            Outcome::Changed
        }
    }
}

/// Returns the digest of a configuration's encoding.
#[must_use]
pub fn digest(config: &Config) -> Digest {
    Digest::of(&codec::encode(config))
}
