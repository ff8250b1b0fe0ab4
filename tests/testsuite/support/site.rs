//! Builds and runs a site of real processes.

use super::{
    caller::{Caller, Reply, send},
    link::{LinkKind, Links},
    membership::{memberships, votes_in_all_groups},
    process::{Daemon, Process},
    settings::{self, MemberAddr},
    site_permit::SitePermit,
    tickets::{Ticket, sha256_hex},
    wait::{eventually, eventually_ok, until},
};
use cardamomtally_standin::{
    Engine, EngineOptions, Faults, Proxy, Service, engine::AcceptedRequest,
};
use serde_json::Value;
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
};
use tempfile::TempDir;

/// Number of control members of a site; two of them are a quorum.
const CONTROL_MEMBERS: usize = 3;

/// The partner whose tickets most tests submit.
pub const PARTNER: &str = "clydeside";

/// A second partner with operators of its own.
pub const OTHER_PARTNER: &str = "prairie";

/// A stand-in backend server, which runs in the test process.
#[derive(Debug)]
enum Backend {
    Engine(Engine),
    Service(Service),
}

/// The processes and settings of a site that has not been started.
#[derive(Debug)]
pub struct SiteBuilder {
    /// Name and data centre of each entry.
    entries: Vec<(String, String)>,
    /// Name and data centre of each backend server, with the options of an engine or
    /// none for a plain service.
    backends: Vec<(String, String, Option<EngineOptions>)>,
    agent_extra: String,
    control_extra: String,
}

/// Returns a builder for a site that has three control members and nothing else
/// yet.
pub fn site() -> SiteBuilder {
    SiteBuilder {
        entries: Vec::new(),
        backends: Vec::new(),
        agent_extra: String::new(),
        control_extra: String::new(),
    }
}

impl SiteBuilder {
    /// Adds an entry in a data centre.
    pub fn entry(mut self, name: &str, centre: &str) -> Self {
        self.entries.push((name.to_owned(), centre.to_owned()));
        self
    }

    /// Adds a stand-in engine and its agent in a data centre.
    pub fn engine(mut self, name: &str, centre: &str, options: EngineOptions) -> Self {
        let backend = (name.to_owned(), centre.to_owned(), Some(options));
        self.backends.push(backend);
        self
    }

    /// Adds a stand-in plain service and its agent in a data centre.
    pub fn service(mut self, name: &str, centre: &str) -> Self {
        let backend = (name.to_owned(), centre.to_owned(), None);
        self.backends.push(backend);
        self
    }

    /// Appends lines to the settings of all agents.
    pub fn agent_settings(mut self, extra: &str) -> Self {
        self.agent_extra.push_str(extra);
        self
    }

    /// Appends lines to the settings of all control members.
    pub fn control_settings(mut self, extra: &str) -> Self {
        self.control_extra.push_str(extra);
        self
    }

    /// Starts all processes and waits until each one is ready. Waits first while
    /// the limit on concurrent sites is reached (see [`SitePermit`]).
    pub fn build(self) -> Site {
        let mut site = Site {
            processes: Vec::new(),
            backends: Vec::new(),
            links: Links::default(),
            folder: tempfile::tempdir().expect("a temporary folder can be created"),
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
            site.links.open(LinkKind::Entry, "", &name);
            site.start(&name, Daemon::Entry, &text);
        }
        for at in 0..site.processes.len() {
            site.processes[at].wait_ready();
            site.retarget_links(at);
        }
        site
    }
}

/// A running site. Dropping it kills all its processes; if the test panicked, it
/// prints the end of their logs before.
#[derive(Debug)]
pub struct Site {
    processes: Vec<Process>,
    /// Name and data centre of each stand-in backend server, with the server.
    backends: Vec<(String, String, Backend)>,
    /// The proxies on all links.
    pub links: Links,
    folder: TempDir,
    members: Vec<String>,
    /// Identities that control members had before their disks were wiped.
    wiped_ids: Vec<Value>,
    _permit: SitePermit,
}

impl Site {
    /// Returns a daemon's process by its name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let mut processes = self.processes.iter_mut();
        processes
            .find(|process| process.name == name)
            .expect("the site has this process")
    }

    /// Restarts a process and points its links at its new addresses.
    pub fn restart(&mut self, name: &str) {
        self.process(name).restart();
        let at = self.processes.iter().position(|p| p.name == name);
        self.retarget_links(at.expect("the process was just restarted"));
    }

    /// Kills a process and deletes its data directory. The identities that it had
    /// in the replicated groups are recorded first, so that
    /// [`Self::wait_voting`] accepts new ones only.
    pub fn wipe(&mut self, name: &str) {
        let members = self.members.iter();
        let pages: Vec<_> = members
            .map(|member| self.get(member, "/status").json())
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

    /// Returns a stand-in engine by the name of its backend server.
    pub fn engine(&self, name: &str) -> &Engine {
        match self.backend(name) {
            Backend::Engine(engine) => engine,
            Backend::Service(_) => panic!("{name} is a plain service"),
        }
    }

    /// Returns a stand-in plain service by the name of its backend server.
    pub fn service(&self, name: &str) -> &Service {
        match self.backend(name) {
            Backend::Service(service) => service,
            Backend::Engine(_) => panic!("{name} is an engine"),
        }
    }

    /// Returns the proxy between the entries and an agent.
    pub fn agent_link(&self, name: &str) -> &Proxy {
        self.links.get(LinkKind::Agent, "", name)
    }

    /// Returns the proxy between an agent and its backend server.
    pub fn backend_link(&self, name: &str) -> &Proxy {
        self.links.get(LinkKind::Backend, "", name)
    }

    /// Holds all bytes between a process and the control members: a partition
    /// without connection errors. A control member is cut off from the other
    /// members and from all processes that poll it.
    pub fn isolate(&self, name: &str) {
        self.links
            .update_control_faults(name, |faults| faults.hold = true);
    }

    /// Ends the partition of [`Self::isolate`]; the held bytes arrive late.
    pub fn rejoin(&self, name: &str) {
        self.links
            .update_control_faults(name, |faults| *faults = Faults::default());
    }

    /// Returns the address at which the entries reach a backend server's agent:
    /// the address of the proxy between them.
    pub fn agent_addr(&self, name: &str) -> String {
        self.agent_link(name).addr().to_string()
    }

    /// Returns the HTTP address of a process itself, past any proxy. It changes
    /// when the process restarts.
    pub fn http(&self, name: &str) -> String {
        let process = self.processes.iter().find(|process| process.name == name);
        process
            .expect("the site has this process")
            .bound
            .http
            .clone()
    }

    /// Returns a client of a workspace at an entry. It calls through the entry's
    /// proxy, so it stays valid when the entry restarts.
    pub fn caller(&self, entry: &str, workspace: &str) -> Caller {
        let addr = self.links.get(LinkKind::Entry, "", entry).addr();
        Caller::new(&addr.to_string(), workspace)
    }

    /// Sends a ticket to one control member, with the token of the ticket's
    /// partner, and returns the reply.
    pub fn submit_to(&self, member: &str, ticket: &Ticket) -> Reply {
        let bearer = format!("Bearer {}", token(&ticket.partner));
        let url = format!("http://{}/tickets", self.http(member));
        let headers = [("authorization", bearer.as_str())];
        send("POST", &url, &headers, ticket.text().into_bytes())
    }

    /// Sends a ticket to the control members in turn until one accepts it.
    ///
    /// # Panics
    ///
    /// Panics if a member refuses the ticket with a 4xx status, or if none accepts
    /// it in time.
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

    /// Sends a GET request without credentials to a process.
    pub fn get(&self, process: &str, path: &str) -> Reply {
        send(
            "GET",
            &format!("http://{}{path}", self.http(process)),
            &[],
            Vec::new(),
        )
    }

    /// Waits until a control member reports that all entries and agents hold a
    /// partner's ticket of this number.
    pub fn wait_in_force(&self, partner: &str, number: u64) {
        let all = self.processes.len() - self.members.len();
        eventually(
            &format!("{partner}/{number} is in force everywhere"),
            || {
                self.members.iter().any(|member| {
                    let status = self.get(member, "/status").json();
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

    /// Waits until a repaired control member is a voter in each replicated group
    /// again, under an identity that was not wiped.
    pub fn wait_voting(&self, name: &str) {
        eventually(&format!("{name} votes in all groups"), || {
            let replies = self
                .members
                .iter()
                .map(|member| self.get(member, "/status").json());
            replies
                .into_iter()
                .any(|status| votes_in_all_groups(&status, name, &self.wiped_ids))
        });
    }

    /// Submits a ticket for each number of a range; each one changes only the cost
    /// of a version.
    pub fn submit_many(&self, partner: &str, version: &str, numbers: std::ops::Range<u64>) {
        for number in numbers {
            let cost = 1.0 + number as f64 / 1e3;
            let ticket = Ticket::new(partner, number).version(version, cost, "in-service");
            self.submit(&ticket);
        }
    }

    /// Returns all requests that the engines accepted, with the engine's name.
    pub fn served(&self) -> Vec<(String, AcceptedRequest)> {
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

    /// Returns how many times an engine crashed because it had more load than it
    /// could take while cold.
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

    /// Returns the number of billed requests, from the first control member that
    /// answers, or `None` if none does.
    pub fn bills(&self) -> Option<u64> {
        let mut replies = self.members.iter().map(|member| self.get(member, "/bills"));
        let reply = replies.find(|reply| reply.status == 200)?;
        let sums = reply.json();
        let counts = sums
            .as_array()?
            .iter()
            .filter_map(|sum| sum["requests"].as_u64());
        Some(counts.sum())
    }

    /// Waits until an entry answers a chat request of a workspace in full.
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

    /// Returns the names of all control members, whether they run or not.
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
        let open = |member: &String| self.links.open(LinkKind::Poll, from, member).to_string();
        members.iter().map(open).collect()
    }

    fn start_control(&mut self, name: &str, extra: &str) {
        let polls = self.poll_addrs(name);
        let members = self.members.clone();
        let addrs = members.iter().zip(polls).map(|(member, poll)| MemberAddr {
            name: member.clone(),
            poll,
            peer: self.links.open(LinkKind::Peer, name, member).to_string(),
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
        let link = self.links.open(LinkKind::Backend, "", name);
        self.links.retarget(LinkKind::Backend, name, addr);
        self.links.open(LinkKind::Agent, "", name);
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

    /// Points the links to a process at the addresses of its `ready` line.
    fn retarget_links(&self, at: usize) {
        let process = &self.processes[at];
        let to = |kind, addr: Option<&String>| {
            if let Some(addr) = addr {
                let addr = addr.parse().expect("the ready line has addresses");
                self.links.retarget(kind, &process.name, addr);
            }
        };
        match process.daemon {
            Daemon::Agent => to(LinkKind::Agent, Some(&process.bound.http)),
            Daemon::Control => {
                to(LinkKind::Poll, process.bound.poll.as_ref());
                to(LinkKind::Peer, process.bound.peer.as_ref());
            }
            Daemon::Entry => to(LinkKind::Entry, Some(&process.bound.http)),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for process in &self.processes {
                eprintln!("{}", process.log_tail());
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

/// Returns the bearer token of a partner's operators.
pub fn token(partner: &str) -> String {
    format!("{partner}-token")
}
