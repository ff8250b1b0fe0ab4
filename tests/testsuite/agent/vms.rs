//! The platform's list of VMs, as an agent reads it.

use cardamomtally::{
    agent::external::HttpPlatform,
    core::{
        clock::SystemClock,
        platform::{Platform as _, VmState},
    },
    net::list::SkippedLog,
    util::log,
};
use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    sync::Arc,
    thread,
};

/// Serves a body once, and returns the list of VMs that an agent reads in it.
fn read(body: &[u8]) -> Result<Vec<(String, VmState)>, String> {
    read_as("200 OK", body)
}

/// Returns the list of VMs that an agent reads in a body with a status.
fn read_as(status: &'static str, body: &[u8]) -> Result<Vec<(String, VmState)>, String> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let body = body.to_vec();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _head = stream.read(&mut [0; 4096]).unwrap();
        let length = body.len();
        let head =
            format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .unwrap();
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let skipped = SkippedLog::new("vms", log::discard(), Arc::new(SystemClock::default()));
    let platform = HttpPlatform::new(reqwest::Client::new(), &url, skipped);
    let listed = runtime.unwrap().block_on(platform.vms());
    let vms = listed.map_err(|error| format!("{error:#}"))?;
    Ok(vms.into_iter().map(|vm| (vm.name, vm.state)).collect())
}

/// Guards against one entry of another writer that hides from all agents that their VMs
/// leave.
#[test]
fn unreadable_vm_leaves_the_others_in_force() {
    let deep = ["[".repeat(100_000), "]".repeat(100_000)].concat();
    let odd: [&[u8]; 8] = [
        br#"{"name":"odd","state":"gone"}"#,
        b"{\"name\":\"\xc3\x28\",\"state\":\"live\"}",
        br#"{"name":"\ud800","state":"live"}"#,
        br#"{"name":"odd","state":"live","age":1e999}"#,
        br#"{"name":7,"state":"live"}"#,
        deep.as_bytes(),
        b"null",
        b"NaN",
    ];
    for odd in odd {
        let (first, last) = (
            br#"[{"name":"a","state":"live"},"#,
            br#",{"name":"b","state":"leaving"}]"#,
        );
        let page = [&first[..], odd, &last[..]].concat();

        let vms = read(&page);

        let shown = String::from_utf8_lossy(&odd[..odd.len().min(60)]);
        let expected = [("a", VmState::Live), ("b", VmState::Leaving)];
        let expected = expected.map(|(name, state)| (name.to_owned(), state));
        assert_eq!(vms, Ok(expected.into()), "{shown}");
    }
}

/// Guards against the body of an answer that is no success, which is taken for the list.
#[test]
fn list_of_vms_with_another_status_than_a_success_is_an_error() {
    for status in ["101 A", "301 B", "404 C", "500 D", "600 E"] {
        let found = read_as(status, br#"[{"name":"a","state":"live"}]"#);

        assert!(found.is_err(), "{status}: {found:?}");
    }
}

/// Guards against a list that is cut short and is taken for one without a VM that leaves.
#[test]
fn list_of_vms_that_is_cut_short_is_an_error() {
    let page = br#"[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]"#;
    for length in 0..page.len() {
        assert!(read(&page[..length]).is_err(), "{length}");
    }
    assert_eq!(read(b"[]"), Ok(Vec::new()));
    read(br#"{"vms":[]}"#).unwrap_err();
    read(b"[][]").unwrap_err();
}
