//! Writes tickets in the text form that operators submit.

use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;

/// A ticket under construction; each method appends one section.
#[derive(Clone, Debug)]
pub struct Ticket {
    pub partner: String,
    pub number: u64,
    body: String,
}

impl Ticket {
    /// Creates a ticket without sections.
    pub fn new(partner: &str, number: u64) -> Self {
        Self {
            partner: partner.to_owned(),
            number,
            body: String::new(),
        }
    }

    /// Returns the whole text of the ticket.
    pub fn text(&self) -> String {
        format!(
            "partner = \"{}\"\nnumber = {}\nreason = \"test\"\n{}",
            self.partner, self.number, self.body
        )
    }

    /// Appends a data centre, with the state `in` or `out`.
    pub fn centre(self, name: &str, state: &str) -> Self {
        self.append(&format!(
            "[[data_centre]]\nname = \"{name}\"\nregion = \"scot-central\"\nstate = \"{state}\"\n"
        ))
    }

    /// Appends a backend server with the state `in`. `site` is its data centre and
    /// the address of its agent; without it the ticket leaves these out.
    pub fn backend(
        self,
        name: &str,
        site: Option<(&str, &str)>,
        versions: &[&str],
        services: &[&str],
    ) -> Self {
        self.backend_in_state(name, "in", site, versions, services)
    }

    /// Appends a backend server with the state `in` or `out`.
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

    /// Appends a version with a stage, such as `in-service` or `withdrawn`.
    pub fn version(self, name: &str, cost: f64, stage: &str) -> Self {
        self.append(&format!(
            "[[version]]\nname = \"{name}\"\ncost = {cost:?}\nstage = \"{stage}\"\n"
        ))
    }

    /// Appends a version that is being rolled out and takes a share of the traffic.
    pub fn rolling(self, name: &str, cost: f64, share: f64) -> Self {
        self.append(&format!(
            "[[version]]\nname = \"{name}\"\ncost = {cost:?}\nstage = \"rolling-in\"\nshare = {share:?}\n"
        ))
    }

    /// Appends a cascade of versions, from the first step to the last.
    pub fn cascade(self, name: &str, steps: &[&str]) -> Self {
        self.append(&format!(
            "[[cascade]]\nname = \"{name}\"\nsteps = {steps:?}\n"
        ))
    }

    /// Appends a plain service: `POST /jobs` may not be repeated, and
    /// `GET /jobs/*` may.
    pub fn service(self, name: &str, path: &str) -> Self {
        self.append(&format!(
            "[[service]]\nname = \"{name}\"\npath = \"{path}\"\nroute = [\n  \
             {{ method = \"POST\", path = \"/jobs\", repeatable = false }},\n  \
             {{ method = \"GET\", path = \"/jobs/*\", repeatable = true }},\n]\n"
        ))
    }

    /// Appends a workspace whose key is its name followed by `-key`.
    pub fn workspace(self, name: &str, versions: &[&str], services: &[&str]) -> Self {
        self.workspace_with(name, versions, services, "")
    }

    /// Appends a workspace with further lines, such as the name of its cascade.
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
