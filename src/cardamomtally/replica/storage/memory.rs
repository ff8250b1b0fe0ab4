//! Storage without a disk.

use super::{Loaded, Storage, Write};
use crate::prelude::*;
use rand::Rng as _;

/// Storage that keeps nothing, for tests and benches. The member has a new
/// identity at each start.
#[derive(Debug)]
pub struct MemStorage {
    id: MemberId,
}

impl Default for MemStorage {
    fn default() -> Self {
        let id = MemberId(rand::rng().random());
        Self { id }
    }
}

impl Storage for MemStorage {
    fn identity(&self) -> MemberId {
        self.id
    }

    fn load(&mut self) -> Loaded {
        Loaded::default()
    }

    fn write(&mut self, _batch: &[Write]) -> eyre::Result<()> {
        Ok(())
    }

    fn reopen(&mut self) -> eyre::Result<()> {
        Ok(())
    }
}
