//! The `ticket` command with its subcommands `submit`, `show`, `diff`, `history` and
//! `wait`.

use super::{Exit, Format, OpContext, client::Client};
use crate::{
    control::view::{HistoryLine, Status, Submitted, TicketView},
    core::finding::Finding,
};
use eyre::WrapErr as _;
use reqwest::{Method, StatusCode};
use serde::Deserialize;
use std::{
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

/// Interval at which the status is fetched while waiting.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Options of `ticket submit`.
#[derive(Clone, Debug, Default)]
pub struct SubmitOptions {
    /// Path of the ticket.
    pub file: PathBuf,
    /// Longest time to wait until the ticket is in force at all processes. If `None`,
    /// the command returns as soon as the ticket is accepted.
    pub wait: Option<Duration>,
}

/// Options of `ticket show`.
#[derive(Clone, Debug, Default)]
pub struct ShowOptions {
    /// Name of the partner.
    pub partner: String,
    /// Number of the ticket. If `None`, the one in force.
    pub number: Option<u64>,
}

/// Options of `ticket diff`.
#[derive(Clone, Debug, Default)]
pub struct DiffOptions {
    /// Name of the partner.
    pub partner: String,
    /// Number of the older ticket. If `None`, the accepted ticket with the next lower
    /// number than the newer one.
    pub from: Option<u64>,
    /// Number of the newer ticket. If `None`, the one in force.
    pub to: Option<u64>,
}

/// Options of `ticket history`.
#[derive(Clone, Debug, Default)]
pub struct HistoryOptions {
    /// Name of the partner.
    pub partner: String,
}

/// Options of `ticket wait`.
#[derive(Clone, Debug, Default)]
pub struct WaitOptions {
    /// Name of the partner.
    pub partner: String,
    /// Number of the ticket. If `None`, any ticket in force.
    pub number: Option<u64>,
    /// Longest time to wait.
    pub timeout: Duration,
}

/// The parts of a problem document (RFC 9457) that are shown or decide the exit code.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    detail: String,
    #[serde(default)]
    verdict: String,
    #[serde(default)]
    findings: Vec<Finding>,
}

/// Submits a ticket to the control members in turn, until one accepts or refuses it.
///
/// Submitting the same ticket again is safe: it is then reported as repeated.
///
/// # Errors
///
/// Returns [`Exit::Refused`] if the ticket has faults, conflicts with another or is
/// superseded. If no member decides, returns [`Exit::Unknown`] if the ticket may have
/// been accepted nevertheless, and [`Exit::Unreachable`] if it was certainly not. With
/// [`SubmitOptions::wait`], returns [`Exit::Timeout`] like [`wait`].
pub fn submit(context: &OpContext, options: &SubmitOptions) -> eyre::Result<()> {
    let text = read_ticket(&options.file)?;
    let client = Client::new(context)?;
    let submitted = send(context, &client, &options.file, &text)?;
    if context.format == Format::Json {
        context.shell.result(serde_json::to_string(&submitted)?);
    }
    let verb = if submitted.repeated {
        "Repeated"
    } else {
        "Accepted"
    };
    let subject = format!("ticket {}/{}", submitted.partner, submitted.number);
    let detail = format!("{subject} at index {}", submitted.index);
    context.shell.status(verb, detail);
    let Some(timeout) = options.wait else {
        return Ok(());
    };
    let wait_options = WaitOptions {
        partner: submitted.partner.to_string(),
        number: Some(submitted.number),
        timeout,
    };
    wait(context, &wait_options)
}

fn read_ticket(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("failed to read `{}`", path.display()))
}

fn send(context: &OpContext, client: &Client, file: &Path, text: &str) -> eyre::Result<Submitted> {
    let mut exit = Exit::Unreachable;
    let mut last = "no control member was given; use `--control IP:PORT`".to_owned();
    for member in &context.members {
        let reply = match client.call(member, &Method::POST, "/tickets", Some(text)) {
            Ok(reply) => reply,
            Err(error) => {
                if !nothing_sent(&error) {
                    exit = Exit::Unknown;
                }
                last = format!("{error:#}");
                continue;
            }
        };
        if reply.status == StatusCode::OK {
            return reply.json();
        }
        let problem: Problem = reply.json().unwrap_or_default();
        if reply.status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(report_refusal(context, file, &problem)?);
        }
        if problem.verdict != "not-run" {
            exit = Exit::Unknown;
        }
        last = format!("{member}: {}", problem.detail);
    }
    Err(eyre::Report::new(exit).wrap_err(last))
}

/// Tells whether a call failed while connecting, before anything was sent. The member
/// then cannot have acted on the call.
fn nothing_sent(error: &eyre::Report) -> bool {
    let mut causes = error.chain();
    causes.any(|cause| {
        let http = cause.downcast_ref::<reqwest::Error>();
        http.is_some_and(reqwest::Error::is_connect)
    })
}

/// Prints the findings of a refused ticket, and returns the error to report.
fn report_refusal(
    context: &OpContext,
    file: &Path,
    problem: &Problem,
) -> eyre::Result<eyre::Report> {
    if context.format == Format::Json {
        context
            .shell
            .result(serde_json::to_string(&problem.findings)?);
    } else {
        for finding in &problem.findings {
            let (line, column) = (finding.line, finding.column);
            let place = format!("{}:{line}:{column}", file.display());
            context
                .shell
                .result(format_args!("{place}: {}", finding.message));
        }
    }
    Ok(eyre::Report::new(Exit::Refused).wrap_err(problem.detail.clone()))
}

/// Prints the text of a ticket as it was accepted.
///
/// # Errors
///
/// Returns [`Exit::Refused`] if there is no such ticket or its text is no longer kept,
/// and [`Exit::Unreachable`] if no control member answers.
pub fn show(context: &OpContext, options: &ShowOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let number = match options.number {
        Some(number) => number,
        None => latest_number(&client, &options.partner)?,
    };
    let text = fetch_text(&client, &options.partner, number)?;
    context.shell.result(text.trim_end());
    Ok(())
}

/// Prints the lines of two tickets, marked as removed, added or common.
///
/// # Errors
///
/// Returns [`Exit::Refused`] if there is no such ticket, if its text is no longer kept or
/// if no ticket precedes it, and [`Exit::Unreachable`] if no control member answers.
pub fn diff(context: &OpContext, options: &DiffOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let lines = fetch_history(&client, &options.partner)?;
    let to = match options.to {
        Some(number) => number,
        None => latest_number(&client, &options.partner)?,
    };
    let earlier = lines.iter().map(|line| line.accepted.number);
    let before = earlier.filter(|number| *number < to).max();
    let from = options.from.or(before).ok_or_else(|| {
        let what = format!("no ticket precedes {}/{to}", options.partner);
        eyre::Report::new(Exit::Refused).wrap_err(what)
    })?;
    let old = fetch_text(&client, &options.partner, from)?;
    let new = fetch_text(&client, &options.partner, to)?;
    for line in diff_lines(&old, &new) {
        context.shell.result(line);
    }
    Ok(())
}

/// Returns the lines of two texts, each with a prefix: `-` if only the old text has the
/// line, `+` if only the new one has it, and a space if both have it. The common lines
/// are a longest common subsequence.
#[must_use]
pub fn diff_lines(old: &str, new: &str) -> Vec<String> {
    let old: Vec<_> = old.lines().collect();
    let new: Vec<_> = new.lines().collect();
    let common = common_lengths(&old, &new);
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::new();
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push(format!(" {}", old[i]));
            i += 1;
            j += 1;
        } else if j == new.len() || (i < old.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push(format!("-{}", old[i]));
            i += 1;
        } else {
            lines.push(format!("+{}", new[j]));
            j += 1;
        }
    }
    lines
}

/// Returns a table whose element `[i][j]` is the length of the longest common
/// subsequence of `old[i..]` and `new[j..]`.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    lengths
}

/// Prints number, digest and log index of each accepted ticket of a partner.
///
/// # Errors
///
/// Returns [`Exit::Refused`] if the partner has no tickets, and [`Exit::Unreachable`] if
/// no control member answers.
pub fn history(context: &OpContext, options: &HistoryOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let lines = fetch_history(&client, &options.partner)?;
    if context.format == Format::Json {
        context.shell.result(serde_json::to_string(&lines)?);
        return Ok(());
    }
    for line in lines {
        let accepted = line.accepted;
        context.shell.result(format_args!(
            "{:>8}  {}  index {}",
            accepted.number, accepted.digest, accepted.index
        ));
    }
    Ok(())
}

/// Waits until a ticket, or a later one, is in force at all processes and a quorum of
/// the control members has confirmed this.
///
/// A process whose lease has expired does not delay the command, because the process
/// takes no new work until control has renewed the lease. The names of such processes
/// are printed as a warning.
///
/// # Errors
///
/// Returns [`Exit::Timeout`] with the names of the processes that do not hold the ticket
/// yet, and [`Exit::Unreachable`] if no control member answers.
pub fn wait(context: &OpContext, options: &WaitOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let until = Instant::now() + options.timeout;
    loop {
        let status: Status = client.control(&Method::GET, "/status", None)?.json()?;
        let ticket = status.tickets.into_iter();
        let ticket = ticket.into_iter().find(|t| *t.partner == *options.partner);
        let reached = ticket.as_ref().is_some_and(|ticket| {
            let number = options.number.unwrap_or_default();
            status.confirmed && ticket.ticket.number >= number && ticket.laggards.is_empty()
        });
        if let Some(ticket) = ticket.as_ref().filter(|_| reached) {
            print_in_force(context, ticket);
            return Ok(());
        }
        if Instant::now() >= until {
            let lagging = ticket.map(|t| t.laggards.join(", ")).unwrap_or_default();
            let what =
                format!("the ticket is not yet in force at all processes; lagging: {lagging}");
            return Err(eyre::Report::new(Exit::Timeout).wrap_err(what));
        }
        thread::sleep(STATUS_INTERVAL);
    }
}

fn print_in_force(context: &OpContext, ticket: &TicketView) {
    let subject = format!("ticket {}/{}", ticket.partner, ticket.ticket.number);
    let detail = format!("{subject} is held by {} processes", ticket.holders);
    context.shell.status("In force", detail);
    if !ticket.silent.is_empty() {
        let silent = ticket.silent.join(", ");
        let what = format!(
            "silent processes, which take no new work as their lease has expired: {silent}"
        );
        context.shell.warn(what);
    }
}

fn fetch_history(client: &Client, partner: &str) -> eyre::Result<Vec<HistoryLine>> {
    let reply = client.control(&Method::GET, &format!("/tickets/{partner}"), None)?;
    if reply.status != StatusCode::OK {
        let problem: Problem = reply.json().unwrap_or_default();
        return Err(eyre::Report::new(Exit::Refused).wrap_err(problem.detail));
    }
    reply.json()
}

fn latest_number(client: &Client, partner: &str) -> eyre::Result<u64> {
    let lines = fetch_history(client, partner)?;
    let last = lines.last().map(|line| line.accepted.number);
    last.ok_or_else(|| eyre::eyre!("partner `{partner}` has no ticket"))
}

fn fetch_text(client: &Client, partner: &str, number: u64) -> eyre::Result<String> {
    let path = format!("/tickets/{partner}/{number}");
    let reply = client.control(&Method::GET, &path, None)?;
    if reply.status != StatusCode::OK {
        let problem: Problem = reply.json().unwrap_or_default();
        return Err(eyre::Report::new(Exit::Refused).wrap_err(problem.detail));
    }
    String::from_utf8(reply.body).wrap_err("the ticket's text is not UTF-8")
}
