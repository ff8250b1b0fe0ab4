//! The pollers that entries and agents run, many of them in one process.

use cardamomtally::{
    daemon::Context,
    lease::{Identity, Lease as _, Poller},
    net::{nng::Client, transport::Transport, wire::Role},
    prelude::*,
    settings::common::{LogSettings, PollSettings, ProcessSettings, TimelineSettings},
};
use metrics_exporter_prometheus::PrometheusBuilder;
use std::{thread, time::Instant};

/// Timeout of the wait for a condition; the bench panics after it.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Many running pollers, each with its own client.
pub struct Pollers {
    context: Context,
    pollers: Vec<(Arc<Poller>, Arc<Client>)>,
}

impl Pollers {
    /// Starts `count` pollers of the members, with the default settings.
    pub fn start(count: usize, members: &[String]) -> Self {
        let process = ProcessSettings {
            name: "pollers".to_owned(),
            data_centre: "glasgow".to_owned(),
        };
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let timeline = TimelineSettings {
            events: 0,
            ..TimelineSettings::default()
        };
        let context = Context::new(&process, &LogSettings::default(), &timeline, metrics);
        let context = context.expect("no file is opened");
        let settings = PollSettings {
            members: members.to_vec(),
            ..PollSettings::default()
        };
        let start = |number| {
            let client = Arc::<Client>::default();
            let identity = Identity {
                name: format!("poller-{number}").into(),
                role: Role::Agent,
                incarnation: Incarnation::random(),
                centre: "glasgow".into(),
                http: "127.0.0.1:1".into(),
            };
            let transport = Arc::clone(&client) as Arc<dyn Transport>;
            let poller = Poller::start(settings.clone(), identity, transport, context.clone());
            (poller, client)
        };
        Self {
            pollers: (0..count).map(start).collect(),
            context: context.clone(),
        }
    }

    /// Waits until every poller has a valid lease.
    pub fn wait_valid(&self) {
        let now = || self.context.clock.now();
        self.wait(|poller| poller.held().is_valid(now()));
    }

    /// Waits until every poller holds the configuration of an index or a later one,
    /// or has no valid lease.
    pub fn wait_for_index(&self, index: u64) {
        let now = || self.context.clock.now();
        self.wait(|poller| {
            let held = poller.held();
            held.config.index >= Index(index) || !held.is_valid(now())
        });
    }

    /// Returns the number of bytes that all pollers have sent and received.
    pub fn bytes(&self) -> u64 {
        let total = |client: &Client| {
            let (sent, received) = client.traffic();
            sent + received
        };
        self.pollers.iter().map(|(_, client)| total(client)).sum()
    }

    fn wait(&self, condition: impl Fn(&Poller) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.pollers.iter().all(|(poller, _)| condition(poller)) {
            assert!(
                Instant::now() < end,
                "the pollers did not reach the expected state within {WAIT_TIMEOUT:?}"
            );
            thread::sleep(CHECK_INTERVAL);
        }
    }
}
