//! The step that withdraws a version while callers send requests.

use super::{ServedCounts, Steps};
use crate::ops::demo::plan::{LARGE, SMALL};
use eyre::{WrapErr as _, ensure};
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Number of callers that send requests while the version is withdrawn.
const TRAFFIC_CALLERS: usize = 4;

/// Number of these callers' requests that the version must have served before its
/// withdrawal is submitted.
const REQUESTS_BEFORE_WITHDRAWAL: u64 = 20;

/// Number of these callers' requests that the other version must serve after the
/// withdrawal is in force.
const REQUESTS_AFTER_WITHDRAWAL: u64 = 40;

impl Steps<'_> {
    /// Withdraws the cheaper version while callers send requests. Checks that no request
    /// fails and that the version serves none once its withdrawal is in force.
    pub(super) fn withdraw_version(&self) -> eyre::Result<()> {
        let stop = Arc::<AtomicBool>::default();
        let before = self.served_counts()?;
        let traffic: Vec<_> = (0..TRAFFIC_CALLERS)
            .map(|n| self.runtime.spawn(self.traffic(n, Arc::clone(&stop))))
            .collect();
        let outcome = self.submit_withdrawal(before);
        stop.store(true, Ordering::Release);
        let mut sent = 0;
        for task in traffic {
            sent += self.block(async { task.await.wrap_err("a caller panicked")? })?;
        }
        let at_withdrawal = outcome?;
        let after = self.served_counts()?;
        let late = after.small - at_withdrawal.small;
        ensure!(
            late == 0,
            "{SMALL} served {late} requests after its withdrawal"
        );
        self.context.shell.status(
            "Withdrew",
            format_args!(
                "{SMALL} under {sent} requests, none failed; {SMALL} served {}, {LARGE} {}, \
                 of those {} after the withdrawal",
                after.small - before.small,
                after.large - before.large,
                after.large - at_withdrawal.large
            ),
        );
        Ok(())
    }

    /// Waits for requests to the cheaper version, submits the withdrawal, and waits for
    /// requests to the other version. Returns the counts of served requests at the time
    /// when the withdrawal came into force.
    fn submit_withdrawal(&self, before: ServedCounts) -> eyre::Result<ServedCounts> {
        self.wait_until("the cheaper version serves requests", || {
            let served = self.served_counts()?.small - before.small;
            ensure!(
                served >= REQUESTS_BEFORE_WITHDRAWAL,
                "{SMALL} has served {served} requests"
            );
            Ok(())
        })?;
        self.submit(&self.plan.withdrawal_ticket(), 2)?;
        let at_withdrawal = self.served_counts()?;
        self.wait_until(
            "the other version serves requests after the withdrawal",
            || {
                let later = self.served_counts()?.large - at_withdrawal.large;
                ensure!(
                    later >= REQUESTS_AFTER_WITHDRAWAL,
                    "{LARGE} has served {later} requests since the withdrawal"
                );
                Ok(())
            },
        )?;
        Ok(at_withdrawal)
    }

    /// Returns a task that sends requests one after the other until `stop` is set, and
    /// then returns their number. It fails with the first request that fails.
    fn traffic(
        &self,
        number: usize,
        stop: Arc<AtomicBool>,
    ) -> impl Future<Output = eyre::Result<u64>> + Send + 'static {
        let caller = self.caller.clone();
        let entry = self.deployment.entries[number % self.deployment.entries.len()].clone();
        async move {
            let mut sent = 0;
            while !stop.load(Ordering::Acquire) {
                let prompt = format!("brief-{number}-{sent} tidy this");
                caller.chat(&entry, "auto", &prompt).await?;
                sent += 1;
            }
            Ok(sent)
        }
    }
}
