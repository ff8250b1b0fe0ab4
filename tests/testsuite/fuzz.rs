//! Decoders of outside bytes.
