//! Writes the daemons' settings files.

use std::{fmt::Write as _, net::SocketAddr, path::Path};

/// The name and addresses of a control member, as the settings of another control
/// member give them.
#[derive(Clone, Debug)]
pub struct MemberAddr {
    pub name: String,
    pub poll: String,
    pub peer: String,
}

/// Returns the settings of a control member. `operators` are the partners and the
/// SHA-256 of their operators' tokens.
pub fn control(
    name: &str,
    centre: &str,
    folder: &Path,
    members: &[MemberAddr],
    operators: &[(&str, String)],
) -> String {
    let mut text = process_section(name, centre);
    let folder = folder.display();
    write!(
        text,
        "[group]\nfolder = \"{folder}\"\nbind_poll = \"127.0.0.1:0\"\nbind_peer = \"127.0.0.1:0\"\n"
    )
    .unwrap();
    for member in members {
        write!(
            text,
            "[[group.member]]\nname = \"{}\"\npoll = \"{}\"\npeer = \"{}\"\n",
            member.name, member.poll, member.peer
        )
        .unwrap();
    }
    for (partner, token_sha256) in operators {
        write!(
            text,
            "[[operator]]\npartner = \"{partner}\"\ntoken_sha256 = \"{token_sha256}\"\n"
        )
        .unwrap();
    }
    text
}

/// Returns the settings of an entry that polls the control members at `control`.
pub fn entry(name: &str, centre: &str, control: &[String]) -> String {
    process_section(name, centre) + &control_section(control)
}

/// Returns the settings of an agent that polls the control members at `control`
/// and forwards to the backend server at `engine`. `extra` is appended as is.
pub fn agent(
    name: &str,
    centre: &str,
    control: &[String],
    engine: SocketAddr,
    extra: &str,
) -> String {
    process_section(name, centre)
        + &control_section(control)
        + &format!("[backend]\nurl = \"http://{engine}\"\n")
        + extra
}

fn process_section(name: &str, centre: &str) -> String {
    format!("[process]\nname = \"{name}\"\ndata_centre = \"{centre}\"\n[http]\nthreads = 2\n")
}

fn control_section(control: &[String]) -> String {
    format!("[control]\nmembers = {control:?}\ninterval = \"500ms\"\n")
}
