//! One function for each verb of the command line.
