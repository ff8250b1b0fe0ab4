//! The `bills` command, which sums bills by partner, workspace and version.

use super::{Exit, Format, OpContext, client::Client};
use crate::core::claim::BillSum;
use reqwest::{Method, StatusCode};
use std::fmt::Write as _;

/// Number of millionths in one unit of cost. The ledger counts cost in millionths.
const MICROS_PER_UNIT: f64 = 1_000_000.0;

/// Options of the `bills` command.
#[derive(Clone, Debug, Default)]
pub struct BillsOptions {
    /// Includes only bills of this partner.
    pub partner: Option<String>,
    /// Includes only bills of this workspace.
    pub workspace: Option<String>,
}

/// Fetches the sums of bills from control, filters them and prints them, sorted by
/// partner, workspace and version.
///
/// # Errors
///
/// Returns [`Exit::Unreachable`] if no control member answers, and [`Exit::Refused`] if
/// the member that answers refuses the call.
pub fn run(context: &OpContext, options: &BillsOptions) -> eyre::Result<()> {
    let client = Client::new(context)?;
    let reply = client.control(&Method::GET, "/bills", None)?;
    if reply.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(eyre::Report::new(Exit::Refused).wrap_err(text));
    }
    let mut sums: Vec<BillSum> = reply.json()?;
    sums.retain(|sum| options.includes(sum));
    sums.sort_by_key(sort_key);
    context
        .shell
        .result(render(&sums, context.format)?.trim_end());
    Ok(())
}

impl BillsOptions {
    fn includes(&self, sum: &BillSum) -> bool {
        let matches = |wanted: &Option<String>, name: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == name)
        };
        matches(&self.partner, &sum.partner) && matches(&self.workspace, &sum.workspace)
    }
}

fn sort_key(sum: &BillSum) -> (String, String, String) {
    let BillSum {
        partner,
        workspace,
        version,
        ..
    } = sum;
    (
        partner.to_string(),
        workspace.to_string(),
        version.to_string(),
    )
}

/// Formats the sums.
///
/// # Errors
///
/// Returns an error if the sums cannot be encoded as JSON.
pub fn render(sums: &[BillSum], format: Format) -> eyre::Result<String> {
    match format {
        Format::Csv => Ok(csv(sums)),
        Format::Json => Ok(serde_json::to_string(sums)?),
        Format::Text => Ok(text(sums)),
    }
}

fn csv(sums: &[BillSum]) -> String {
    let mut out = String::from(
        "partner,workspace,version,requests,prompt_tokens,completion_tokens,cost_micros\n",
    );
    for sum in sums {
        let names = [
            quote(&sum.partner),
            quote(&sum.workspace),
            quote(&sum.version.to_string()),
        ];
        // Writing to a `String` cannot fail.
        let _infallible = writeln!(
            out,
            "{},{},{},{},{}",
            names.join(","),
            sum.requests,
            sum.prompt_tokens,
            sum.completion_tokens,
            sum.cost_micros
        );
    }
    out
}

/// Quotes a CSV field if it contains a comma, a quote or a line break.
fn quote(field: &str) -> String {
    if field.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", field.replace('"', "\"\""))
    } else {
        field.to_owned()
    }
}

fn text(sums: &[BillSum]) -> String {
    let mut out = format!(
        "{:<16} {:<16} {:<32} {:>10} {:>14} {:>14} {:>14}\n",
        "PARTNER", "WORKSPACE", "VERSION", "REQUESTS", "PROMPT", "COMPLETION", "COST"
    );
    for sum in sums {
        let cost = sum.cost_micros as f64 / MICROS_PER_UNIT;
        // Writing to a `String` cannot fail.
        let _infallible = writeln!(
            out,
            "{:<16} {:<16} {:<32} {:>10} {:>14} {:>14} {cost:>14.6}",
            sum.partner,
            sum.workspace,
            sum.version.to_string(),
            sum.requests,
            sum.prompt_tokens,
            sum.completion_tokens,
        );
    }
    out
}
