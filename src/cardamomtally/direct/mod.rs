//! Entries that call backend servers directly, without an agent in between.
//!
//! [`listener`] accepts callers' connections by [`listen`](crate::listen) and passes each request to [`serve`], which
//! checks the request against the document and the lease of [`config`], reads it into a
//! [`request`] and sends it until it is answered. It chooses a backend server in [`fleet`],
//! by its cost and the backlog that the entries [`exchange`], and sends the request over a
//! [`link`], which decides whether the request may have run. A request is sent again only
//! if it provably has not run, or if its route allows it to run more than once. All other
//! requests therefore run at most once. Content that ends backend servers is not sent
//! ([`content`]).
//!
//! The folders depend on each other in one direction: `serve` on [`app`], which all
//! requests share, `app` on [`content`], this on `link`, `fleet` and `config`, and these on
//! `exchange` and `request`.

pub mod app;
pub mod config;
pub mod content;
pub mod daemon;
pub mod decisions;
pub mod exchange;
pub mod fleet;
pub mod link;
pub mod listener;
pub mod request;
pub mod serve;
pub mod stop;
