//! Control members: tickets, version health, suspects, orders and polls.

mod group;
mod health;
mod reports;
mod state;
mod verbs;
mod wire;
