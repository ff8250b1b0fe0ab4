//! Calls of the rating service.

use bytes::Bytes;
use cardamomtally::{
    core::rater::{Rater as _, Sample},
    entry::rating::HttpRater,
    settings::entry::RatingSettings,
};
use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
};

/// Answers the first request on a connection with the next score, and others with that score
/// once more. Requests end with the end of a JSON object.
fn serve(mut stream: TcpStream, served: &AtomicU32) {
    let (mut text, mut bytes) = (String::new(), [0; 4096]);
    let mut earlier = None;
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        if !text.ends_with('}') {
            continue;
        }
        text.clear();
        let number = served.fetch_add(1, Ordering::AcqRel) + 1;
        let score = *earlier.get_or_insert(f64::from(number) / 100.0);
        let body = format!("{{\"score\":{score}}}");
        let length = body.len();
        let sent = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        if stream.write_all(sent.as_bytes()).is_err() {
            return;
        }
    }
}

/// Guards against the score of an earlier answer, which a service writes once more.
#[tokio::test(flavor = "multi_thread")]
async fn score_of_an_earlier_answer_is_not_taken_for_this_one() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let served = Arc::<AtomicU32>::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let served = Arc::clone(&served);
            thread::spawn(move || serve(stream, &served));
        }
    });
    let settings = RatingSettings {
        url: Some(url),
        ..RatingSettings::default()
    };
    let rater = HttpRater::new(&settings).unwrap().unwrap();

    for number in 1..=3 {
        let sample = Sample {
            version: "a/m@1".to_owned(),
            prompt: Bytes::from_static(b"{}"),
            answer: Bytes::from_static(b"{}"),
        };
        let score = rater.rate(sample).await.unwrap();

        let own = f64::from(number) / 100.0;
        assert!((score - own).abs() < 1e-9, "{score} for {own}");
    }
}
