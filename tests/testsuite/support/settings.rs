//! Text of the daemons' settings files.

use std::{fmt::Write as _, net::SocketAddr, path::Path};

/// A control member as another one's settings name it.
#[derive(Clone, Debug)]
pub struct MemberAddr {
    pub name: String,
    pub poll: String,
    pub peer: String,
}

/// Returns the settings of a control member.
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

/// Returns the settings of an entry.
pub fn entry(name: &str, centre: &str, control: &[String]) -> String {
    process_section(name, centre) + &control_section(control)
}

/// Returns the settings of an agent.
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
