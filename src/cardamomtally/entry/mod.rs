//! The process that callers talk to: HTTP, retries, cascades, the reply.

use crate::{daemon::Context, settings::EntrySettings};

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Returns an error if the process cannot start.
pub async fn run(settings: EntrySettings, context: Context) -> eyre::Result<()> {
    let rocket = crate::daemon::http::build(&settings.http, &context)?;
    let bound = crate::daemon::http::Bound {
        name: settings.process.name.clone(),
        ..Default::default()
    };
    crate::daemon::http::serve(rocket, &settings.http, &context, bound).await
}
