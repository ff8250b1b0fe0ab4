//! Storage that forgets all when the process ends.

use super::{Loaded, Storage, Write};
use crate::prelude::*;
use rand::Rng as _;

/// Storage in memory, for tests and benches.
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
}
