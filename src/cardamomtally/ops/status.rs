//! The `status` command, which shows which ticket is in force at which process.

use super::{Format, OpContext, client::Client};
use crate::control::view::{MemberView, ProcessView, Status, SyncState};
use reqwest::Method;
use std::fmt::Write as _;

/// Options of the `status` command.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatusOptions {
    /// Lists all processes. Otherwise, only those are listed that do not hold the
    /// newest configuration or whose lease has expired.
    pub all: bool,
}

/// Fetches the state of the system from control and prints it. Warns if no quorum
/// confirmed the state, because it may then be out of date.
///
/// # Errors
///
/// Returns [`Exit::Unreachable`](super::Exit::Unreachable) if no control member answers.
pub fn run(context: &OpContext, options: &StatusOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let status: Status = client.control(&Method::GET, "/status", None)?.json()?;
    if context.format == Format::Json {
        context.shell.result(serde_json::to_string(&status)?);
        return Ok(());
    }
    if !status.confirmed {
        let warning = "no quorum confirmed this state; a newer ticket may be in force";
        context.shell.warn(warning);
    }
    context.shell.result(text(&status, options.all).trim_end());
    Ok(())
}

/// Formats the state as text. With `all`, it lists every process.
#[must_use]
pub fn text(status: &Status, all: bool) -> String {
    let mut text = format!("configuration {} ({})\n", status.index, status.digest);
    write_tickets(&mut text, status);
    write_members(&mut text, status);
    write_processes(&mut text, status, all);
    write_verdicts(&mut text, status);
    text
}

/// Appends a line. Writing to a `String` cannot fail.
fn line(text: &mut String, line: std::fmt::Arguments<'_>) {
    let _infallible = writeln!(text, "{line}");
}

fn write_tickets(text: &mut String, status: &Status) {
    text.push_str("\ntickets in force\n");
    for view in &status.tickets {
        let number = view.ticket.number;
        line(
            text,
            format_args!(
                "  {}/{number}  held by {}, lagging {}, silent {}",
                view.partner,
                view.holders,
                view.laggards.len(),
                view.silent.len()
            ),
        );
    }
}

fn write_members(text: &mut String, status: &Status) {
    text.push_str("\ncontrol members\n");
    for member in &status.members {
        let state = member_state(member);
        line(text, format_args!("  {}  {state}", member.name));
        for replica in &member.replicas {
            line(
                text,
                format_args!(
                    "    group {}  {}  term {}  commit {}  applied {}  members {}",
                    replica.group.0,
                    replica.state,
                    replica.term.0,
                    replica.commit,
                    replica.applied,
                    replica.members.len()
                ),
            );
        }
    }
}

const fn member_state(member: &MemberView) -> &'static str {
    if !member.answers {
        "does not answer"
    } else if member.leads {
        "leads"
    } else {
        "follows"
    }
}

fn write_processes(text: &mut String, status: &Status, all: bool) {
    let shown = |process: &&ProcessView| all || process.sync != SyncState::Current;
    let count = status.processes.len();
    line(text, format_args!("\nprocesses: {count}"));
    for process in status.processes.iter().filter(shown) {
        let standing = match process.sync {
            SyncState::Current => "holds",
            SyncState::Behind => "lags at",
            SyncState::Silent => "is silent since",
        };
        line(
            text,
            format_args!(
                "  {} ({})  {standing} index {}, polled {} ms ago",
                process.name, process.centre, process.holds, process.age_ms
            ),
        );
    }
}

fn write_verdicts(text: &mut String, status: &Status) {
    for view in &status.suspensions {
        line(
            text,
            format_args!(
                "suspended {} for {} s (time {}): {}",
                view.version, view.ttl_secs, view.count, view.reason
            ),
        );
    }
    for version in &status.kept {
        line(
            text,
            format_args!("kept {version}: its answers fail, but a workspace has no other version"),
        );
    }
    let (suspects, quarantined) = (status.suspects.len(), status.quarantined.len());
    line(
        text,
        format_args!("suspected requests {suspects}, quarantined {quarantined}"),
    );
    for view in &status.orders {
        let fence = view.order.fence;
        line(
            text,
            format_args!("order {fence} {}: {}", view.backend, view.order.action),
        );
    }
}
