//! A running site.

use super::{
    caller::{Caller, Reply, send},
    link::{Kind, Links},
    process::{Daemon, Process},
    settings::{self, MemberAddr},
    site_permit::SitePermit,
    tickets::{Ticket, sha256_hex},
    wait::{eventually, eventually_ok, until},
};
use cardamomtally_standin::{Engine, EngineOptions, Faults, Proxy, Service, engine::Served};
use serde_json::Value;
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};
use tempfile::TempDir;

/// Replicated groups: the configuration and one shard.
const GROUP_COUNT: usize = 2;

/// Control members of a site.
const CONTROL_MEMBERS: usize = 3;

/// The partner of most tests.
pub const PARTNER: &str = "clydeside";

/// The other partner.
pub const OTHER_PARTNER: &str = "prairie";

/// A backend server beside its agent.
#[derive(Debug)]
enum Backend {
    Engine(Engine),
    Service(Service),
}

/// What a site is to consist of.
#[derive(Debug)]
pub struct SiteBuilder {
    entries: Vec<(String, String)>,
    backends: Vec<(String, String, Option<EngineOptions>)>,
    agent_extra: String,
    control_extra: String,
}

/// Begins a site of three control members and nothing else.
pub fn site() -> SiteBuilder {
    SiteBuilder {
        entries: Vec::new(),
        backends: Vec::new(),
        agent_extra: String::new(),
        control_extra: String::new(),
    }
}

impl SiteBuilder {
    /// Adds an entry.
    pub fn entry(mut self, name: &str, centre: &str) -> Self {
        self.entries.push((name.to_owned(), centre.to_owned()));
        self
    }

    /// Adds an engine and its agent.
    pub fn engine(mut self, name: &str, centre: &str, options: EngineOptions) -> Self {
        let backend = (name.to_owned(), centre.to_owned(), Some(options));
        self.backends.push(backend);
        self
    }

    /// Adds a plain service and its agent.
    pub fn service(mut self, name: &str, centre: &str) -> Self {
        let backend = (name.to_owned(), centre.to_owned(), None);
        self.backends.push(backend);
        self
    }

    /// Adds lines to the settings of all agents.
    pub fn agent_settings(mut self, extra: &str) -> Self {
        self.agent_extra.push_str(extra);
        self
    }

    /// Adds lines to the settings of all control members.
    pub fn control_settings(mut self, extra: &str) -> Self {
        self.control_extra.push_str(extra);
        self
    }

    /// Starts everything and waits until each process is bound.
    pub fn build(self) -> Site {
        let mut site = Site {
            processes: Vec::new(),
            backends: Vec::new(),
            links: Links::default(),
            folder: tempfile::tempdir().expect("a temporary folder"),
            members: (1..=CONTROL_MEMBERS)
                .map(|n| format!("control-{n}"))
                .collect(),
            wiped_ids: Vec::new(),
            _permit: SitePermit::acquire(),
        };
        for name in site.members.clone() {
            site.start_control(&name, &self.control_extra);
        }
        for (name, centre, options) in self.backends {
            site.start_agent(&name, &centre, options, &self.agent_extra);
        }
        for (name, centre) in self.entries {
            let text = settings::entry(&name, &centre, &site.poll_addrs(&name));
            site.links.open(Kind::Entry, "", &name);
            site.start(&name, Daemon::Entry, &text);
        }
        for at in 0..site.processes.len() {
            site.processes[at].wait_ready();
            site.retarget_links(at);
        }
        site
    }
}

/// A running site; everything ends when it is dropped.
#[derive(Debug)]
pub struct Site {
    processes: Vec<Process>,
    backends: Vec<(String, String, Backend)>,
    /// The proxies.
    pub links: Links,
    folder: TempDir,
    members: Vec<String>,
    /// Identities of members whose disks were wiped.
    wiped_ids: Vec<Value>,
    _permit: SitePermit,
}

impl Site {
    /// Returns a process.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let mut processes = self.processes.iter_mut();
        processes
            .find(|process| process.name == name)
            .expect("the site has this process")
    }

    /// Restarts a process; its links lead to its new addresses.
    pub fn restart(&mut self, name: &str) {
        self.process(name).restart();
        let at = self.processes.iter().position(|p| p.name == name);
        self.retarget_links(at.expect("it was just restarted"));
    }

    /// Kills a process and deletes what it had on disk.
    pub fn wipe(&mut self, name: &str) {
        let members = self.members.iter();
        let pages: Vec<_> = members
            .map(|member| self.ask(member, "/status").json())
            .collect();
        let known = pages.iter().flat_map(|page| memberships(page, name));
        let known: Vec<_> = known.map(|membership| membership["id"].clone()).collect();
        self.wiped_ids.extend(known);
        self.process(name).kill();
        let folder = self.data_dir(name);
        if folder.exists() {
            std::fs::remove_dir_all(folder).expect("the folder can be deleted");
        }
    }

    /// Returns an engine.
    pub fn engine(&self, name: &str) -> &Engine {
        match self.backend(name) {
            Backend::Engine(engine) => engine,
            Backend::Service(_) => panic!("{name} is a plain service"),
        }
    }

    /// Returns a plain service.
    pub fn service(&self, name: &str) -> &Service {
        match self.backend(name) {
            Backend::Service(service) => service,
            Backend::Engine(_) => panic!("{name} is an engine"),
        }
    }

    /// Returns the link from the entries to an agent.
    pub fn agent_link(&self, name: &str) -> &Proxy {
        self.links.get(Kind::Agent, "", name)
    }

    /// Returns the link from an agent to its backend server.
    pub fn backend_link(&self, name: &str) -> &Proxy {
        self.links.get(Kind::Backend, "", name)
    }

    /// Cuts a process off from control, silently; for a control member also
    /// from all that ask it.
    pub fn isolate(&self, name: &str) {
        self.links.control_faults(name, |faults| faults.hold = true);
    }

    /// Ends [`Self::isolate`].
    pub fn rejoin(&self, name: &str) {
        self.links
            .control_faults(name, |faults| *faults = Faults::default());
    }

    /// Returns the address at which the entries reach a backend server's agent.
    pub fn agent_addr(&self, name: &str) -> String {
        self.agent_link(name).addr().to_string()
    }

    /// Returns the HTTP address of a process.
    pub fn http(&self, name: &str) -> String {
        let process = self.processes.iter().find(|process| process.name == name);
        process
            .expect("the site has this process")
            .bound
            .http
            .clone()
    }

    /// Returns the caller of a workspace at an entry, which it reaches at the
    /// same address after a restart.
    pub fn caller(&self, entry: &str, workspace: &str) -> Caller {
        let addr = self.links.get(Kind::Entry, "", entry).addr();
        Caller::new(&addr.to_string(), workspace)
    }

    /// Sends a ticket to one control member.
    pub fn submit_to(&self, member: &str, ticket: &Ticket) -> Reply {
        let bearer = format!("Bearer {}", token(&ticket.partner));
        let url = format!("http://{}/tickets", self.http(member));
        let headers = [("authorization", bearer.as_str())];
        send("POST", &url, &headers, ticket.text().into_bytes())
    }

    /// Sends a ticket to any control member until it is accepted.
    ///
    /// # Panics
    ///
    /// Panics if it is refused, or not accepted in time.
    pub fn submit(&self, ticket: &Ticket) {
        until("the ticket is accepted", || {
            let replies = self
                .members
                .iter()
                .map(|member| self.submit_to(member, ticket));
            for reply in replies {
                match reply.status {
                    200 => return Some(()),
                    400..=499 => panic!("ticket refused: {}", reply.text()),
                    _ => {}
                }
            }
            None
        });
    }

    /// Asks one member for something.
    pub fn ask(&self, process: &str, path: &str) -> Reply {
        send(
            "GET",
            &format!("http://{}{path}", self.http(process)),
            &[],
            Vec::new(),
        )
    }

    /// Waits until all running processes hold a partner's ticket.
    pub fn wait_in_force(&self, partner: &str, number: u64) {
        let all = self.processes.len() - self.members.len();
        eventually(
            &format!("{partner}/{number} is in force everywhere"),
            || {
                self.members.iter().any(|member| {
                    let status = self.ask(member, "/status").json();
                    let tickets = status["tickets"].as_array().cloned().unwrap_or_default();
                    tickets.iter().any(|line| {
                        line["partner"] == partner
                            && line["ticket"]["number"] == number
                            && line["holders"].as_u64() >= Some(all as u64)
                    })
                })
            },
        );
    }

    /// Waits until a repaired member counts in the quorum of each group again.
    pub fn wait_voting(&self, name: &str) {
        eventually(&format!("{name} votes in all groups"), || {
            let replies = self
                .members
                .iter()
                .map(|member| self.ask(member, "/status").json());
            replies
                .into_iter()
                .any(|status| votes_in_all_groups(&status, name, &self.wiped_ids))
        });
    }

    /// Submits tickets that change nothing but a version's cost, up to a number.
    pub fn submit_many(&self, partner: &str, version: &str, numbers: std::ops::Range<u64>) {
        for number in numbers {
            let cost = 1.0 + number as f64 / 1e3;
            let ticket = Ticket::new(partner, number).version(version, cost, "in-service");
            self.submit(&ticket);
        }
    }

    /// Returns all that the engines took, with the engine's name.
    pub fn served(&self) -> Vec<(String, Served)> {
        let engines = self
            .backends
            .iter()
            .filter_map(|(name, _, backend)| match backend {
                Backend::Engine(engine) => Some((name, engine.served())),
                Backend::Service(_) => None,
            });
        let named =
            engines.flat_map(|(name, served)| served.into_iter().map(|one| (name.clone(), one)));
        named.collect()
    }

    /// Returns how many backend servers died of overload.
    pub fn overloads(&self) -> u64 {
        let engines = self
            .backends
            .iter()
            .filter_map(|(_, _, backend)| match backend {
                Backend::Engine(engine) => Some(engine.counters().overloads),
                Backend::Service(_) => None,
            });
        engines.sum()
    }

    /// Returns the number of bills, by any member that answers.
    pub fn bills(&self) -> Option<u64> {
        let mut replies = self.members.iter().map(|member| self.ask(member, "/bills"));
        let reply = replies.find(|reply| reply.status == 200)?;
        let sums = reply.json();
        let counts = sums
            .as_array()?
            .iter()
            .filter_map(|sum| sum["requests"].as_u64());
        Some(counts.sum())
    }

    /// Waits until an entry answers a chat request of a workspace.
    pub fn wait_served(&self, entry: &str, workspace: &str, model: &str) {
        let caller = self.caller(entry, workspace);
        eventually_ok(&format!("{entry} serves {model}"), || {
            let reply = caller.chat(model, "hello", 2);
            let failure = || format!("{} {}", reply.status, reply.text());
            reply.content().map(drop).ok_or_else(failure)
        });
    }

    /// Returns the names of the backend servers and their data centres.
    pub fn backend_names(&self) -> Vec<(String, String)> {
        let names = self.backends.iter();
        names
            .map(|(name, centre, _)| (name.clone(), centre.clone()))
            .collect()
    }

    /// Returns the names of the control members.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    fn backend(&self, name: &str) -> &Backend {
        let found = self.backends.iter().find(|(n, _, _)| n == name);
        &found.expect("the site has this backend server").2
    }

    fn data_dir(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.data"))
    }

    fn poll_addrs(&mut self, from: &str) -> Vec<String> {
        let members = self.members.clone();
        let open = |member: &String| self.links.open(Kind::Poll, from, member).to_string();
        members.iter().map(open).collect()
    }

    fn start_control(&mut self, name: &str, extra: &str) {
        let polls = self.poll_addrs(name);
        let members = self.members.clone();
        let addrs = members.iter().zip(polls).map(|(member, poll)| MemberAddr {
            name: member.clone(),
            poll,
            peer: self.links.open(Kind::Peer, name, member).to_string(),
        });
        let addrs: Vec<_> = addrs.collect();
        let operators =
            [PARTNER, OTHER_PARTNER].map(|partner| (partner, sha256_hex(&token(partner))));
        let folder = self.data_dir(name);
        let text = settings::control(name, "glasgow", &folder, &addrs, &operators) + extra;
        self.start(name, Daemon::Control, &text);
    }

    fn start_agent(
        &mut self,
        name: &str,
        centre: &str,
        options: Option<EngineOptions>,
        extra: &str,
    ) {
        let (backend, addr) = start_backend(options);
        let link = self.links.open(Kind::Backend, "", name);
        self.links.retarget(Kind::Backend, name, addr);
        self.links.open(Kind::Agent, "", name);
        self.backends
            .push((name.to_owned(), centre.to_owned(), backend));
        let text = settings::agent(name, centre, &self.poll_addrs(name), link, extra);
        self.start(name, Daemon::Agent, &text);
    }

    fn start(&mut self, name: &str, daemon: Daemon, text: &str) {
        let file = self.folder.path().join(format!("{name}.toml"));
        std::fs::write(&file, text).expect("the settings file is written");
        self.processes.push(Process::start(name, daemon, &file));
    }

    /// Leads a process's links to where it is bound now.
    fn retarget_links(&self, at: usize) {
        let process = &self.processes[at];
        let to = |kind, addr: Option<&String>| {
            if let Some(addr) = addr {
                let addr = addr.parse().expect("the ready line has addresses");
                self.links.retarget(kind, &process.name, addr);
            }
        };
        match process.daemon {
            Daemon::Agent => to(Kind::Agent, Some(&process.bound.http)),
            Daemon::Control => {
                to(Kind::Poll, process.bound.poll.as_ref());
                to(Kind::Peer, process.bound.peer.as_ref());
            }
            Daemon::Entry => to(Kind::Entry, Some(&process.bound.http)),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for process in &self.processes {
                eprintln!("{}", process.tail());
            }
        }
    }
}

fn start_backend(options: Option<EngineOptions>) -> (Backend, SocketAddr) {
    if let Some(options) = options {
        let engine = Engine::start(options).expect("the engine starts");
        let addr = engine.addr();
        return (Backend::Engine(engine), addr);
    }
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let service = Service::start(listen).expect("the service starts");
    let addr = service.addr();
    (Backend::Service(service), addr)
}

/// Returns a member's places in the groups, as the groups' leaders see them.
fn memberships(status: &Value, name: &str) -> Vec<Value> {
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let mut found = Vec::new();
    for member in list(&status["members"]) {
        let groups = list(&member["replicas"]).into_iter();
        for group in groups.filter(|group| group["leader"] == member["name"]) {
            let named = list(&group["members"]).into_iter();
            found.extend(named.filter(|membership| membership["name"] == name));
        }
    }
    found
}

/// Tells whether a member votes in all groups, under an identity that was not
/// wiped, and has no other place.
fn votes_in_all_groups(status: &Value, name: &str, wiped_ids: &[Value]) -> bool {
    let found = memberships(status, name);
    let votes = |membership: &Value| {
        membership["standing"] == "voter" && !wiped_ids.contains(&membership["id"])
    };
    found.len() == GROUP_COUNT && found.iter().all(votes)
}

/// Returns an operator's bearer token.
pub fn token(partner: &str) -> String {
    format!("{partner}-token")
}
