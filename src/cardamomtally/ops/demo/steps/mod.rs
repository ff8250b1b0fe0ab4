//! The steps of the demo. Each does something with the deployment and checks the result.

mod withdrawal;

use super::{
    caller::Caller,
    plan::{LARGE, Plan, SMALL},
    processes::Deployment,
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
use std::time::{Duration, Instant};
use tokio::{runtime::Runtime, task::JoinHandle};

/// Longest wait for a condition. After it, the step fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of chat requests to each entry of each kind, streamed and not streamed.
const CHATS_PER_ENTRY: usize = 10;

/// Number of jobs that are submitted to the plain service, each at both entries.
const JOB_COUNT: usize = 5;

/// Number of tokens of the stream that runs while the daemons stop. They are many, so
/// that the stream is still in flight when its entry begins to stop.
const STREAM_TOKENS: u32 = 400;

/// The part of the response to `GET /status` that the demo checks.
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

/// What all steps use: the deployment, and clients for operators and callers.
#[derive(Debug)]
pub struct Steps<'a> {
    context: OpContext,
    plan: &'a Plan,
    deployment: &'a Deployment,
    client: Client,
    caller: Caller,
    runtime: Runtime,
}

impl<'a> Steps<'a> {
    /// Prepares the steps for a running deployment.
    pub fn new(
        context: &OpContext,
        plan: &'a Plan,
        deployment: &'a Deployment,
    ) -> eyre::Result<Self> {
        let context = OpContext {
            members: deployment.members.clone(),
            token: Some(plan.operator_token()),
            ..context.clone()
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .wrap_err("failed to start the runtime")?;
        Ok(Self {
            client: Client::new(&context)?,
            caller: Caller::new(plan.workspace_key())?,
            context,
            plan,
            deployment,
            runtime,
        })
    }

    /// Runs all steps in order, and leaves a stream in flight for [`stop`].
    pub fn run(self) -> eyre::Result<StreamInFlight> {
        self.submit(&self.plan.first_ticket(&self.deployment.agents), 1)?;
        let loaded = self.wait_loaded()?;
        let chats = loaded + self.send_chats().wrap_err("chat requests failed")?;
        let jobs = self.submit_jobs().wrap_err("submissions failed")?;
        self.check_bills(chats + jobs)?;
        self.withdraw_version().wrap_err("the withdrawal failed")?;
        self.print_events()?;
        self.start_stream()
    }

    /// Submits a ticket, and waits until it is in force at every process.
    fn submit(&self, ticket: &str, number: u64) -> eyre::Result<()> {
        let begin = Instant::now();
        self.wait_until("the ticket is accepted", || {
            let reply = self
                .client
                .control(&Method::POST, "/tickets", Some(ticket))?;
            ensure!(
                reply.status.is_success(),
                "the request failed with status {}: {}",
                reply.status,
                text(&reply)
            );
            Ok(())
        })?;
        let accepted = begin.elapsed();
        let holders = self.wait_until("the ticket is in force at every process", || {
            self.count_holders(number)
        })?;
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

    /// Returns how many processes hold a ticket.
    ///
    /// Fails unless all entries and agents hold the ticket, and every process that control
    /// knows polls it and is up to date.
    fn count_holders(&self, number: u64) -> eyre::Result<usize> {
        let reply = self.client.control(&Method::GET, "/status", None)?;
        let status: Status = reply.json()?;
        let mut lines = status.tickets.iter();
        let Some(line) = lines.find(|line| line.partner == self.plan.partner) else {
            bail!("no ticket is in force");
        };
        let all = self.deployment.entries.len() + self.deployment.agents.len();
        ensure!(
            line.ticket.number == number,
            "ticket {number} is not in force, but ticket {}",
            line.ticket.number
        );
        ensure!(
            line.laggards.is_empty(),
            "these processes hold an older ticket: {}",
            line.laggards.join(", ")
        );
        ensure!(
            line.silent.is_empty(),
            "these processes do not poll: {}",
            line.silent.join(", ")
        );
        ensure!(
            line.holders >= all,
            "{} of {all} processes hold the ticket",
            line.holders
        );
        Ok(line.holders)
    }

    /// Waits until a request to each version is answered through each entry. The engines
    /// must load the versions before that. Returns the number of answered requests, since
    /// each of them is billed.
    fn wait_loaded(&self) -> eyre::Result<u64> {
        let mut answered = 0;
        for entry in &self.deployment.entries {
            for model in [SMALL, LARGE] {
                self.wait_until("an engine has loaded the version", || {
                    self.block(self.caller.chat(entry, model, "is it loaded?"))
                })?;
                answered += 1;
            }
        }
        Ok(answered)
    }

    /// Sends chat requests to each entry, streamed and not streamed. Returns their number.
    fn send_chats(&self) -> eyre::Result<u64> {
        let mut sent = 0;
        for entry in &self.deployment.entries {
            for n in 0..CHATS_PER_ENTRY {
                let prompt = format!("proof-{n} a wedding invitation");
                let model = if n % 2 == 0 { SMALL } else { LARGE };
                let answered = self.block(self.caller.chat(entry, model, &prompt))?;
                ensure!(
                    answered == model,
                    "a request for {model} was answered by {answered}"
                );
                let events = self.block(self.caller.stream(entry, "auto", &prompt, 12))?;
                ensure!(
                    events >= 12,
                    "a stream of 12 tokens had only {events} events"
                );
                sent += 2;
            }
        }
        self.context.shell.status(
            "Answered",
            format_args!("{sent} chat requests, half of them streamed"),
        );
        Ok(sent)
    }

    /// Submits jobs at one entry and again, with the same keys, at the other. Checks that
    /// both answers are equal and that each job ran once. Returns the number of requests
    /// that have a bill.
    fn submit_jobs(&self) -> eyre::Result<u64> {
        let service = self.plan.service;
        let url = |entry: &String| format!("http://{entry}/{service}/jobs");
        for n in 0..JOB_COUNT {
            let (key, job) = (format!("order-{n}"), format!("{{\"order\":{n}}}"));
            let answers = self
                .deployment
                .entries
                .iter()
                .map(|entry| self.block(self.caller.submit(&url(entry), &key, &job)));
            let answers: Vec<_> = answers.collect::<eyre::Result<_>>()?;
            ensure!(
                answers[0] == answers[1],
                "a job that was submitted again got a different answer"
            );
        }
        let status = format!("{}/1", url(&self.deployment.entries[0]));
        self.block(self.caller.get(&status))?;
        let runs = self.job_runs()?;
        ensure!(
            runs == JOB_COUNT as u64,
            "{JOB_COUNT} jobs ran {runs} times"
        );
        self.context.shell.status(
            "Submitted",
            format_args!("{JOB_COUNT} jobs to /{service}, each twice; each ran once"),
        );
        Ok(JOB_COUNT as u64 + 1)
    }

    /// Returns how many jobs the plain service has run.
    fn job_runs(&self) -> eyre::Result<u64> {
        let mut runs = 0;
        for (backend, addr) in self.plan.backends.iter().zip(&self.deployment.backends) {
            if !backend.engine {
                let page = self.block(self.caller.get(&format!("http://{addr}/runs")))?;
                let counts: FastMap<String, u64> = serde_json::from_str(&page)?;
                runs += counts.values().sum::<u64>();
            }
        }
        Ok(runs)
    }

    /// Waits until there is exactly one bill for each request so far, and prints the sums.
    fn check_bills(&self, requests: u64) -> eyre::Result<()> {
        let sums = self.wait_until("each request has one bill", || {
            let reply = self.client.control(&Method::GET, "/bills", None)?;
            let sums: Vec<BillSum> = reply.json()?;
            let billed: u64 = sums.iter().map(|sum| sum.requests).sum();
            ensure!(
                billed == requests,
                "there are {billed} bills for {requests} requests"
            );
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

    /// Returns how many requests each version has served at all engines.
    fn served_counts(&self) -> eyre::Result<ServedCounts> {
        let mut sum = ServedCounts::default();
        for (backend, addr) in self.plan.backends.iter().zip(&self.deployment.backends) {
            if backend.engine {
                let page = self.block(self.caller.get(&format!("http://{addr}/served")))?;
                let counts: FastMap<String, u64> = serde_json::from_str(&page)?;
                sum.small += counts.get(SMALL).copied().unwrap_or_default();
                sum.large += counts.get(LARGE).copied().unwrap_or_default();
            }
        }
        Ok(sum)
    }

    /// Prints the events that concern the withdrawal, from all processes.
    fn print_events(&self) -> eyre::Result<()> {
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

    /// Starts a long stream and waits until an engine has received it. Stopping the
    /// deployment must not cut the stream.
    fn start_stream(self) -> eyre::Result<StreamInFlight> {
        let before = self.served_counts()?.large;
        let caller = self.caller.clone();
        let entry = self.deployment.entries[0].clone();
        let task = self.runtime.spawn(async move {
            let prompt = "last a long letter";
            caller.stream(&entry, LARGE, prompt, STREAM_TOKENS).await
        });
        self.wait_until("an engine serves the stream", || {
            ensure!(
                self.served_counts()?.large > before,
                "no engine has received the request"
            );
            Ok(())
        })?;
        Ok(StreamInFlight {
            runtime: self.runtime,
            task,
        })
    }

    fn block<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Repeats a check until it succeeds, and returns its value. Fails with the check's
    /// last error if the check does not succeed in time.
    fn wait_until<T>(
        &self,
        what: &str,
        mut check: impl FnMut() -> eyre::Result<T>,
    ) -> eyre::Result<T> {
        let end = Instant::now() + CONDITION_TIMEOUT;
        loop {
            match check() {
                Ok(value) => return Ok(value),
                Err(error) if Instant::now() > end => {
                    return Err(error.wrap_err(format!(
                        "timed out after {CONDITION_TIMEOUT:?} waiting until {what}"
                    )));
                }
                Err(error) => self
                    .context
                    .shell
                    .verbose("Waiting", format_args!("{error:#}")),
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    }
}

/// Number of requests that each version has served.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCounts {
    small: u64,
    large: u64,
}

/// The stream that is in flight while the daemons stop, and the runtime that reads it.
#[derive(Debug)]
pub struct StreamInFlight {
    runtime: Runtime,
    task: JoinHandle<eyre::Result<usize>>,
}

/// Stops all daemons. Checks that each ends with success, and that the stream in flight
/// is delivered completely.
pub fn stop(
    context: &OpContext,
    deployment: &mut Deployment,
    stream: StreamInFlight,
) -> eyre::Result<()> {
    let begin = Instant::now();
    let stopped = deployment.stop()?;
    let events = stream
        .runtime
        .block_on(stream.task)
        .wrap_err("the caller of the stream in flight panicked")?;
    let events = events.wrap_err("the stop of the daemons cut the stream in flight")?;
    ensure!(
        events >= STREAM_TOKENS as usize,
        "the stream in flight had only {events} events"
    );
    context.shell.status(
        "Stopped",
        format_args!(
            "{stopped} processes in {} ms; a stream of {STREAM_TOKENS} tokens was delivered completely meanwhile",
            begin.elapsed().as_millis()
        ),
    );
    Ok(())
}

fn text(reply: &Reply) -> String {
    String::from_utf8_lossy(&reply.body).into_owned()
}
