//! The `timeline` command, which merges the events of all processes into one order.

use super::{Format, OpContext, client::Client};
use crate::timeline::{Event, merge::merge, render};
use eyre::WrapErr as _;
use reqwest::Method;
use serde::Deserialize;
use std::path::PathBuf;

/// Options of the `timeline` command.
#[derive(Clone, Debug, Default)]
pub struct TimelineOptions {
    /// HTTP addresses of the processes to ask. If empty, these are the control members
    /// and all processes that control knows.
    pub processes: Vec<String>,
    /// Includes only events whose subject or text contains this.
    pub subject: Option<String>,
    /// Writes the events as an HTML page to this file instead of printing them.
    pub html: Option<PathBuf>,
}

/// The part of the response to `GET /status` that lists the processes.
#[derive(Debug, Deserialize)]
struct KnownProcesses {
    processes: Vec<KnownProcess>,
}

#[derive(Debug, Deserialize)]
struct KnownProcess {
    http: String,
}

/// Prints the merged events, or writes them to a page. A process that does not answer
/// is left out with a warning.
///
/// # Errors
///
/// Returns an error if no process is known or none answers, or if the page cannot be
/// written. Returns [`Exit::Unreachable`](super::Exit::Unreachable) if no control member
/// answers when it is asked for the processes.
pub fn run(context: &OpContext, options: &TimelineOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let addresses = addresses(context, options, &client)?;
    let mut sources = Vec::new();
    for address in &addresses {
        match fetch(&client, address) {
            Ok(events) => sources.push(events),
            Err(error) => context.shell.warn(format_args!("{error:#}")),
        }
    }
    if sources.is_empty() {
        eyre::bail!("none of the {} processes sent its events", addresses.len());
    }
    let events = merge(sources, options.subject.as_deref());
    if let Some(path) = &options.html {
        std::fs::write(path, render::html(&events))
            .wrap_err_with(|| format!("failed to write `{}`", path.display()))?;
        context.shell.status("Wrote", path.display());
        return Ok(());
    }
    print(context, &events)
}

fn addresses(
    context: &OpContext,
    options: &TimelineOptions,
    client: &Client,
) -> eyre::Result<Vec<String>> {
    if !options.processes.is_empty() {
        return Ok(options.processes.clone());
    }
    let status: KnownProcesses = client.control(&Method::GET, "/status", None)?.json()?;
    let mut addresses = context.members.clone();
    addresses.extend(status.processes.into_iter().map(|process| process.http));
    addresses.sort();
    addresses.dedup();
    Ok(addresses)
}

fn fetch(client: &Client, address: &str) -> eyre::Result<Vec<Event>> {
    client
        .call(address, &Method::GET, "/timeline", None)?
        .json()
        .wrap_err_with(|| format!("failed to read the events of {address}"))
}

fn print(context: &OpContext, events: &[Event]) -> eyre::Result<()> {
    if context.format == Format::Json {
        for event in events {
            context.shell.result(serde_json::to_string(event)?);
        }
        return Ok(());
    }
    context.shell.result(render::text(events).trim_end());
    Ok(())
}
