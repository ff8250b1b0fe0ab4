//! Pins the choices and estimates of an entry without overload control.

use super::choice::{config, fleet, service};
use cardamomtally::{
    direct::{
        fleet::{
            registry::{Registry, Requirements},
            statement::Statement,
        },
        request::{names::HeaderNames, prompt::Prompt},
    },
    prelude::*,
    scheduling::settings::{Mode, SchedulingSettings},
};
use http::{HeaderMap, HeaderValue, StatusCode};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::sync::atomic::{AtomicU64, Ordering};

/// A clock that the test sets, in microseconds.
#[derive(Debug, Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    /// Lets a time pass.
    pub fn pass(&self, time: Duration) {
        self.0.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Mono {
        Mono(self.0.load(Ordering::Relaxed))
    }

    fn wall_micros(&self) -> u64 {
        0
    }
}

/// Returns what a backend server says in an answer with a load report.
pub fn report(figures: &str) -> Statement {
    let (names, id) = (HeaderNames::default(), HeaderValue::from_static("a-1"));
    let mut headers = HeaderMap::new();
    headers.insert("cardamomtally-load", figures.parse().unwrap());
    headers.insert("cardamomtally-attempt", id.clone());
    Statement::read(&names, &id, StatusCode::OK, &headers).unwrap()
}

/// Plays a fixed sequence of requests and load reports. Returns a hash of all choices with
/// their estimates, and the last of them as text.
fn play(scheduling: Option<SchedulingSettings>, pace: &str) -> (u64, String) {
    let clock = Arc::new(ManualClock::default());
    let mut fleet = fleet(&["i-1", "i-2", "i-3", "i-4", "i-5"]);
    fleet.backends[4].centre = "south".into();
    let config = config(fleet);
    let registry = Registry::new(Arc::clone(&clock) as Arc<dyn Clock>, "north".into());
    let registry = Arc::new(registry.with_scheduling(scheduling));
    let (service, mut rng) = (service(), SmallRng::seed_from_u64(11));
    let (mut running, mut hash, mut last) = (Vec::new(), 0_u64, String::new());
    for step in 0..400_u64 {
        clock.pass(Duration::from_micros(rng.random_range(500..9_000)));
        let (prefix, shared) = match rng.random_range(0..3) {
            0 => (None, 0),
            id => (Some(id), 900 * id as u32),
        };
        let prompt = Prompt {
            prefix,
            shared,
            own: rng.random_range(10..9_000),
            ..Prompt::default()
        };
        let wanted = Requirements {
            service: &service,
            session: step,
            model: Some(if step % 3 == 0 { "large" } else { "small" }),
            prompt,
            tried: &[],
            careful: step % 41 == 0,
        };
        let choice = registry.choose(&config, &wanted).unwrap();
        last = format!(
            "{} {:.6} {:.6} {:.6} {:.6}",
            choice.backend.instance,
            choice.estimate.cost,
            choice.estimate.ttft,
            choice.backlog,
            choice.load
        );
        for byte in last.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        running.push(choice);
        if running.len() > 12 {
            let mut done = running.swap_remove(rng.random_range(0..running.len()));
            clock.pass(Duration::from_micros(rng.random_range(100..4_000)));
            done.prefill_finished();
            let (run, wait) = (rng.random_range(0..6), rng.random_range(0..3));
            registry.record_statement(&done, report(&format!("{run},{wait},8{pace}")), 1);
            done.record_success();
        }
    }
    (hash, last)
}

/// Guards against changes of the choice, the estimate or the learning where no overload
/// control is asked for. The expected values were computed with the code before it existed.
#[test]
fn choices_without_overload_control_are_as_before_it_existed() {
    let last = "i-3 268.514468 120.218278 74.910343 0.375000";
    let expected = (3_047_176_880_940_890_535, last.to_owned());
    let mode = |mode| {
        Some(SchedulingSettings {
            mode,
            ..SchedulingSettings::default()
        })
    };

    assert_eq!(play(None, ""), expected);
    assert_eq!(play(None, ",250"), expected);
    assert_eq!(play(mode(Mode::Off), ",250"), expected);
    assert_eq!(play(mode(Mode::Auto), ""), expected);
    assert_eq!(play(mode(Mode::Auto), ",0"), expected);
}
