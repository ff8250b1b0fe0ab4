//! The verb `timeline`: events of all processes in one order.
