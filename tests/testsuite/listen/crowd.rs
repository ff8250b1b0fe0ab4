//! Who gives way when all connections are taken.

use cardamomtally::{
    listen::{activity::Activity, crowd::Crowd, progress::Progress},
    prelude::*,
};
use std::sync::atomic::{AtomicU64, Ordering};

/// A clock that the test sets, in seconds.
#[derive(Debug, Default)]
struct SetClock(AtomicU64);

impl SetClock {
    fn set(&self, secs: f64) -> Mono {
        self.0.store((secs * 1e6) as u64, Ordering::Release);
        self.now()
    }
}

impl Clock for SetClock {
    fn now(&self) -> Mono {
        Mono(self.0.load(Ordering::Acquire))
    }

    fn wall_micros(&self) -> u64 {
        0
    }
}

fn opened(now: Mono) -> Arc<Activity> {
    Arc::new(Activity::opened(now))
}

async fn is_dismissed(activity: &Activity) -> bool {
    let dismissed = activity.is_dismissed();
    tokio::time::timeout(Duration::from_millis(10), dismissed)
        .await
        .is_ok()
}

/// Guards against newcomers that wait behind clients which send nothing.
#[tokio::test]
async fn newcomer_takes_the_place_of_the_client_that_sent_least() {
    let clock = SetClock::default();
    let crowd = Arc::new(Crowd::new(3));
    let start = clock.set(10.0);
    let [sender, silent, older] = [start, start, Mono(start.0 - 1)].map(opened);
    let _places = [&sender, &silent, &older].map(|a| crowd.enter(a, start).unwrap());
    sender.note_bytes(&clock, 1_000);
    older.note_bytes(&clock, 10);

    let now = clock.set(12.0);
    let _first = crowd.enter(&opened(now), now).unwrap();
    let _second = crowd.enter(&opened(now), now).unwrap();

    assert!(is_dismissed(&silent).await);
    assert!(is_dismissed(&older).await);
    assert!(!is_dismissed(&sender).await);
}

/// Guards against a request in flight, or a client that has just come, that is cut off.
#[tokio::test]
async fn connections_with_a_request_or_within_their_grace_are_kept() {
    let clock = SetClock::default();
    let crowd = Arc::new(Crowd::new(2));
    let start = clock.set(10.0);
    let busy = opened(start);
    busy.begin(false);
    let _kept = crowd.enter(&busy, start).unwrap();
    let now = clock.set(20.0);
    let fresh = opened(now);
    let _fresh = crowd.enter(&fresh, now).unwrap();

    let refused = crowd.enter(&opened(now), now);
    let later = clock.set(21.5);
    let admitted = crowd.enter(&opened(later), later);

    assert!(refused.is_none());
    assert!(admitted.is_some());
    assert!(is_dismissed(&fresh).await);
    assert!(!is_dismissed(&busy).await);
}

/// Guards against a body that is sent so slowly that its connection is never free.
#[tokio::test]
async fn client_that_sends_its_body_too_slowly_gives_way() {
    let clock = SetClock::default();
    let crowd = Arc::new(Crowd::new(1));
    let start = clock.set(10.0);
    let slow = opened(start);
    let _place = crowd.enter(&slow, start).unwrap();
    slow.begin(false);
    slow.begin_body(start);

    let now = clock.set(12.0);
    let admitted = crowd.enter(&opened(now), now);

    assert!(admitted.is_some());
    assert!(is_dismissed(&slow).await);
}

/// Guards against a place that is lost or counted twice when its connection ends.
#[test]
fn place_is_free_again_once() {
    let crowd = Arc::new(Crowd::new(1));
    let now = Mono(1);
    let place = crowd.enter(&opened(now), now);
    assert!(crowd.enter(&opened(now), now).is_none());

    drop(place);
    let again = crowd.enter(&opened(now), now);

    assert!(again.is_some());
    assert!(crowd.enter(&opened(now), now).is_none());
}

#[test]
fn bytes_count_less_the_longer_ago_they_came() {
    let mut progress = Progress::default();
    progress.note(Mono(1_000_000), 800);

    let later = progress.recent(Mono(3_000_000));
    progress.note(Mono(3_000_000), 100);

    assert!((later - 200.0).abs() < 1e-6, "{later}");
    assert!((progress.recent(Mono(3_000_000)) - 300.0).abs() < 1e-6);
}
