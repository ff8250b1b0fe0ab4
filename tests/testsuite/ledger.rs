//! The ledger.
