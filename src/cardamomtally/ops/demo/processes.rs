//! Starts and stops the processes of a demo deployment.
//!
//! The programs are expected in the folder of the running program. No process outlives
//! the demo: a process is killed when its handle is dropped, and the kernel kills it if
//! the demo ends without dropping the handle.

use super::plan::{Backend, CONTROL_MEMBERS, Plan};
use crate::{
    core::snapshot::hash_secret,
    util::{ports::ReservedPorts, shell::Shell},
};
use eyre::{WrapErr as _, bail, eyre};
use serde::Deserialize;
use std::{
    fs::{self, File},
    io::{BufRead as _, BufReader},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::mpsc::{self, Receiver},
    time::{Duration, Instant},
};

/// Longest wait for a process to print its ready line. After it, the start fails.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for a process to end after SIGTERM. After it, the stop fails and the
/// process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a process that was sent SIGTERM is checked for its end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Share of answers that the entries send to the rater, from 0 to 1.
const RATING_SAMPLE: f64 = 0.5;

/// Number of lines that a failed demo prints from the end of each log.
const LOG_LINES: usize = 8;

/// The JSON after `ready ` in the line that a process prints once it listens.
#[derive(Debug, Deserialize)]
struct ReadyLine {
    http: String,
}

/// Handle of a child process, which is killed on drop.
#[derive(Debug)]
struct Process {
    name: String,
    child: Child,
    ready: Receiver<ReadyLine>,
    log: PathBuf,
    /// Whether it is one of the product's daemons, which must drain and end with success
    /// on SIGTERM. Stand-ins for engines, services and the rater need not.
    daemon: bool,
}

impl Process {
    fn start(folder: &Path, name: &str, program: &str, arguments: &[&str]) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let path = sibling_program(program)?;
        let mut command = Command::new(&path);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(&log).wrap_err("failed to create a log file")?);
        // SAFETY: the closure runs between fork and exec. It makes two system calls, which
        // are async-signal-safe there and take no pointers.
        unsafe {
            command.pre_exec(|| {
                // A process group of its own keeps Ctrl-C at the terminal from reaching the
                // child. The demo then ends, and the kernel kills the child.
                libc::setpgid(0, 0);
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            })
        };
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("failed to start `{}`", path.display()))?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("stdout is not piped"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            ready: read_ready(out),
            log,
            daemon: !arguments.is_empty() && arguments[0] == "--settings",
        })
    }

    fn wait_ready(&self) -> eyre::Result<String> {
        let ready = self.ready.recv_timeout(READY_TIMEOUT);
        let ready =
            ready.wrap_err_with(|| format!("{} did not print its ready line", self.name))?;
        Ok(ready.http)
    }

    fn stop(&mut self) -> eyre::Result<()> {
        let pid = libc::pid_t::try_from(self.child.id())
            .wrap_err("the process id does not fit `pid_t`")?;
        // SAFETY: `kill` takes no pointers. The child has not been waited for, so its id
        // cannot have been reused for another process.
        unsafe { libc::kill(pid, libc::SIGTERM) };
        let end = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                if status.success() {
                    return Ok(());
                }
                bail!("{} ended with {status} after SIGTERM", self.name);
            }
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        bail!(
            "{} did not end within {STOP_TIMEOUT:?} after SIGTERM",
            self.name
        )
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has ended already, which is fine here.
        let _ignored = self.child.kill();
        let _ignored = self.child.wait();
    }
}

fn sibling_program(program: &str) -> eyre::Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("failed to find the running program")?;
    let path = own.with_file_name(program);
    if !path.exists() {
        bail!(
            "the program `{}` is missing; build all programs with `make`",
            path.display()
        );
    }
    Ok(path)
}

fn read_ready(out: std::process::ChildStdout) -> Receiver<ReadyLine> {
    let (tx, ready) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            let parsed = line.strip_prefix("ready ").map(serde_json::from_str);
            if let Some(Ok(parsed)) = parsed {
                // Sending fails if the demo no longer waits for this process.
                let _ignored = tx.send(parsed);
            }
        }
    });
    ready
}

/// A running deployment. Its processes are killed on drop.
#[derive(Debug)]
pub struct Deployment {
    /// HTTP addresses of the control members.
    pub members: Vec<String>,
    /// HTTP addresses of the entries.
    pub entries: Vec<String>,
    /// HTTP addresses of the agents, in the order of the plan's backend servers.
    pub agents: Vec<String>,
    /// HTTP addresses of the backend servers, in the order of the plan.
    pub backends: Vec<String>,
    processes: Vec<Process>,
    /// Ports of the control members.
    _ports: ReservedPorts,
}

impl Deployment {
    /// Starts all processes, and waits until each listens.
    pub fn start(plan: &Plan, folder: &Path) -> eyre::Result<Self> {
        let reserved = ReservedPorts::reserve(CONTROL_MEMBERS * 2)?;
        let ports = reserved.numbers()?;
        let mut deployment = Self {
            members: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            processes: Vec::new(),
            _ports: reserved,
        };
        let polls: Vec<_> = ports[..CONTROL_MEMBERS]
            .iter()
            .map(|p| format!("127.0.0.1:{p}"))
            .collect();
        deployment.start_control(plan, folder, &ports)?;
        deployment.start_backends(plan, folder)?;
        deployment.start_agents(plan, folder, &polls)?;
        let rater = Process::start(folder, "rater", "cardamomtally-standin", &["rater"])?;
        deployment.processes.push(rater);
        let rater = deployment.wait_listening(1)?.concat();
        for (name, centre) in plan.entries() {
            let text =
                process_tables(&name, centre) + &control_table(&polls) + &rating_table(&rater);
            deployment.start_daemon(folder, &name, "cardamomtally-entry", &text)?;
        }
        deployment.entries = deployment.wait_listening(plan.entries().len())?;
        Ok(deployment)
    }

    /// Stops the daemons one after the other, in the reverse order of their start: first
    /// the entries, then the agents, then control. Work in flight can thus finish, as
    /// the daemons that it depends on still run. Returns the number of daemons.
    pub fn stop(&mut self) -> eyre::Result<usize> {
        let mut stopped = 0;
        for process in self.processes.iter_mut().rev().filter(|p| p.daemon) {
            process.stop()?;
            stopped += 1;
        }
        Ok(stopped)
    }

    /// Prints the last lines of each process's log.
    pub fn print_logs(&self, shell: Shell) {
        for process in &self.processes {
            // A log that cannot be read is skipped, since the demo has failed anyway.
            let text = fs::read_to_string(&process.log).unwrap_or_default();
            let lines: Vec<_> = text.lines().collect();
            for line in &lines[lines.len().saturating_sub(LOG_LINES)..] {
                shell.status(&process.name, line);
            }
        }
    }

    fn start_control(&mut self, plan: &Plan, folder: &Path, ports: &[u16]) -> eyre::Result<()> {
        for n in 0..CONTROL_MEMBERS {
            let name = format!("control-{}", n + 1);
            let centre = plan.centres[n % plan.centres.len()];
            let mut text = process_tables(&name, centre);
            text += &group_tables(&folder.join(&name), ports);
            text += &operator_table(plan);
            self.start_daemon(folder, &name, "cardamomtally-control", &text)?;
        }
        self.members = self.wait_listening(CONTROL_MEMBERS)?;
        Ok(())
    }

    fn start_backends(&mut self, plan: &Plan, folder: &Path) -> eyre::Result<()> {
        for Backend { name, engine, .. } in &plan.backends {
            let kind = if *engine { "engine" } else { "service" };
            let name = format!("{name}-backend");
            let process = Process::start(folder, &name, "cardamomtally-standin", &[kind])?;
            self.processes.push(process);
        }
        self.backends = self.wait_listening(plan.backends.len())?;
        Ok(())
    }

    fn start_agents(&mut self, plan: &Plan, folder: &Path, polls: &[String]) -> eyre::Result<()> {
        for (backend, addr) in plan.backends.iter().zip(self.backends.clone()) {
            let text = process_tables(&backend.name, backend.centre)
                + &control_table(polls)
                + &format!("[backend]\nurl = \"http://{addr}\"\n");
            self.start_daemon(folder, &backend.name, "cardamomtally-agent", &text)?;
        }
        self.agents = self.wait_listening(plan.backends.len())?;
        Ok(())
    }

    fn start_daemon(
        &mut self,
        folder: &Path,
        name: &str,
        program: &str,
        settings: &str,
    ) -> eyre::Result<()> {
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, settings).wrap_err("failed to write a settings file")?;
        let file = file.display().to_string();
        let process = Process::start(folder, name, program, &["--settings", &file])?;
        self.processes.push(process);
        Ok(())
    }

    /// Waits until the `count` processes that were started last listen. Returns their
    /// HTTP addresses.
    fn wait_listening(&self, count: usize) -> eyre::Result<Vec<String>> {
        let last = &self.processes[self.processes.len() - count..];
        last.iter().map(Process::wait_ready).collect()
    }
}

fn process_tables(name: &str, centre: &str) -> String {
    format!("[process]\nname = \"{name}\"\ndata_centre = \"{centre}\"\n[log]\nform = \"text\"\n")
}

fn group_tables(data: &Path, ports: &[u16]) -> String {
    let mut text = format!("[group]\nfolder = \"{}\"\n", data.display());
    let (polls, peers) = ports.split_at(CONTROL_MEMBERS);
    let members = polls.iter().zip(peers).zip(1..);
    text.extend(members.map(|((poll, peer), n)| {
        format!(
            "[[group.member]]\nname = \"control-{n}\"\npoll = \"127.0.0.1:{poll}\"\n\
             peer = \"127.0.0.1:{peer}\"\n"
        )
    }));
    text
}

fn operator_table(plan: &Plan) -> String {
    format!(
        "[[operator]]\npartner = \"{}\"\ntoken_sha256 = \"{}\"\n",
        plan.partner,
        hash_secret(&plan.operator_token())
    )
}

fn control_table(members: &[String]) -> String {
    format!("[control]\nmembers = {members:?}\ninterval = \"500ms\"\n")
}

fn rating_table(rater: &str) -> String {
    format!("[rating]\nurl = \"http://{rater}\"\nsample = {RATING_SAMPLE:?}\n")
}
