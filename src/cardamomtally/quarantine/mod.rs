//! Finds content that ends backend servers, and keeps it from being sent. Pure logic:
//! times and evidence go in, verdicts come out.
//!
//! Content has a [`fingerprint`]: that of a whole request, or of a part of its prompt.
//! Whoever sends a request to a backend server records here how the run came out. A
//! confirmed end of the backend server speaks against all content that ran there, and a
//! complete answer for it ([`evidence`]). Which of several pieces of content is the cause
//! follows from what else ran at the ends ([`explain`]) and from answers before them
//! ([`goods`]). Each process pools its evidence with that of
//! others ([`pool`], [`report`]) and acts on what it knows. The leader of the control group
//! does the same, and puts verdicts into the replicated log ([`verdict`], [`review`]), so
//! that they outlive every process.
//!
//! [`suspects`] does the same for agents, which see each crash of their backend server.

pub mod evidence;
pub mod explain;
pub mod fingerprint;
pub mod goods;
pub mod pool;
pub mod report;
pub mod review;
pub mod suspects;
pub mod verdict;
