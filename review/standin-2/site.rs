//! A small site: three machines, each with an entry and a control member, and engines.

use crate::{client, http::now_ms};
use std::{
    fs,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Delay of the platform's list.
const LAG_MS: f64 = 800.0;
/// Time for which an engine that has crashed remains on the list.
const REMAINS_MS: f64 = 3_000.0;

/// What the settings of a machine say of its site. Three machines run of it, in three zones.
pub struct Deployment {
    pub zones: [&'static str; 3],
    pub region: &'static str,
    pub contact_ms: f64,
    pub grace_ms: f64,
    limits: &'static str,
    bounds: &'static str,
}

/// `sites/clyde-queue.toml`.
pub const CLYDE_QUEUE: Deployment = Deployment {
    zones: ["glasgow", "dundee", "aberdeen"],
    region: "scot-central",
    contact_ms: 3_000.0,
    grace_ms: 8_000.0,
    limits: "limits.cpu_share=0.45\nlimits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n",
    bounds: "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout\nfault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_ms=2000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=5000\nbounds.strict_revocation=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.9\nbounds.budget_window_s=10\nbounds.budget_slack=60\nbounds.expose_share=0.15\nbounds.expose_slack=30\nbounds.rollback_ms=5000\nbounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\nbounds.recover_s=12\nbounds.pass_ms=120\nbounds.reuse_window_s=7.4\nbounds.session_s=5\n",
};

/// `demands/jamvi-roster-grown.toml`, with the loss of one machine to be borne, since three run.
pub const JAMVI_ROSTER: Deployment = Deployment {
    zones: ["ke-central-a", "ke-central-b", "ke-central-c"],
    region: "ke-central",
    contact_ms: 4_000.0,
    grace_ms: 8_000.0,
    limits: "limits.cpu_share=0.32\nlimits.cores=1\nlimits.memory_mb=88\nlimits.max_fds=4100\nlimits.link_mbps=100.0\n",
    bounds: "contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,places,rollout\nfault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\nbounds.catch_up_s=6\nbounds.drain_ms=4000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_ms=2500\nbounds.rollback_slack_ms=250\nbounds.outer_ms=6000\nbounds.strict_revocation=true\nbounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.9\nbounds.budget_window_s=10\nbounds.budget_slack=86\nbounds.expose_share=0.12\nbounds.expose_slack=30\nbounds.rollback_ms=5000\nbounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\nbounds.recover_s=15\nbounds.pass_ms=200\nbounds.reuse_window_s=9.8\nbounds.session_s=6.5\n",
};
pub const PROGRAM: &str = "target/release/cardamomtally-platform";

/// What was seen, in the order of its recording.
#[derive(Default)]
pub struct Record {
    lines: Mutex<Vec<String>>,
    pub began: Mutex<f64>,
}

impl Record {
    pub fn add(&self, text: impl Into<String>) {
        let at = now_ms() - *self.began.lock().unwrap();
        self.add_at(at, text);
    }

    fn add_at(&self, at: f64, text: impl Into<String>) {
        let line = format!("{:9.3} s  {}", at / 1e3, text.into());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| {
            a[..9]
                .trim()
                .parse::<f64>()
                .unwrap_or(0.0)
                .total_cmp(&b[..9].trim().parse::<f64>().unwrap_or(0.0))
        });
        let _ = fs::write(path, lines.join("\n") + "\n");
    }
}

/// A step that an engine has told.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: f64,
    /// Place of the engine, which is in the zone of that place.
    pub place: usize,
    pub step: String,
    pub attempt: String,
}

/// An entry of the platform's list.
#[derive(Clone, Debug)]
struct Listed {
    id: String,
    address: SocketAddr,
    zone: String,
    born: u64,
    since: f64,
    until: f64,
}

pub struct Engines {
    pub steps: Mutex<Vec<Step>>,
    listed: Mutex<Vec<Listed>>,
    stop: AtomicBool,
}

pub struct Site {
    pub deployment: &'static Deployment,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub engines: Arc<Engines>,
    pub entries: Vec<SocketAddr>,
    pub ready: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    /// The processes by their roles and machines.
    processes: Vec<(String, usize, Child)>,
    keepers: Vec<thread::JoinHandle<()>>,
}

/// How engines are started.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    pub count: usize,
    pub work_ms: u64,
    pub crash_after_ms: Option<u64>,
    /// Time after a crash until the engine is back.
    pub back_after_ms: u64,
    /// Whether it is back under the id that it had.
    pub same_id: bool,
}

/// Returns the first of a range of ports that are free at all addresses.
fn free_ports(hosts: &[String]) -> Option<u16> {
    let first = 21_000 + (std::process::id() % 400) as u16 * 50;
    let bases = (0..500_u16).map(|i| 21_000 + (first - 21_000 + i * 50) % 20_000);
    let free = |base: &u16| {
        (0..40).all(|port| {
            hosts
                .iter()
                .all(|host| TcpListener::bind(format!("{host}:{}", base + port)).is_ok())
        })
    };
    bases.into_iter().find(free)
}

impl Site {
    /// Starts the processes, sends the configuration, and waits until all entries are ready.
    pub fn start(
        deployment: &'static Deployment,
        config: &str,
        options: &EngineOptions,
    ) -> Result<Self, String> {
        let hosts: Vec<String> = (0..3).map(|i| format!("127.0.0.{}", 11 + i)).collect();
        let engine_hosts = (0..options.count).map(|i| format!("127.0.0.{}", 31 + i));
        let all: Vec<String> = hosts
            .iter()
            .cloned()
            .chain(engine_hosts.clone())
            .chain(["127.0.0.1".to_owned()])
            .collect();
        let base = free_ports(&all).ok_or("no free ports")?;
        let folder = std::env::temp_dir().join(format!(
            "cardamomtally-review-{base}-{}",
            std::process::id()
        ));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let record = Arc::new(Record::default());
        *record.began.lock().unwrap() = now_ms();
        let address = |host: &str, port: u16| -> SocketAddr {
            format!("{host}:{}", base + port).parse().unwrap()
        };
        let engines = Arc::new(Engines {
            steps: Mutex::default(),
            listed: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let mut site = Self {
            deployment,
            folder: folder.clone(),
            record,
            engines,
            entries: hosts.iter().map(|host| address(host, 1)).collect(),
            ready: hosts.iter().map(|host| address(host, 2)).collect(),
            controls: hosts.iter().map(|host| address(host, 3)).collect(),
            processes: Vec::new(),
            keepers: Vec::new(),
        };
        site.serve_list(address("127.0.0.1", 30))?;
        for (place, host) in engine_hosts.enumerate() {
            site.keep_engine(place, address(&host, 31), options.clone());
        }
        for (place, host) in hosts.iter().enumerate() {
            for role in ["control", "entry"] {
                site.start_process(role, place, host, base, &hosts)?;
            }
        }
        if !client::order(&site.controls, "PUT", "/-/config", config.as_bytes()) {
            return Err("the configuration was not acknowledged".to_owned());
        }
        site.record.add("operator: configuration acknowledged");
        let began = Instant::now();
        let probe = client::request("GET", "/-/readyz", &[("Host", "x")], b"");
        for ready in site.ready.clone() {
            while client::call(ready, &probe, Duration::from_secs(1)).map_or(0, |r| r.status())
                != 200
            {
                if began.elapsed() > Duration::from_secs(15) {
                    return Err("an entry is not ready".to_owned());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // The list of engines is read once a second, and lags.
        thread::sleep(Duration::from_millis(2_500));
        Ok(site)
    }

    fn start_process(
        &mut self,
        role: &str,
        place: usize,
        host: &str,
        base: u16,
        hosts: &[String],
    ) -> Result<(), String> {
        let data = self.folder.join(format!("data-{place}"));
        let seeds: Vec<String> = hosts.iter().map(|h| format!("{h}:{}", base + 3)).collect();
        let (listen, data) = if role == "entry" {
            let listen = format!(
                "listen.front={host}:{}\nlisten.ready={host}:{}\n",
                base + 1,
                base + 2
            );
            (listen, String::new())
        } else {
            fs::create_dir_all(&data).map_err(|e| e.to_string())?;
            (
                format!("listen.control={host}:{}\n", base + 3),
                format!("data_dir={}\nlimits.disk_mb=64\n", data.display()),
            )
        };
        let Deployment {
            zones,
            region,
            limits,
            bounds,
            ..
        } = self.deployment;
        let zone = zones[place];
        let serves = if role == "entry" { "front" } else { "control" };
        let places: String = zones
            .iter()
            .map(|zone| format!("zones.{zone}={region}\n"))
            .collect();
        let text = format!(
            "node=front-{zone}-1\nrole={role}\nmachine_class=front\nserves={serves}\nip={host}\n\
             zone={zone}\nregion={region}\n{places}{listen}port_range={first},{last}\n\
             seeds={seeds}\nbootstrap=true\ncounts_as_loss=true\n{limits}{data}\
             discovery=cloud_api\nentry=virtual_ip\nheartbeat_ms=1200\n{bounds}\
             config_mode=highest\ncloud.address=127.0.0.1:{cloud}\ncloud.rate_per_s=42.0\n\
             cloud.duties=\ncloud.lag_ms=800\n",
            first = base + 10,
            last = base + 25,
            cloud = base + 30,
            seeds = seeds.join(","),
        );
        let settings = self.folder.join(format!("{role}-{place}.conf"));
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = fs::File::create(self.folder.join(format!("{role}-{place}.log")))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("CARDAMOMTALLY_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        self.processes.push((role.to_owned(), place, child));
        Ok(())
    }

    /// Keeps an engine running at an address: one that has crashed is started again.
    fn keep_engine(&mut self, place: usize, address: SocketAddr, options: EngineOptions) {
        let (engines, record) = (Arc::clone(&self.engines), Arc::clone(&self.record));
        let began = *record.began.lock().unwrap();
        let zones = self.deployment.zones;
        let keeper = thread::spawn(move || {
            for start in 0.. {
                let number = if options.same_id { 0 } else { start };
                let id = format!("i-{place}-{number}");
                let crash = options
                    .crash_after_ms
                    .map_or("never".to_owned(), |ms| ms.to_string());
                // This program, also if it has been built again meanwhile.
                let child = Command::new("/proc/self/exe")
                    .args([
                        "engine",
                        &address.to_string(),
                        &id,
                        "6",
                        &options.work_ms.to_string(),
                        &crash,
                    ])
                    .stdin(Stdio::null())
                    .stdout(Stdio::piped())
                    .spawn();
                let Ok(mut child) = child else { return };
                let out = child.stdout.take().unwrap();
                let listed = Listed {
                    id: id.clone(),
                    address,
                    zone: zones[place % 3].to_owned(),
                    born: now_ms() as u64,
                    since: now_ms() + LAG_MS,
                    until: f64::INFINITY,
                };
                let mut shown = engines.listed.lock().unwrap();
                for known in shown.iter_mut().filter(|known| known.id == id) {
                    known.until = known.until.min(listed.since);
                }
                shown.push(listed);
                drop(shown);
                let reading = {
                    let (engines, record) = (Arc::clone(&engines), Arc::clone(&record));
                    thread::spawn(move || {
                        for line in BufReader::new(out).lines().map_while(Result::ok) {
                            let words: Vec<&str> = line.split(' ').collect();
                            let [at, id, step, attempt] = words[..] else {
                                continue;
                            };
                            let at: f64 = at.parse().unwrap_or(0.0);
                            record.add_at(at - began, format!("engine {id}: {step} {attempt}"));
                            engines.steps.lock().unwrap().push(Step {
                                at: at - began,
                                place,
                                step: step.to_owned(),
                                attempt: attempt.to_owned(),
                            });
                        }
                    })
                };
                loop {
                    if engines.stop.load(Ordering::SeqCst) {
                        let _ = child.kill();
                    }
                    match child.try_wait() {
                        Ok(None) => thread::sleep(Duration::from_millis(5)),
                        _ => break,
                    }
                }
                let _ = reading.join();
                if engines.stop.load(Ordering::SeqCst) {
                    return;
                }
                for known in engines
                    .listed
                    .lock()
                    .unwrap()
                    .iter_mut()
                    .filter(|l| l.id == id && l.until.is_infinite())
                {
                    known.until = now_ms() + REMAINS_MS;
                }
                thread::sleep(Duration::from_millis(options.back_after_ms));
            }
        });
        self.keepers.push(keeper);
    }

    /// Serves the platform's list.
    fn serve_list(&mut self, address: SocketAddr) -> Result<(), String> {
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let engines = Arc::clone(&self.engines);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let engines = Arc::clone(&engines);
                thread::spawn(move || {
                    let Ok(reading) = stream.try_clone() else {
                        return;
                    };
                    let mut from = BufReader::new(reading);
                    while let Ok(Some(_)) = crate::http::read_message(&mut from) {
                        let now = now_ms();
                        let listed = engines.listed.lock().unwrap();
                        let shown = listed.iter().filter(|l| l.since <= now && now < l.until);
                        let mut shown: Vec<&Listed> = shown.collect();
                        shown.sort_by(|a, b| a.id.cmp(&b.id));
                        let items: Vec<String> = shown
                            .iter()
                            .map(|l| format!("{{\"service\":\"queue-app\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"id\":\"{}\",\"born\":{}}}", l.address, l.zone, l.id, l.born))
                            .collect();
                        drop(listed);
                        let body = format!("{{\"instances\":[{}],\"next\":null}}", items.join(","));
                        let text = format!(
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                            body.len()
                        );
                        if stream.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(())
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now(&self) -> f64 {
        now_ms() - *self.record.began.lock().unwrap()
    }

    /// Sends a signal to a process of the project.
    pub fn signal(&mut self, role: &str, place: usize, signal: &str) {
        let found = self
            .processes
            .iter()
            .find(|(r, p, _)| r == role && *p == place);
        if let Some((_, _, child)) = found {
            self.record
                .add(format!("platform: SIG{signal} to {role} {place}"));
            let id = child.id().to_string();
            let order = format!("kill -{signal} {id}");
            let _ = Command::new("sh").args(["-c", &order]).status();
        }
    }

    /// Returns whether a process of the project has ended.
    pub fn has_ended(&mut self, role: &str, place: usize) -> bool {
        let mut found = self
            .processes
            .iter_mut()
            .filter(|(r, p, _)| r == role && *p == place);
        found.any(|(_, _, child)| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        self.engines.stop.store(true, Ordering::SeqCst);
        for (_, _, child) in &mut self.processes {
            let _ = child.kill();
        }
        for (_, _, child) in &mut self.processes {
            let _ = child.wait();
        }
        for keeper in self.keepers.drain(..) {
            let _ = keeper.join();
        }
    }

    /// Returns the lines of the programs' logs that contain a word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            if entry.path().extension().is_some_and(|e| e == "log") {
                let mut text = String::new();
                let read =
                    fs::File::open(entry.path()).and_then(|mut f| f.read_to_string(&mut text));
                if read.is_ok() {
                    found.extend(text.lines().filter(|l| l.contains(word)).map(str::to_owned));
                }
            }
        }
        found
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
