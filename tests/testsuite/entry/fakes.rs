//! A small site in memory: entries without sockets, and agents and a ledger
//! whose faults are drawn from a seeded random generator.

use super::small::{config, context, leased_config, settings};
use bytes::Bytes;
use cardamomtally::{
    core::claim::{ClaimError, ClaimKey, ClaimOp, ClaimReply, ClaimStore, Progress},
    entry::{
        agents::{Agents, AnswerStream, AttemptRequest, CallError, Rejection, StatusReply},
        app::{App, Dependencies},
        fault::InjectedFault,
        frames::FrameReader,
    },
    lease::{FixedLease, Lease},
    ledger::{local::LocalStore, machine::Ledger},
    net::{
        codec,
        run::{AttemptStatus, Frame, Load, Probe, Target, Usage},
    },
    prelude::*,
    replica::memory::MemLog,
    settings::EntrySettings,
};
use futures::{FutureExt as _, future::BoxFuture, stream};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::sync::{Mutex, MutexGuard};

/// Shards of the ledger.
const SHARDS: u16 = 2;

/// The parts that all entries of a site share.
pub struct Site {
    pub agents: Arc<FakeAgents>,
    pub ledger: Arc<FaultyLedger>,
    pub lease: Arc<FixedLease>,
}

impl Site {
    /// Builds a site in which sending an attempt fails with probability
    /// `fault_rate`, and each ledger request, ledger answer, resumption and
    /// status query with half that probability.
    pub fn new(seed: u64, fault_rate: f64) -> Self {
        let lease = FixedLease::default();
        lease.set(leased_config(&config()));
        Self {
            agents: Arc::new(FakeAgents::new(seed, fault_rate)),
            ledger: Arc::new(FaultyLedger::new(seed, fault_rate)),
            lease: Arc::new(lease),
        }
    }

    /// Builds an entry with default test settings.
    pub fn entry(&self, name: &str, fault: InjectedFault) -> Arc<App> {
        self.entry_with(&settings(name), fault)
    }

    /// Builds an entry with the given settings.
    pub fn entry_with(&self, settings: &EntrySettings, fault: InjectedFault) -> Arc<App> {
        let dependencies = Dependencies {
            fault,
            incarnation: Incarnation::random(),
            lease: Arc::clone(&self.lease) as Arc<dyn Lease>,
            ledger: Arc::clone(&self.ledger) as Arc<dyn ClaimStore>,
            agents: Arc::clone(&self.agents) as Arc<dyn Agents>,
            rater: None,
        };
        Arc::new(App::new(
            settings.clone(),
            context(settings),
            dependencies,
            7,
        ))
    }
}

/// A ledger that loses requests and answers at random.
#[derive(Debug)]
pub struct FaultyLedger {
    inner: LocalStore,
    rng: Mutex<SmallRng>,
    fault_rate: f64,
}

impl FaultyLedger {
    fn new(seed: u64, fault_rate: f64) -> Self {
        let log = MemLog::default();
        for shard in 1..=SHARDS {
            log.add(GroupId(shard), Box::new(Ledger::default()));
        }
        Self {
            inner: LocalStore::new(Arc::new(log), SHARDS),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            fault_rate,
        }
    }

    fn loses_message(&self) -> bool {
        self.rng.lock().unwrap().random_bool(self.fault_rate / 2.0)
    }

    /// Returns whether a claim holds an answer.
    pub async fn is_settled(&self, key: ClaimKey) -> bool {
        let reply = self.inner.apply(ClaimOp::Look { key }).await;
        let Ok(ClaimReply::Request { claim, .. }) = reply else {
            return false;
        };
        claim.is_some_and(|claim| matches!(claim.progress, Progress::Done(_)))
    }

    /// Returns the number of committed bills.
    pub async fn bills(&self) -> u64 {
        let Ok(ClaimReply::Bills(sums)) = self.inner.apply(ClaimOp::Bills).await else {
            return 0;
        };
        sums.iter().map(|sum| sum.requests).sum()
    }
}

impl ClaimStore for FaultyLedger {
    fn apply(&self, op: ClaimOp) -> BoxFuture<'_, Result<ClaimReply, ClaimError>> {
        async move {
            tokio::task::yield_now().await;
            let lost = ClaimError {
                reason: "lost".to_owned(),
                refused: false,
            };
            if self.loses_message() {
                return Err(lost);
            }
            let reply = self.inner.apply(op).await;
            tokio::task::yield_now().await;
            if self.loses_message() {
                Err(lost)
            } else {
                reply
            }
        }
        .boxed()
    }
}

/// What a fake agent has recorded of an attempt.
#[derive(Clone, Debug)]
enum AttemptRecord {
    Tombstone,
    Ended(Vec<u8>),
}

#[derive(Debug)]
struct FakeAgent {
    incarnation: Incarnation,
    attempts: FastMap<AttemptId, AttemptRecord>,
}

/// All agents of a site, with one lock.
#[derive(Debug)]
pub struct FakeAgents {
    state: Mutex<AgentsState>,
    fault_rate: f64,
}

#[derive(Debug)]
struct AgentsState {
    rng: SmallRng,
    agents: FastMap<Name, FakeAgent>,
    delayed: Vec<AttemptRequest>,
    calls: u32,
    last_target: Option<Target>,
    fixed_answer: Option<(String, bool)>,
    runs: FastMap<Option<ClaimKey>, u32>,
}

impl FakeAgents {
    fn new(seed: u64, fault_rate: f64) -> Self {
        let agents = ["b1", "b2", "b3"].map(|name| {
            let agent = FakeAgent {
                incarnation: Incarnation(1),
                attempts: FastMap::default(),
            };
            (Name::from(name), agent)
        });
        Self {
            state: Mutex::new(AgentsState {
                rng: SmallRng::seed_from_u64(seed ^ 0xa5),
                agents: agents.into_iter().collect(),
                delayed: Vec::new(),
                calls: 0,
                last_target: None,
                fixed_answer: None,
                runs: FastMap::default(),
            }),
            fault_rate,
        }
    }

    fn lock(&self) -> MutexGuard<'_, AgentsState> {
        self.state.lock().unwrap()
    }

    /// Delivers all attempts that were delayed in the network.
    pub fn deliver_delayed(&self) {
        let mut state = self.lock();
        while let Some(call) = state.delayed.pop() {
            let _result = state.deliver(&call);
        }
    }

    /// Sets the body of all answers, and whether they arrive complete. An
    /// incomplete answer cannot be resumed.
    pub fn answer_with(&self, body: &str, complete: bool) {
        self.lock().fixed_answer = Some((body.to_owned(), complete));
    }

    /// Returns the name of the version or service that ran last.
    pub fn last_target(&self) -> String {
        let (Target::Version(id) | Target::Service(id)) = self.lock().last_target.clone().unwrap();
        id.name.to_string()
    }

    /// Returns how often the request of a claim ran.
    pub fn runs(&self, key: ClaimKey) -> u32 {
        let state = self.lock();
        state.runs.get(&Some(key)).copied().unwrap_or_default()
    }

    /// Returns the number of attempts that entries sent.
    pub fn calls(&self) -> u32 {
        self.lock().calls
    }

    /// Returns the number of runs of all requests.
    pub fn all_runs(&self) -> u32 {
        self.lock().runs.values().sum()
    }
}

impl AgentsState {
    /// Runs an attempt, unless the agent has a record of its id or the claim
    /// names another incarnation of the agent.
    fn deliver(&mut self, call: &AttemptRequest) -> Result<Vec<u8>, CallError> {
        let agent = self.agents.get_mut(&call.agent).unwrap();
        let stale = call.head.agent.is_some_and(|a| a != agent.incarnation);
        match agent.attempts.get(&call.attempt) {
            None if !stale => {}
            None | Some(AttemptRecord::Tombstone) => return Err(rejected(Verdict::NotRun)),
            Some(AttemptRecord::Ended(_)) => return Err(rejected(Verdict::Ran)),
        }
        let body = match &self.fixed_answer {
            Some((body, _)) => body.clone().into_bytes(),
            None => format!("done {}", call.attempt.request).into_bytes(),
        };
        self.last_target = Some(call.head.target.clone());
        agent
            .attempts
            .insert(call.attempt, AttemptRecord::Ended(body.clone()));
        *self.runs.entry(call.head.claim).or_default() += 1;
        Ok(body)
    }

    fn restart(&mut self, agent: &Name) {
        let agent = self.agents.get_mut(agent).unwrap();
        agent.incarnation.0 += 1;
        agent.attempts.clear();
    }

    fn run(&mut self, call: AttemptRequest, fault_rate: f64) -> Result<AnswerStream, CallError> {
        self.calls += 1;
        let fault = self
            .rng
            .random_bool(fault_rate)
            .then(|| self.rng.random_range(0..7));
        let lost = || Err(CallError::Ambiguous("lost".to_owned()));
        // The faults in order: no connection, rejection, delay in the network, loss
        // of the answer, answer that breaks off, restart of the agent after the run,
        // and restart before the run.
        match fault {
            Some(0) => Err(CallError::NotSent("refused".to_owned())),
            Some(1) => {
                let agent = self.agents.get_mut(&call.agent).unwrap();
                agent
                    .attempts
                    .insert(call.attempt, AttemptRecord::Tombstone);
                Err(rejected(Verdict::NotRun))
            }
            Some(2) => {
                self.delayed.push(call);
                lost()
            }
            Some(3) => {
                self.deliver(&call)?;
                lost()
            }
            Some(4) => {
                let body = self.deliver(&call)?;
                Ok(self.answer_stream(&call.agent, &body, false))
            }
            Some(5) => {
                self.deliver(&call)?;
                self.restart(&call.agent);
                lost()
            }
            Some(_) => {
                self.restart(&call.agent);
                self.deliver(&call)?;
                lost()
            }
            None => {
                let body = self.deliver(&call)?;
                let complete = self
                    .fixed_answer
                    .as_ref()
                    .is_none_or(|(_, complete)| *complete);
                Ok(self.answer_stream(&call.agent, &body, complete))
            }
        }
    }

    fn answer_stream(&self, agent: &Name, body: &[u8], complete: bool) -> AnswerStream {
        AnswerStream {
            incarnation: Some(self.agents[agent].incarnation),
            load: Some(Load {
                limit: 4,
                ..Load::default()
            }),
            frames: reader(&frames(body, complete)),
        }
    }

    /// Answers a status query. Records a tombstone if the agent has no record of
    /// the attempt.
    fn query_status(&mut self, agent: &Name, attempt: AttemptId) -> StatusReply {
        let agent = self.agents.get_mut(agent).unwrap();
        let status = match agent.attempts.get(&attempt) {
            None => AttemptStatus::NotSeen,
            Some(AttemptRecord::Tombstone) => AttemptStatus::NotRun,
            Some(AttemptRecord::Ended(_)) => AttemptStatus::Ended,
        };
        agent
            .attempts
            .entry(attempt)
            .or_insert(AttemptRecord::Tombstone);
        StatusReply {
            incarnation: Some(agent.incarnation),
            status,
        }
    }
}

fn rejected(verdict: Verdict) -> CallError {
    CallError::Rejected(Box::new(Rejection {
        status: 503,
        verdict,
        load: None,
        incarnation: None,
    }))
}

/// Returns the frames of a body. Without `complete`, the second half of the
/// body and the end are missing.
pub fn frames(body: &[u8], complete: bool) -> Vec<Frame> {
    let head = Frame::Head {
        status: 201,
        media: "text/plain".into(),
    };
    let (first, rest) = body.split_at(body.len() / 2);
    let data = |offset: usize, bytes: &[u8]| Frame::Data {
        offset: offset as u64,
        bytes: bytes.to_vec(),
    };
    let mut all = vec![head, data(0, first)];
    if complete {
        all.push(data(first.len(), rest));
        all.push(Frame::End {
            length: body.len() as u64,
            usage: Usage {
                prompt: 3,
                completion: 4,
            },
        });
    }
    all
}

/// Encodes frames in the format that an agent sends.
pub fn encode(frames: &[Frame]) -> Vec<u8> {
    let mut all = Vec::new();
    for frame in frames {
        let bytes = codec::encode(frame);
        all.extend((bytes.len() as u32).to_be_bytes());
        all.extend(bytes);
    }
    all
}

/// Builds a reader of frames that arrive in one piece.
pub fn reader(frames: &[Frame]) -> FrameReader {
    let bytes = Bytes::from(encode(frames));
    let pieces = stream::iter([Ok::<_, std::io::Error>(bytes)]);
    FrameReader::new(pieces, Duration::from_secs(10))
}

impl Agents for FakeAgents {
    fn run(&self, call: AttemptRequest) -> BoxFuture<'_, Result<AnswerStream, CallError>> {
        async move {
            tokio::task::yield_now().await;
            let stream = self.lock().run(call, self.fault_rate);
            tokio::task::yield_now().await;
            stream
        }
        .boxed()
    }

    fn resume(
        &self,
        agent: Name,
        attempt: AttemptId,
        from: u64,
    ) -> BoxFuture<'_, Result<AnswerStream, CallError>> {
        async move {
            tokio::task::yield_now().await;
            let mut state = self.lock();
            if state.rng.random_bool(self.fault_rate / 2.0) {
                return Err(CallError::NotSent("connection refused".to_owned()));
            }
            let incomplete = state
                .fixed_answer
                .as_ref()
                .is_some_and(|(_, complete)| !complete);
            let Some(AttemptRecord::Ended(body)) = state.agents[&agent].attempts.get(&attempt)
            else {
                return Err(rejected(Verdict::Unknown));
            };
            if incomplete {
                return Err(rejected(Verdict::Unknown));
            }
            let mut stream = state.answer_stream(&agent, body, true);
            if from > 0 {
                // A resumed answer has no head.
                stream.frames = reader(&frames(body, true)[1..]);
            }
            Ok(stream)
        }
        .boxed()
    }

    fn query_status(
        &self,
        agent: Name,
        attempt: AttemptId,
    ) -> BoxFuture<'_, Result<StatusReply, CallError>> {
        async move {
            tokio::task::yield_now().await;
            let mut state = self.lock();
            if state.rng.random_bool(self.fault_rate / 2.0) {
                return Err(CallError::Ambiguous("lost".to_owned()));
            }
            Ok(state.query_status(&agent, attempt))
        }
        .boxed()
    }

    fn cancel(&self, _agent: Name, _attempt: AttemptId) -> BoxFuture<'_, ()> {
        async {}.boxed()
    }

    fn acknowledge_bill(&self, _agent: Name, _attempt: AttemptId) -> BoxFuture<'_, ()> {
        async {}.boxed()
    }

    fn probe(&self, agent: Name) -> BoxFuture<'_, Result<Probe, CallError>> {
        async move {
            let incarnation = self.lock().agents[&agent].incarnation;
            Ok(Probe {
                backend: agent,
                incarnation,
                load: Load {
                    limit: 4,
                    ..Load::default()
                },
                ready: true,
                prefixes: Vec::new(),
            })
        }
        .boxed()
    }
}
