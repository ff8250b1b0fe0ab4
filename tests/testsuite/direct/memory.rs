//! Tests of the bounds on the memory and the connections of an entry.
