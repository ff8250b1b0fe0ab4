//! Compression of large commands in the log.

use cardamomtally::{
    net::codec,
    replica::{
        packing::{pack, unpack},
        peers::{Body, Envelope},
    },
};
use serde::Serialize;

/// An envelope as members of a build before compressed commands sent it.
#[derive(Serialize)]
struct FormerEnvelope {
    f: &'static str,
    h: bool,
    g: u32,
    b: Body,
}

#[test]
fn large_command_is_packed_once_and_unpacked() {
    let command = codec::encode(&"route ".repeat(2_000));

    let packed = pack(command.clone());

    assert!(packed.len() * 10 < command.len());
    assert_eq!(pack(packed.clone()), packed);
    assert_eq!(unpack(&packed).unwrap(), command);
}

#[test]
fn small_command_stays_as_it_is() {
    let command = codec::encode(&"route");

    assert_eq!(pack(command.clone()), command);
    assert_eq!(unpack(&command).unwrap(), command);
    assert_eq!(unpack(b"").unwrap(), b"");
}

#[test]
fn damaged_command_is_an_error() {
    let mut packed = pack(codec::encode(&"route ".repeat(2_000)));
    packed.truncate(20);

    assert_eq!(unpack(&packed).ok(), None);
}

#[test]
fn member_of_a_former_build_is_taken_to_read_no_packed_commands() {
    let former = FormerEnvelope {
        f: "control-1",
        h: true,
        g: 0,
        b: Body::Ping,
    };

    let envelope: Envelope = codec::decode(&codec::encode(&former)).unwrap();

    assert!(!envelope.reads_packed);
}
