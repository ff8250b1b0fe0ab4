//! The verb `demo`: a small site on this machine.
//!
//! [`run`] plans a deployment ([`plan`]), starts its processes on loopback
//! ([`processes`]), and then goes through what operators and callers do with it,
//! step by step ([`steps`]). Each step is checked; the first that does not hold
//! ends the demo with an error. The processes end with the demo, also when it
//! is interrupted.

mod caller;
mod plan;
mod processes;
mod steps;

use super::OpContext;
use eyre::WrapErr as _;
use plan::Plan;
use processes::Running;
use steps::Steps;

/// Options of the verb `demo`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemoOptions {
    /// Whose deployment is shown: `clydeside` or `prairie`.
    pub partner: String,
    /// Whether the folder with settings and logs is kept.
    pub keep: bool,
}

impl Default for DemoOptions {
    fn default() -> Self {
        Self {
            partner: plan::CLYDESIDE.to_owned(),
            keep: false,
        }
    }
}

/// Runs the demo.
///
/// # Errors
///
/// Returns an error if a process cannot start or a step does not hold.
pub fn run(context: &OpContext, options: &DemoOptions) -> eyre::Result<()> {
    let plan = Plan::of(&options.partner)?;
    let mut folder = tempfile::Builder::new()
        .prefix("cardamomtally-demo-")
        .tempdir()
        .wrap_err("failed to create a temporary folder")?;
    folder.disable_cleanup(options.keep);
    context.shell.status("Starting", &plan);
    let mut running = Running::start(&plan, folder.path())?;
    let outcome = Steps::new(context, &plan, &running).and_then(Steps::run);
    if outcome.is_err() {
        running.print_logs(context.shell);
    }
    steps::stop(context, &mut running, outcome?)?;
    if options.keep {
        context.shell.status("Kept", folder.path().display());
    }
    context.shell.status("Finished", "every step held");
    Ok(())
}
