//! The ledger of write-once claims and bills.
