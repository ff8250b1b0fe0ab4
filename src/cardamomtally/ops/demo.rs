//! The verb `demo`: a small site on this machine.
