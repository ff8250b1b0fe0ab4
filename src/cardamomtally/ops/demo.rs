//! The `demo` command, which runs a small deployment on this machine.
//!
//! [`run`] plans a deployment ([`plan`]) and starts its processes on the loopback
//! interface ([`processes`]). It then does what operators and callers do with a
//! deployment, step by step ([`steps`]). Each step checks its result, and the first
//! failure ends the demo with an error. The processes end with the demo, also when the
//! demo is interrupted.

mod caller;
mod plan;
mod processes;
mod steps;

use super::OpContext;
use eyre::WrapErr as _;
use plan::Plan;
use processes::Deployment;
use steps::Steps;

/// Options of the `demo` command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemoOptions {
    /// The partner whose deployment is run, `clydeside` or `prairie`.
    pub partner: String,
    /// Whether the temporary folder with settings, logs and state is kept afterwards.
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

/// Runs the demo from start to stop. If a step fails, the last lines of each process's
/// log are printed.
///
/// # Errors
///
/// Returns an error if the partner is unknown, if a process cannot be started, or if a
/// step fails.
pub fn run(context: &OpContext, options: &DemoOptions) -> eyre::Result<()> {
    let plan = Plan::for_partner(&options.partner)?;
    let mut folder = tempfile::Builder::new()
        .prefix("cardamomtally-demo-")
        .tempdir()
        .wrap_err("failed to create a temporary folder")?;
    folder.disable_cleanup(options.keep);
    context.shell.status("Starting", &plan);
    let mut deployment = Deployment::start(&plan, folder.path())?;
    let outcome = Steps::new(context, &plan, &deployment).and_then(Steps::run);
    if outcome.is_err() {
        deployment.print_logs(context.shell);
    }
    steps::stop(context, &mut deployment, outcome?)?;
    if options.keep {
        context.shell.status("Kept", folder.path().display());
    }
    context.shell.status("Finished", "every step succeeded");
    Ok(())
}
