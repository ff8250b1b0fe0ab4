//! Stand-ins and the fault proxy.
