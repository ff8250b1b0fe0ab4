//! Tests of the parts that bound what clients take.

mod crowd;
