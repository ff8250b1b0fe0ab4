//! Calls of agents over connections that are kept.

use crate::agent::fixtures::{attempt, head, version};
use bytes::Bytes;
use cardamomtally::{
    entry::agents::{Agents as _, AttemptRequest, CallError, HttpAgents},
    net::run::Target,
    prelude::*,
    settings::entry::RetrySettings,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Reads requests without a body and writes the same refusal to each.
async fn refuse(mut stream: TcpStream, refusal: String) {
    let (mut text, mut bytes) = (String::new(), [0; 4096]);
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        if text.ends_with("\r\n\r\n") {
            text.clear();
            stream.write_all(refusal.as_bytes()).await.unwrap();
        }
    }
}

/// Guards against "not run" for an attempt that runs: an earlier refusal, written once more.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_another_attempt_proves_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let agent: Name = listener.local_addr().unwrap().to_string().into();
    let refusal = format!(
        "HTTP/1.1 503 Busy\r\nX-Cardamomtally-Attempt: {}\r\nX-Cardamomtally-Verdict: not-run\r\n\
         Content-Length: 0\r\n\r\n",
        attempt(1)
    );
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(refuse(stream, refusal.clone()));
        }
    });
    let agents = HttpAgents::new(&RetrySettings::default()).unwrap();
    let run = |number| {
        agents.run(AttemptRequest {
            agent: Arc::clone(&agent),
            attempt: attempt(number),
            head: head(Target::Version(version("a@1"))),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
        })
    };

    let own = run(1).await.unwrap_err();
    let other = run(2).await.unwrap_err();

    assert!(own.proves_not_run(), "{own:?}");
    assert!(matches!(other, CallError::Ambiguous(_)), "{other:?}");
}
