//! Tickets as text.

use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;

/// A ticket that is being written.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub partner: String,
    pub number: u64,
    body: String,
}

impl Ticket {
    /// Begins a ticket.
    pub fn new(partner: &str, number: u64) -> Self {
        Self {
            partner: partner.to_owned(),
            number,
            body: String::new(),
        }
    }

    /// Returns its text.
    pub fn text(&self) -> String {
        format!(
            "partner = \"{}\"\nnumber = {}\nreason = \"test\"\n{}",
            self.partner, self.number, self.body
        )
    }

    /// States a data centre.
    pub fn centre(self, name: &str, state: &str) -> Self {
        self.append(&format!(
            "[[data_centre]]\nname = \"{name}\"\nregion = \"scot-central\"\nstate = \"{state}\"\n"
        ))
    }

    /// States a backend server with its site.
    pub fn backend(
        self,
        name: &str,
        site: Option<(&str, &str)>,
        versions: &[&str],
        services: &[&str],
    ) -> Self {
        self.backend_in_state(name, "in", site, versions, services)
    }

    /// States a backend server and whether it is in service.
    pub fn backend_in_state(
        mut self,
        name: &str,
        state: &str,
        site: Option<(&str, &str)>,
        versions: &[&str],
        services: &[&str],
    ) -> Self {
        write!(
            self.body,
            "[[backend_server]]\nname = \"{name}\"\nstate = \"{state}\"\nversions = {versions:?}\nservices = {services:?}\n"
        )
        .unwrap();
        if let Some((centre, agent)) = site {
            write!(
                self.body,
                "data_centre = \"{centre}\"\nagent = \"{agent}\"\nchecks_fencing = true\n"
            )
            .unwrap();
        }
        self
    }

    /// States a version.
    pub fn version(self, name: &str, cost: f64, stage: &str) -> Self {
        self.append(&format!(
            "[[version]]\nname = \"{name}\"\ncost = {cost:?}\nstage = \"{stage}\"\n"
        ))
    }

    /// States a version that rolls in.
    pub fn rolling(self, name: &str, cost: f64, share: f64) -> Self {
        self.append(&format!(
            "[[version]]\nname = \"{name}\"\ncost = {cost:?}\nstage = \"rolling-in\"\nshare = {share:?}\n"
        ))
    }

    /// States a cascade.
    pub fn cascade(self, name: &str, steps: &[&str]) -> Self {
        self.append(&format!(
            "[[cascade]]\nname = \"{name}\"\nsteps = {steps:?}\n"
        ))
    }

    /// States a plain service with submissions that may not be repeated.
    pub fn service(self, name: &str, path: &str) -> Self {
        self.append(&format!(
            "[[service]]\nname = \"{name}\"\npath = \"{path}\"\nroute = [\n  \
             {{ method = \"POST\", path = \"/jobs\", repeatable = false }},\n  \
             {{ method = \"GET\", path = \"/jobs/*\", repeatable = true }},\n]\n"
        ))
    }

    /// States a workspace whose key is its name followed by `-key`.
    pub fn workspace(self, name: &str, versions: &[&str], services: &[&str]) -> Self {
        self.workspace_with(name, versions, services, "")
    }

    /// States a workspace with further lines, such as its cascade.
    pub fn workspace_with(
        self,
        name: &str,
        versions: &[&str],
        services: &[&str],
        extra: &str,
    ) -> Self {
        let key = sha256_hex(&format!("{name}-key"));
        self.append(&format!(
            "[[workspace]]\nname = \"{name}\"\nkeys = [\"{key}\"]\nversions = {versions:?}\n\
             services = {services:?}\nquality = 0.8\npriority = 3\n{extra}\n"
        ))
    }

    fn append(mut self, text: &str) -> Self {
        self.body.push_str(text);
        self
    }
}

/// Returns the SHA-256 of a text in hexadecimal.
pub fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().fold(String::new(), |mut hex, byte| {
        write!(hex, "{byte:02x}").unwrap();
        hex
    })
}
