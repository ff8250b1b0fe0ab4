//! What a process holds and until when, as pure logic.
//!
//! The lease runs from the moment at which the process *sent* the poll: the
//! member confirmed the configuration some time after that, so nothing newer
//! than what it confirmed can be older than the lease. The moment of receipt
//! proves nothing, since an answer may be delayed for any time.
//!
//! An answer is applied only if its index is not below the index held, and only
//! if its digest is the one the member named. Past the lease the process takes
//! no new work, whatever it holds.

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

/// Rules that tests break one at a time, to show that their checks can fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaks {
    /// Counts the lease from the receipt of the answer.
    pub lease_from_receipt: bool,
    /// Applies a configuration with a lower index than the one held.
    pub apply_lower: bool,
}

/// What came of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The lease was renewed for what is held.
    Renewed,
    /// Another configuration is held now.
    Changed,
    /// The answer is about an older configuration and was ignored.
    Stale,
    /// The change did not fit what is held: the next poll asks for the whole.
    Unfit,
}

/// What a process holds.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    config: ConfigRef,
    digest: Digest,
    until: Mono,
    faults: Breaks,
}

impl LeaseState {
    /// Builds the state of a fresh process, which holds nothing.
    #[must_use]
    pub fn new(faults: Breaks) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Returns the configuration held.
    pub const fn config(&self) -> &ConfigRef {
        &self.config
    }

    /// Returns the index of the configuration held, 0 for none.
    pub fn index(&self) -> Index {
        self.config.index
    }

    /// Returns the end of the lease.
    pub const fn until(&self) -> Mono {
        self.until
    }

    /// Tells whether the process may take new work.
    pub fn is_valid(&self, now: Mono) -> bool {
        now < self.until
    }

    /// Writes into a poll what is held.
    pub fn fill_poll(&self, poll: &mut Poll) {
        poll.holds = self.index();
        poll.digest = self.digest;
    }

    /// Takes note of the answer to a poll that was sent at `sent` and held
    /// `polled`, and was received at `received`.
    pub fn answer(
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
            return Outcome::Unfit;
        }
        self.set_config(Arc::clone(config), reply.digest.unwrap_or_default())
    }

    fn apply_delta(&mut self, polled: Index, patch: &[u8], reply: &PollReply) -> Outcome {
        // A late answer may be about a configuration that is no longer held.
        if polled != self.index() {
            return Outcome::Stale;
        }
        match delta::apply(&self.config, patch) {
            Ok(config) if Some(digest(&config)) == reply.digest => {
                self.set_config(Arc::new(config), reply.digest.unwrap_or_default())
            }
            Ok(_) | Err(_) => {
                self.digest = Digest::default();
                Outcome::Unfit
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
