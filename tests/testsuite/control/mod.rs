//! Control: tickets, their numbers, verdicts, suspects, orders and polls.

mod group;
mod health;
mod reports;
mod state;
mod verbs;
mod wire;
