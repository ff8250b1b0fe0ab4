//! A small deployment: machines that each run an entry and a control process with the commands
//! of the deploy file, the platform's list of servers, an operator, servers and clients.
//!
//! Everything listens on loopback addresses, and all processes end with the value that holds
//! them.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub type Result<T> = std::result::Result<T, String>;

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self> {
        let file = File::create(path).map_err(text)?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            begun: Instant::now(),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, words: impl AsRef<str>) {
        let passed = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{passed:9.3} {}", words.as_ref());
    }
}

pub fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// A request or a response as it was read from a socket.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has come as a whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A socket with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
    /// Most bytes that are read in a second, if there is such a bound.
    pub pace: Option<usize>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
            pace: None,
        }
    }

    pub fn open(address: &str, limit: Duration) -> io::Result<Self> {
        let address = address.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(Duration::from_secs(40)))?;
        Ok(Self::new(stream))
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = match self.pace {
            Some(pace) => {
                // A link that carries so many bytes a second.
                let part = (pace / 50).clamp(1, bytes.len());
                let count = self.stream.read(&mut bytes[..part])?;
                thread::sleep(Duration::from_secs_f64(count as f64 / pace as f64));
                count
            }
            None => self.stream.read(&mut bytes)?,
        };
        self.rest.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        let end = body.len() + count;
        while body.len() < end {
            if self.rest.is_empty() && self.more()? == 0 {
                return Ok(false);
            }
            let part = (end - body.len()).min(self.rest.len());
            body.extend(self.rest.drain(..part));
        }
        Ok(true)
    }

    /// Reads the head of a message; none if the connection ends before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads a message. If its body is cut, it is told not to be whole.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        let length = message
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        let mut body = Vec::new();
        let read = if chunked {
            self.chunks(&mut body)
        } else {
            self.take(length.unwrap_or(0), &mut body)
        };
        message.whole = read.unwrap_or(false);
        message.body = body;
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else {
                return Ok(false);
            };
            let Ok(count) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            if !self.take(count, body)? || self.line()?.is_none() {
                return Ok(false);
            }
            if count == 0 {
                return Ok(true);
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn close(&self) {
        let _closed = self.stream.shutdown(Shutdown::Both);
    }
}

/// A server as the platform lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub version: String,
    pub state: &'static str,
}

/// Answers a request on its connection; false if the connection is to be closed.
pub type Answer = dyn Fn(&Message, &mut Connection) -> bool + Send + Sync;

/// What all stand-ins share.
pub struct Site {
    pub record: Record,
    pub folder: PathBuf,
    pub list: Arc<Mutex<Vec<Listed>>>,
    pub machines: Vec<Machine>,
    list_address: String,
    ips: Vec<String>,
    /// `fault_tolerance.machines`.
    pub losses: usize,
    ports: [u16; 4],
}

/// A machine with its two processes.
pub struct Machine {
    pub ip: String,
    pub settings: PathBuf,
    pub entry: Option<Child>,
    pub control: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        for child in [&mut self.entry, &mut self.control].into_iter().flatten() {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.machines.clear();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

pub const ZONES: [&str; 3] = ["glasgow", "dundee", "aberdeen"];

/// The bounds of the grown Clydeside site.
const BOUNDS: &str = "\
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=6
bounds.drain_ms=4000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2500
bounds.rollback_slack_ms=250
bounds.outer_ms=6000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.9
bounds.budget_window_s=10
bounds.budget_slack=94
bounds.expose_share=0.12
bounds.expose_slack=30
bounds.rollback_ms=5000
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=15
bounds.pass_ms=200
bounds.reuse_window_s=7.4
bounds.session_s=6.5
config_mode=highest
";

/// The limits of a `front` machine with a disk of the grown Clydeside site.
pub const WITH_DISK: &str = "\
limits.cpu_share=0.32
limits.cores=1
limits.memory_mb=88
limits.max_fds=4100
limits.link_mbps=100.0
limits.disk_mb=64
";

/// The limits of one without a disk.
pub const WITHOUT_DISK: &str = "\
limits.cpu_share=0.09
limits.cores=1
limits.memory_mb=88
limits.max_fds=4100
limits.link_mbps=10.0
";

/// Returns ports that are free on all addresses of the machines, away from those of
/// connections.
fn free_ports(ips: &[String], count: u16) -> Result<u16> {
    let start = 12_000 + (std::process::id() % 900) as u16 * 20;
    for step in 0..900 {
        let first = 12_000 + (start - 12_000 + step * 20) % 18_000;
        let free = |port: u16| {
            ips.iter()
                .all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
        };
        if (first..first + count).all(free) {
            return Ok(first);
        }
    }
    Err("no free ports were found".to_owned())
}

impl Site {
    /// Picks addresses for as many machines, and starts the platform's list.
    pub fn new(record: &Record, count: usize) -> Result<Self> {
        let name = format!("cardamomtally-review-3-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(text)?;
        let ips: Vec<String> = (0..count).map(|n| format!("127.0.0.{}", 21 + n)).collect();
        let first = free_ports(&ips, 12)?;
        let list = Arc::new(Mutex::new(Vec::new()));
        let list_address = serve_list(Arc::clone(&list))?;
        Ok(Self {
            record: record.clone(),
            folder,
            list,
            machines: Vec::new(),
            list_address,
            ips,
            losses: 1,
            ports: [first, first + 1, first + 2, first + 3],
        })
    }

    /// Adds the next machine. The first three are the seeds.
    pub fn add(&mut self, disk: bool, bootstrap: bool) -> Result<usize> {
        let place = self.machines.len();
        let machine = Machine {
            ip: self.ips[place].clone(),
            settings: self.folder.join(format!("settings-{}", place + 1)),
            entry: None,
            control: None,
        };
        self.machines.push(machine);
        self.write_settings(place, disk, bootstrap)?;
        Ok(place)
    }

    /// Starts three machines with a disk, each with both processes.
    pub fn start(record: &Record, count: usize) -> Result<Self> {
        let mut site = Self::new(record, count)?;
        for _ in 0..3 {
            let place = site.add(true, true)?;
            site.start_control(place)?;
            site.start_entry(place)?;
        }
        Ok(site)
    }

    pub fn data(&self, place: usize) -> PathBuf {
        self.folder.join(format!("data-{}", place + 1))
    }

    pub fn write_settings(&self, place: usize, disk: bool, bootstrap: bool) -> Result<()> {
        let [front, ready, control, first] = self.ports;
        let ip = &self.ips[place];
        let zone = ZONES[place % ZONES.len()];
        let seeds = self.ips.iter().take(3);
        let seeds: Vec<String> = seeds.map(|ip| format!("{ip}:{control}")).collect();
        let zones = ZONES.iter().map(|z| format!("zones.{z}=scot-central\n"));
        let data = self.data(place);
        let data = if disk {
            format!("data_dir={}\n{WITH_DISK}", data.display())
        } else {
            WITHOUT_DISK.to_owned()
        };
        let words = format!(
            "node=front-{zone}-{}\nrole=entry\nmachine_class=front\nserves=front,control\n\
             ip={ip}\nzone={zone}\nregion=scot-central\n{}\
             listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nport_range={first},{}\nseeds={}\n\
             bootstrap={bootstrap}\ncounts_as_loss={disk}\ndiscovery=cloud_api\n\
             entry=virtual_ip\nheartbeat_ms=1200\ncloud.address={}\ncloud.rate_per_s=42.0\n\
             cloud.duties=\ncloud.lag_ms=800\nfault_tolerance.machines={}\n{BOUNDS}{data}",
            place + 1,
            zones.collect::<String>(),
            first + 7,
            seeds.join(","),
            self.list_address,
            self.losses,
        );
        fs::write(&self.machines[place].settings, words).map_err(text)
    }

    fn spawn(&self, place: usize, role: &str) -> Result<Child> {
        let log = self.folder.join(format!("{role}-{}.log", place + 1));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .map_err(text)?;
        let child = Command::new("target/release/cardamomtally-platform")
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CARDAMOMTALLY_CONFIG", &self.machines[place].settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(text)?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("`cardamomtally-platform {role}` does not start: {error}"))?;
        self.record.line(format!(
            "start   {role} at {} (process {})",
            self.machines[place].ip,
            child.id()
        ));
        Ok(child)
    }

    pub fn start_control(&mut self, place: usize) -> Result<()> {
        self.machines[place].control = Some(self.spawn(place, "control")?);
        Ok(())
    }

    pub fn start_entry(&mut self, place: usize) -> Result<()> {
        self.machines[place].entry = Some(self.spawn(place, "entry")?);
        Ok(())
    }

    /// Returns where operators reach a machine.
    pub fn operators(&self, place: usize) -> String {
        format!("{}:{}", self.machines[place].ip, self.ports[2])
    }

    pub fn front(&self, place: usize) -> String {
        format!("{}:{}", self.machines[place].ip, self.ports[0])
    }

    /// Starts a server of a service, and lists it.
    pub fn server(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        answer: impl Fn(&Message, &mut Connection) -> bool + Send + Sync + 'static,
    ) -> Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let address = listener.local_addr().map_err(text)?.to_string();
        self.list.lock().unwrap().push(Listed {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            state: "ready",
        });
        let (id, record) = (id.to_owned(), self.record.clone());
        let answer: Arc<Answer> = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                let answer = Arc::clone(&answer);
                thread::spawn(move || {
                    serve_connection(&id, &record, &*answer, stream);
                });
            }
        });
        Ok(())
    }

    /// Makes an operator's call at the machines in turn, with a second for each, until one
    /// answers with success. Returns whether one did within `limit`.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Result<bool> {
        let begun = Instant::now();
        let mut place = 0;
        let mut last = String::new();
        while begun.elapsed() < limit {
            let machine = &self.machines[place % self.machines.len()];
            place += 1;
            if machine.control.is_none() {
                continue;
            }
            let address = format!("{}:{}", machine.ip, self.ports[2]);
            let answer = call(&address, method, path, body, Duration::from_secs(1));
            let status = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(why) => why.clone(),
            };
            let words = format!("order   {method} {path} at {address}: {status}");
            if words != last {
                self.record.line(&words);
                last = words;
            }
            match answer {
                Ok(answer) if answer.status() == 200 => {
                    let passed = begun.elapsed().as_secs_f64();
                    self.record
                        .line(format!("acknowledged after {passed:.2} s"));
                    return Ok(true);
                }
                Ok(answer) if answer.status() == 400 => {
                    let words = String::from_utf8_lossy(&answer.body).into_owned();
                    return Err(format!("{method} {path}: 400 {words}"));
                }
                Ok(_) | Err(_) => thread::sleep(Duration::from_millis(250)),
            }
        }
        let limit = limit.as_secs();
        self.record
            .line(format!("not acknowledged within {limit} s"));
        Ok(false)
    }

    /// Puts the first configuration in force.
    pub fn configure(&self, config: &str) -> Result<()> {
        let done = self.order("PUT", "/-/config", config, Duration::from_secs(20))?;
        done.then_some(())
            .ok_or_else(|| "the configuration was not acknowledged".to_owned())
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(20);
        for machine in self.machines.iter().filter(|m| m.entry.is_some()) {
            let address = format!("{}:{}", machine.ip, self.ports[1]);
            loop {
                let answer = call(&address, "GET", "/-/readyz", "", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{address} is not ready within 20 s"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<Message> {
    let mut connection = Connection::open(address, limit).map_err(text)?;
    connection
        .stream
        .set_read_timeout(Some(limit))
        .map_err(text)?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    connection.send(request.as_bytes()).map_err(text)?;
    let answer = connection.message().map_err(|error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            format!("no answer within {} s", limit.as_secs())
        }
        _ => error.to_string(),
    })?;
    answer.ok_or_else(|| "the connection was closed".to_owned())
}

fn serve_list(list: Arc<Mutex<Vec<Listed>>>) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let address = listener.local_addr().map_err(text)?.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = Arc::clone(&list);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(_request)) = connection.message() {
                    let entries: Vec<String> = list.lock().unwrap().iter().map(entry).collect();
                    let body = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                         Content-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if connection.send((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

fn entry(listed: &Listed) -> String {
    let Listed {
        id,
        service,
        address,
        zone,
        version,
        state,
    } = listed;
    format!(
        "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\
         \"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":16,\"state\":\"{state}\",\
         \"cold_left_ms\":0}}"
    )
}

fn serve_connection(server: &str, record: &Record, answer: &Answer, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.message() {
        if !request.whole {
            return;
        }
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let meant = request.header("x-expect-instance");
        if meant.is_some_and(|meant| meant != server) {
            let refused = misdirected(&request);
            if connection.send(refused.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.line(format!("run     {id} at {server}: {}", request.first));
        if !answer(&request, &mut connection) {
            connection.close();
            return;
        }
    }
}

/// Returns a server's answer to a request that was meant for another one.
pub fn misdirected(request: &Message) -> String {
    let id = request.header("x-attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Returns the head of a server's success.
pub fn head(request: &Message, length: usize) -> String {
    let id = request.header("x-attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s-{id}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
}

/// Returns an id for a client's attempt.
pub fn attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Builds a client's request.
pub fn request(method: &str, path: &str, id: &str, headers: &[(&str, &str)], body: &str) -> String {
    let more: HashMap<_, _> = headers.iter().copied().collect();
    let mut words =
        format!("{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n");
    for (name, value) in more {
        words.push_str(&format!("{name}: {value}\r\n"));
    }
    words.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    words
}
