//! The steps of the demo, each with its check.

use super::{
    caller::Caller,
    plan::{LARGE, Plan, SMALL},
    processes::Running,
};
use crate::{
    core::{claim::BillSum, map::FastMap},
    ops::{
        OpContext,
        client::{Client, Reply},
        timeline::{self, TimelineOptions},
    },
};
use eyre::{WrapErr as _, bail, ensure};
use reqwest::Method;
use serde::Deserialize;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{runtime::Runtime, task::JoinHandle};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// Chat requests sent to each entry, of each kind.
const CHATS: usize = 10;

/// Submissions to the plain service.
const JOBS: usize = 5;

/// Callers whose traffic runs while the version is withdrawn.
const TRAFFIC: usize = 4;

/// Requests of that traffic that the version must serve before.
const EARLIER_REQUESTS: u64 = 20;

/// Requests of that traffic that must follow the withdrawal.
const LATER_REQUESTS: u64 = 40;

/// Tokens of the stream that runs while the entries stop.
const LAST_TOKENS: u32 = 400;

/// The part of a status answer that the demo checks.
#[derive(Debug, Deserialize)]
struct Status {
    tickets: Vec<TicketLine>,
}

#[derive(Debug, Deserialize)]
struct TicketLine {
    partner: String,
    ticket: TicketNumber,
    holders: usize,
    laggards: Vec<String>,
    silent: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct TicketNumber {
    number: u64,
}

/// What the steps work with.
#[derive(Debug)]
pub struct Steps<'a> {
    context: OpContext,
    plan: &'a Plan,
    running: &'a Running,
    client: Client,
    caller: Caller,
    runtime: Runtime,
}

impl<'a> Steps<'a> {
    /// Builds the steps of a running deployment.
    pub fn new(context: &OpContext, plan: &'a Plan, running: &'a Running) -> eyre::Result<Self> {
        let context = OpContext {
            members: running.members.clone(),
            token: Some(plan.token()),
            ..context.clone()
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .wrap_err("failed to start the runtime")?;
        Ok(Self {
            client: Client::new(&context)?,
            caller: Caller::new(plan.key())?,
            context,
            plan,
            running,
            runtime,
        })
    }

    /// Goes through all steps and leaves a stream running.
    pub fn run(self) -> eyre::Result<LastStream> {
        self.submit(&self.plan.opening(&self.running.agents), 1)?;
        let loaded = self.loaded()?;
        let chats = loaded + self.chat().wrap_err("chat requests failed")?;
        let jobs = self.jobs().wrap_err("submissions failed")?;
        self.bills(chats + jobs)?;
        self.withdraw().wrap_err("the withdrawal failed")?;
        self.time_line()?;
        self.last_stream()
    }

    /// Submits a ticket and waits until every process holds it.
    fn submit(&self, ticket: &str, number: u64) -> eyre::Result<()> {
        let begin = Instant::now();
        self.eventually("the ticket is accepted", || {
            let reply = self
                .client
                .control(&Method::POST, "/tickets", Some(ticket))?;
            ensure!(
                reply.status.is_success(),
                "answered {}: {}",
                reply.status,
                text(&reply)
            );
            Ok(())
        })?;
        let accepted = begin.elapsed();
        let holders = self.eventually("every process holds the ticket", || self.holders(number))?;
        self.context.shell.status(
            "Accepted",
            format_args!(
                "ticket {}/{number} in {} ms; in force at all {holders} processes after {} ms",
                self.plan.partner,
                accepted.as_millis(),
                begin.elapsed().as_millis()
            ),
        );
        Ok(())
    }

    /// Returns how many processes hold a ticket, if none lags.
    fn holders(&self, number: u64) -> eyre::Result<usize> {
        let reply = self.client.control(&Method::GET, "/status", None)?;
        let status: Status = reply.json()?;
        let mut lines = status.tickets.iter();
        let Some(line) = lines.find(|line| line.partner == self.plan.partner) else {
            bail!("no ticket is in force");
        };
        let all = self.running.entries.len() + self.running.agents.len();
        ensure!(
            line.ticket.number == number,
            "ticket {} is in force",
            line.ticket.number
        );
        ensure!(line.laggards.is_empty(), "{} lag", line.laggards.join(", "));
        ensure!(
            line.silent.is_empty(),
            "{} are silent",
            line.silent.join(", ")
        );
        ensure!(
            line.holders >= all,
            "{} of {all} processes hold it",
            line.holders
        );
        Ok(line.holders)
    }

    /// Waits until engines have loaded both versions that the ticket names, and
    /// returns the number of requests that were answered meanwhile.
    fn loaded(&self) -> eyre::Result<u64> {
        let mut answered = 0;
        for entry in &self.running.entries {
            for model in [SMALL, LARGE] {
                self.eventually("an engine has loaded the version", || {
                    self.block(self.caller.chat(entry, model, "is it loaded?"))
                })?;
                answered += 1;
            }
        }
        Ok(answered)
    }

    /// Sends chat requests to each entry, plain and streamed.
    fn chat(&self) -> eyre::Result<u64> {
        let mut sent = 0;
        for entry in &self.running.entries {
            for n in 0..CHATS {
                let prompt = format!("proof-{n} a wedding invitation");
                let model = if n % 2 == 0 { SMALL } else { LARGE };
                let answered = self.block(self.caller.chat(entry, model, &prompt))?;
                ensure!(answered == model, "{answered} answered for {model}");
                let events = self.block(self.caller.stream(entry, "auto", &prompt, 12))?;
                ensure!(events >= 12, "a stream had {events} events");
                sent += 2;
            }
        }
        self.context.shell.status(
            "Answered",
            format_args!("{sent} chat requests, half of them streamed"),
        );
        Ok(sent)
    }

    /// Submits jobs at one entry and again at the other.
    fn jobs(&self) -> eyre::Result<u64> {
        let service = self.plan.service;
        let url = |entry: &String| format!("http://{entry}/{service}/jobs");
        for n in 0..JOBS {
            let (key, job) = (format!("order-{n}"), format!("{{\"order\":{n}}}"));
            let answers = self
                .running
                .entries
                .iter()
                .map(|entry| self.block(self.caller.submit(&url(entry), &key, &job)));
            let answers: Vec<_> = answers.collect::<eyre::Result<_>>()?;
            ensure!(
                answers[0] == answers[1],
                "a resent submission got another answer"
            );
        }
        let status = format!("{}/1", url(&self.running.entries[0]));
        self.block(self.caller.get(&status))?;
        let runs = self.runs()?;
        ensure!(runs == JOBS as u64, "{JOBS} submissions ran {runs} times");
        self.context.shell.status(
            "Submitted",
            format_args!("{JOBS} jobs to /{service}, each twice; each ran once"),
        );
        Ok(JOBS as u64 + 1)
    }

    /// Returns how often the plain service ran a submission.
    fn runs(&self) -> eyre::Result<u64> {
        let mut runs = 0;
        for (backend, addr) in self.plan.backends.iter().zip(&self.running.backends) {
            if !backend.engine {
                let page = self.block(self.caller.get(&format!("http://{addr}/runs")))?;
                let counts: FastMap<String, u64> = serde_json::from_str(&page)?;
                runs += counts.values().sum::<u64>();
            }
        }
        Ok(runs)
    }

    /// Checks that each request so far has exactly one bill, and prints the sums.
    fn bills(&self, requests: u64) -> eyre::Result<()> {
        let sums = self.eventually("each request has one bill", || {
            let reply = self.client.control(&Method::GET, "/bills", None)?;
            let sums: Vec<BillSum> = reply.json()?;
            let billed: u64 = sums.iter().map(|sum| sum.requests).sum();
            ensure!(billed == requests, "{billed} bills for {requests} requests");
            Ok(sums)
        })?;
        for sum in sums {
            self.context.shell.status(
                "Billed",
                format_args!(
                    "{} {}: {} requests, {} tokens, cost {:.4}",
                    sum.workspace,
                    sum.version,
                    sum.requests,
                    sum.prompt_tokens + sum.completion_tokens,
                    sum.cost_micros as f64 / 1e6
                ),
            );
        }
        Ok(())
    }

    /// Withdraws the cheap version while requests come, and shows where they go.
    fn withdraw(&self) -> eyre::Result<()> {
        let stop = Arc::<AtomicBool>::default();
        let before = self.served()?;
        let traffic: Vec<_> = (0..TRAFFIC)
            .map(|n| self.runtime.spawn(self.traffic(n, Arc::clone(&stop))))
            .collect();
        let outcome = self.follow_withdrawal(before);
        stop.store(true, Ordering::Release);
        let mut sent = 0;
        for task in traffic {
            sent += self.block(async { task.await.wrap_err("a caller panicked")? })?;
        }
        let at_withdrawal = outcome?;
        let after = self.served()?;
        let late = after.small - at_withdrawal.small;
        ensure!(
            late == 0,
            "{SMALL} served {late} requests after its withdrawal"
        );
        self.context.shell.status(
            "Withdrew",
            format_args!(
                "{SMALL} under {sent} requests, none failed; {SMALL} served {}, {LARGE} {}, \
                 of those {} after the withdrawal",
                after.small - before.small,
                after.large - before.large,
                after.large - at_withdrawal.large
            ),
        );
        Ok(())
    }

    /// Submits the withdrawal and waits for later traffic. Returns what had
    /// been served when the ticket was in force.
    fn follow_withdrawal(&self, before: Served) -> eyre::Result<Served> {
        self.eventually("the cheap version serves traffic", || {
            let served = self.served()?.small - before.small;
            ensure!(
                served >= EARLIER_REQUESTS,
                "{SMALL} served {served} requests"
            );
            Ok(())
        })?;
        self.submit(&self.plan.withdrawal(), 2)?;
        let at_withdrawal = self.served()?;
        self.eventually("traffic goes on", || {
            let later = self.served()?.large - at_withdrawal.large;
            ensure!(
                later >= LATER_REQUESTS,
                "{LARGE} served {later} requests since"
            );
            Ok(())
        })?;
        Ok(at_withdrawal)
    }

    /// Sends requests until told to stop. Returns how many there were.
    fn traffic(
        &self,
        number: usize,
        stop: Arc<AtomicBool>,
    ) -> impl Future<Output = eyre::Result<u64>> + Send + 'static {
        let caller = self.caller.clone();
        let entry = self.running.entries[number % self.running.entries.len()].clone();
        async move {
            let mut sent = 0;
            while !stop.load(Ordering::Acquire) {
                let prompt = format!("brief-{number}-{sent} tidy this");
                caller.chat(&entry, "auto", &prompt).await?;
                sent += 1;
            }
            Ok(sent)
        }
    }

    /// Returns how many requests each version has served.
    fn served(&self) -> eyre::Result<Served> {
        let mut sum = Served::default();
        for (backend, addr) in self.plan.backends.iter().zip(&self.running.backends) {
            if backend.engine {
                let page = self.block(self.caller.get(&format!("http://{addr}/served")))?;
                let counts: FastMap<String, u64> = serde_json::from_str(&page)?;
                sum.small += counts.get(SMALL).copied().unwrap_or_default();
                sum.large += counts.get(LARGE).copied().unwrap_or_default();
            }
        }
        Ok(sum)
    }

    /// Prints the withdrawal's time line.
    fn time_line(&self) -> eyre::Result<()> {
        let subject = format!("ticket {}/2", self.plan.partner);
        self.context
            .shell
            .status("Recorded", format_args!("the time line of {subject}"));
        let options = TimelineOptions {
            subject: Some(subject),
            ..TimelineOptions::default()
        };
        timeline::run(&self.context, &options)
    }

    /// Begins a long stream, which the stop may not cut.
    fn last_stream(self) -> eyre::Result<LastStream> {
        let before = self.served()?.large;
        let caller = self.caller.clone();
        let entry = self.running.entries[0].clone();
        let task = self.runtime.spawn(async move {
            let prompt = "last a long letter";
            caller.stream(&entry, LARGE, prompt, LAST_TOKENS).await
        });
        self.eventually("the last stream runs", || {
            ensure!(self.served()?.large > before, "no engine has it");
            Ok(())
        })?;
        Ok(LastStream {
            runtime: self.runtime,
            task,
        })
    }

    fn block<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Repeats a look until it holds, and returns its last failure otherwise.
    fn eventually<T>(
        &self,
        what: &str,
        mut look: impl FnMut() -> eyre::Result<T>,
    ) -> eyre::Result<T> {
        let end = Instant::now() + PATIENCE;
        loop {
            match look() {
                Ok(value) => return Ok(value),
                Err(error) if Instant::now() > end => {
                    return Err(error.wrap_err(format!("waited {PATIENCE:?} in vain: {what}")));
                }
                Err(error) => self
                    .context
                    .shell
                    .verbose("Waiting", format_args!("{error:#}")),
            }
            std::thread::sleep(PAUSE);
        }
    }
}

/// Requests that each version has served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    small: u64,
    large: u64,
}

/// The stream that runs while the deployment stops.
#[derive(Debug)]
pub struct LastStream {
    runtime: Runtime,
    task: JoinHandle<eyre::Result<usize>>,
}

/// Stops all daemons and checks that each ends with success and that the last
/// stream came whole.
pub fn stop(context: &OpContext, running: &mut Running, last: LastStream) -> eyre::Result<()> {
    let begin = Instant::now();
    let stopped = running.stop()?;
    let events = last
        .runtime
        .block_on(last.task)
        .wrap_err("the last caller panicked")?;
    let events = events.wrap_err("the stop cut the last stream")?;
    ensure!(
        events >= LAST_TOKENS as usize,
        "the last stream had {events} events"
    );
    context.shell.status(
        "Stopped",
        format_args!(
            "{stopped} processes in {} ms; a stream of {LAST_TOKENS} tokens came whole meanwhile",
            begin.elapsed().as_millis()
        ),
    );
    Ok(())
}

fn text(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).into_owned()
}
