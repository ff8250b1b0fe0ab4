//! Starts, signals and stops one daemon as a real process.

use super::wait;
use serde::Deserialize;
use std::{
    fs::File,
    io::{BufRead as _, BufReader, Read as _, Seek as _, SeekFrom},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        mpsc::{self, Receiver},
    },
};

/// Bytes from the end of each daemon's log that a failed test prints.
const TAIL_BYTES: u64 = 2_000;

/// The kinds of daemon, one for each binary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Daemon {
    Agent,
    Control,
    Entry,
}

impl Daemon {
    const fn program(self) -> &'static str {
        match self {
            Self::Agent => env!("CARGO_BIN_EXE_cardamomtally-agent"),
            Self::Control => env!("CARGO_BIN_EXE_cardamomtally-control"),
            Self::Entry => env!("CARGO_BIN_EXE_cardamomtally-entry"),
        }
    }
}

/// The addresses on which a daemon listens, from its `ready` line. Only control
/// members have the addresses for polls and peers.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct BoundAddrs {
    pub http: String,
    #[serde(default)]
    pub poll: Option<String>,
    #[serde(default)]
    pub peer: Option<String>,
}

/// A daemon's process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    pub daemon: Daemon,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    ready: Mutex<Receiver<BoundAddrs>>,
    pub bound: BoundAddrs,
}

impl Process {
    /// Starts a daemon with a settings file, without waiting until it is ready.
    /// Its log goes to a file beside the settings, with the extension `log`.
    pub fn start(name: &str, daemon: Daemon, settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let (child, ready) = spawn(daemon, settings, &log);
        Self {
            name: name.to_owned(),
            daemon,
            settings: settings.to_owned(),
            log,
            child,
            ready: Mutex::new(ready),
            bound: BoundAddrs::default(),
        }
    }

    /// Waits until the daemon has printed the addresses on which it listens.
    ///
    /// # Panics
    ///
    /// Panics with the end of the log if that takes longer than
    /// [`wait::WAIT_TIMEOUT`].
    pub fn wait_ready(&mut self) {
        let ready = self
            .ready
            .lock()
            .expect("no thread panicked while it held the lock");
        match ready.recv_timeout(wait::WAIT_TIMEOUT) {
            Ok(bound) => self.bound = bound,
            Err(error) => panic!("{} is not ready: {error}\n{}", self.name, self.log_tail()),
        }
    }

    /// Kills the daemon if it still runs, starts it with the same settings and
    /// waits until it is ready.
    pub fn restart(&mut self) {
        self.kill();
        let (child, ready) = spawn(self.daemon, &self.settings, &self.log);
        self.child = child;
        self.ready = Mutex::new(ready);
        self.wait_ready();
    }

    /// Kills the daemon with `SIGKILL` and waits for its end.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already ended.
        let _ignored = self.child.kill();
        let _ignored = self.child.wait();
    }

    /// Requests a graceful shutdown with `SIGTERM`, without waiting for it.
    pub fn stop(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Pauses the daemon with `SIGSTOP`.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Continues a paused daemon with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns `None` while the daemon runs, and then whether it exited with
    /// success.
    pub fn ended(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the child can be waited for");
        status.map(|status| status.success())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the last [`TAIL_BYTES`] bytes of the daemon's log, under a line with
    /// its name.
    pub fn log_tail(&self) -> String {
        let mut text = Vec::new();
        if let Ok(mut file) = File::open(&self.log) {
            let length = file.metadata().map_or(0, |meta| meta.len());
            let from = SeekFrom::Start(length.saturating_sub(TAIL_BYTES));
            // A log that cannot be read is printed as empty.
            let _ignored = file.seek(from).and_then(|_at| file.read_to_end(&mut text));
        }
        format!("--- {}\n{}", self.name, String::from_utf8_lossy(&text))
    }

    fn signal(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("the process id fits `pid_t`");
        // SAFETY: `kill` takes no pointers, and the child has not been waited
        // for, so its id cannot have been reused.
        unsafe { libc::kill(pid, signal) };
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(daemon: Daemon, settings: &Path, log: &Path) -> (Child, Receiver<BoundAddrs>) {
    let log = File::options().create(true).append(true).open(log);
    let mut command = Command::new(daemon.program());
    command
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log.expect("the log file opens"));
    // SAFETY: `prctl` is async-signal-safe and takes no pointers here.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        })
    };
    let mut child = command.spawn().expect("the daemon starts");
    let out = child.stdout.take().expect("stdout is piped");
    let (tx, ready) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(out).lines().map_while(Result::ok) {
            let bound = line.strip_prefix("ready ").map(serde_json::from_str);
            if let Some(Ok(bound)) = bound {
                // The receiver is gone if the test has dropped the process.
                let _ignored = tx.send(bound);
            }
        }
    });
    (child, ready)
}
