//! The parts of a demo deployment, and the tickets that configure it.

use crate::core::snapshot::hash_secret;
use eyre::bail;
use std::fmt;

/// Name of the partner with data centres in Scotland.
pub const CLYDESIDE: &str = "clydeside";

/// Name of the partner with data centres on the Canadian prairie.
pub const PRAIRIE: &str = "prairie";

/// The cheaper model version, first in the cascade.
pub const SMALL: &str = "draft-small@1";

/// The more expensive model version, last in the cascade.
pub const LARGE: &str = "draft-large@1";

/// Cost of 1000 tokens of [`SMALL`], as written in tickets.
const SMALL_COST: &str = "0.2";

/// Cost of 1000 tokens of [`LARGE`], as written in tickets.
const LARGE_COST: &str = "1.0";

/// Number of control members. Three tolerate the loss of one.
pub const CONTROL_MEMBERS: usize = 3;

/// A backend server of a deployment.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name in the ticket, which is also the name of its agent.
    pub name: String,
    /// Name of its data centre.
    pub centre: &'static str,
    /// Whether it is a model engine. Otherwise it runs the plain service.
    pub engine: bool,
}

/// A deployment to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the partner whose deployment it is.
    pub partner: &'static str,
    /// Region of all data centres.
    pub region: &'static str,
    /// Names of the data centres.
    pub centres: Vec<&'static str>,
    /// The backend servers: an engine in each data centre, and one plain service.
    pub backends: Vec<Backend>,
    /// Name of the plain service, which serves no model.
    pub service: &'static str,
    /// Name of the workspace of the demo's callers.
    pub workspace: &'static str,
}

impl Plan {
    /// Returns a partner's deployment, scaled down to one machine.
    ///
    /// # Errors
    ///
    /// Returns an error if the partner is unknown.
    pub fn for_partner(partner: &str) -> eyre::Result<Self> {
        match partner {
            CLYDESIDE => Ok(Self {
                partner: CLYDESIDE,
                region: "scot-central",
                centres: vec!["glasgow", "dundee", "aberdeen"],
                backends: backends(&["glasgow", "dundee", "aberdeen"], "glasgow"),
                service: "queue",
                workspace: "counter",
            }),
            PRAIRIE => Ok(Self {
                partner: PRAIRIE,
                region: "prairie-west",
                centres: vec!["saskatoon-a", "regina-b", "brandon-c", "moosejaw-d"],
                backends: backends(
                    &["saskatoon-a", "regina-b", "brandon-c", "moosejaw-d"],
                    "regina-b",
                ),
                service: "booking",
                workspace: "commissions",
            }),
            other => bail!("unknown partner `{other}`; use `{CLYDESIDE}` or `{PRAIRIE}`"),
        }
    }

    /// Returns name and data centre of each entry.
    pub fn entries(&self) -> [(String, &'static str); 2] {
        [0, 1].map(|n| (format!("entry-{}", n + 1), self.centres[n]))
    }

    /// Returns the bearer token of the partner's operators.
    pub fn operator_token(&self) -> String {
        format!("{}-operator", self.partner)
    }

    /// Returns the bearer key of the workspace's callers.
    pub fn workspace_key(&self) -> String {
        format!("{}-key", self.workspace)
    }

    /// Returns the first ticket, which defines all objects and puts both versions in
    /// service. `agents` are the agents' addresses, in the order of the backend servers.
    pub fn first_ticket(&self, agents: &[String]) -> String {
        let mut text = format!(
            "partner = \"{}\"\nnumber = 1\nreason = \"the deployment opens\"\n",
            self.partner
        );
        text.extend(self.centres.iter().map(|centre| self.centre_table(centre)));
        let backends = self.backends.iter().zip(agents);
        text.extend(backends.map(|(backend, agent)| self.backend_table(backend, agent)));
        text += &version_table(SMALL, SMALL_COST, "in-service");
        text += &version_table(LARGE, LARGE_COST, "in-service");
        text += &self.service_tables();
        text + &self.workspace_table()
    }

    fn centre_table(&self, centre: &str) -> String {
        format!(
            "\n[[data_centre]]\nname = \"{centre}\"\nregion = \"{}\"\nstate = \"in\"\n",
            self.region
        )
    }

    fn service_tables(&self) -> String {
        format!(
            "\n[[cascade]]\nname = \"drafts\"\nsteps = [\"{SMALL}\", \"{LARGE}\"]\n\
             \n[[service]]\nname = \"{0}\"\npath = \"/{0}\"\nroute = [\n  \
             {{ method = \"POST\", path = \"/jobs\", repeatable = false }},\n  \
             {{ method = \"GET\", path = \"/jobs/*\", repeatable = true }},\n]\n",
            self.service
        )
    }

    /// Returns the second ticket, which withdraws the cheaper version.
    pub fn withdrawal_ticket(&self) -> String {
        let head = format!(
            "partner = \"{}\"\nnumber = 2\nreason = \"{SMALL} is withdrawn\"\n",
            self.partner
        );
        head + &version_table(SMALL, SMALL_COST, "withdrawn")
    }

    fn backend_table(&self, backend: &Backend, agent: &str) -> String {
        let list = if backend.engine {
            format!("versions = [\"{SMALL}\", \"{LARGE}\"]\nservices = []\n")
        } else {
            format!("versions = []\nservices = [\"{}\"]\n", self.service)
        };
        format!(
            "\n[[backend_server]]\nname = \"{}\"\nstate = \"in\"\ndata_centre = \"{}\"\n\
             agent = \"{agent}\"\nchecks_fencing = true\n{list}",
            backend.name, backend.centre
        )
    }

    fn workspace_table(&self) -> String {
        format!(
            "\n[[workspace]]\nname = \"{}\"\nkeys = [\"{}\"]\nversions = [\"{SMALL}\", \"{LARGE}\"]\n\
             cascade = \"drafts\"\nquality = 0.5\nservices = [\"{}\"]\npriority = 3\n",
            self.workspace,
            hash_secret(&self.workspace_key()),
            self.service
        )
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {}: {CONTROL_MEMBERS} control members, {} entries, {} backend servers with their agents",
            self.partner,
            self.centres.join(", "),
            self.entries().len(),
            self.backends.len()
        )
    }
}

fn backends(centres: &[&'static str], service: &'static str) -> Vec<Backend> {
    let engine = |centre: &&'static str| Backend {
        name: format!("{}-e1", &centre[..3]),
        centre,
        engine: true,
    };
    let mut backends: Vec<_> = centres.iter().map(engine).collect();
    backends.push(Backend {
        name: format!("{}-q1", &service[..3]),
        centre: service,
        engine: false,
    });
    backends
}

fn version_table(name: &str, cost: &str, stage: &str) -> String {
    format!("\n[[version]]\nname = \"{name}\"\ncost = {cost}\nstage = \"{stage}\"\n")
}
