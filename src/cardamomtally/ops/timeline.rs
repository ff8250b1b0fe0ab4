//! The verb `timeline`: events of all processes in one order.

use super::{Format, OpContext, client::Client};
use crate::timeline::{Event, merge::merge, render};
use eyre::WrapErr as _;
use reqwest::Method;
use serde::Deserialize;
use std::path::PathBuf;

/// Options of the verb `timeline`.
#[derive(Clone, Debug, Default)]
pub struct TimelineOptions {
    /// HTTP addresses of processes; all that control knows if empty.
    pub processes: Vec<String>,
    /// Text that an event's subject or text must hold.
    pub subject: Option<String>,
    /// File for an HTML page.
    pub html: Option<PathBuf>,
}

/// The part of a status answer that names processes.
#[derive(Debug, Deserialize)]
struct KnownProcesses {
    processes: Vec<KnownProcess>,
}

#[derive(Debug, Deserialize)]
struct KnownProcess {
    http: String,
}

/// Prints the merged events. A process that does not answer is a warning.
///
/// # Errors
///
/// Returns an error if no process is known, none answers, or the page cannot
/// be written.
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
        eyre::bail!("none of {} processes sent its events", addresses.len());
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
