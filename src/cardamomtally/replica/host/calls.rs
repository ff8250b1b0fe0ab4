//! Commands and reads of this process while they wait for the leader's answer.
//!
//! A command is sent again when the leader changes or does not answer. It may
//! then be committed twice, so state machines must tolerate duplicates. A command
//! that only this member may take ([`Taker::ThisMember`]) is not sent again, but
//! given up once this member no longer leads. One request at a time serves all
//! reads: a read that arrives while a request is under way waits for the next one,
//! since the quorum round that confirms a read must begin after it.

use crate::{core::log::LogError, prelude::*};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Time without an answer from the leader after which a request is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from a refusal by a member that is not the leader until the request is
/// sent again.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after which a read, or a command that was never handed to a leader, fails
/// with [`LogError::NoLeader`].
const UNSENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a command that was handed to a leader fails with
/// [`LogError::Unknown`], since it may still be committed.
const SENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Where the answer to a caller is sent.
pub(super) type Reply<T> = oneshot::Sender<Result<T, LogError>>;

/// The leader to which a request was last sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    leader: MemberId,
    /// Time at which the request is sent again if no answer has arrived.
    resend_at: Mono,
}

impl Sent {
    /// A request to this member's own log is not sent again after a timeout: the
    /// log answers every request, also when this member loses its leadership.
    fn to(leader: MemberId, own: MemberId, now: Mono) -> Self {
        let resend_at = if leader == own {
            Mono(u64::MAX)
        } else {
            now + RESEND_TIMEOUT
        };
        Self { leader, resend_at }
    }
}

/// The members that may append a command to their log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Taker {
    /// Whichever member leads, now or later.
    AnyLeader,
    /// This member, while it leads.
    ThisMember,
}

#[derive(Debug)]
struct Command {
    bytes: Vec<u8>,
    taker: Taker,
    reply: Reply<Vec<u8>>,
    since: Mono,
    /// Whether the command was handed to a leader, so that it may be in that
    /// leader's log.
    attempted: bool,
    sent: Option<Sent>,
}

#[derive(Debug)]
struct WaitingRead {
    reply: Reply<Index>,
    since: Mono,
}

#[derive(Debug)]
struct SharedRead {
    id: u64,
    waiting: Vec<WaitingRead>,
    sent: Sent,
}

/// Reads that are answered once the state machine of this member has applied an
/// index.
#[derive(Debug)]
struct ConfirmedReads {
    index: Index,
    waiting: Vec<WaitingRead>,
}

/// A request for the leader: a command, or `None` for a read.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) id: u64,
    pub(super) command: Option<Vec<u8>>,
}

/// Unanswered requests of this process to one group.
#[derive(Debug)]
pub(super) struct Calls {
    own: MemberId,
    next: u64,
    commands: BTreeMap<u64, Command>,
    unsent: Vec<u64>,
    queued: Vec<WaitingRead>,
    reading: Option<SharedRead>,
    confirmed: Vec<ConfirmedReads>,
    stopped: bool,
}

impl Calls {
    /// Creates an empty set. Request numbers begin at `first`, which the caller
    /// draws at random so that no number is used again after a restart.
    pub(super) fn new(own: MemberId, first: u64) -> Self {
        Self {
            own,
            next: first,
            commands: BTreeMap::new(),
            unsent: Vec::new(),
            queued: Vec::new(),
            reading: None,
            confirmed: Vec::new(),
            stopped: false,
        }
    }

    /// Replaces the identity of this member, which was unknown while its storage could not be
    /// used.
    pub(super) const fn set_own(&mut self, own: MemberId) {
        self.own = own;
    }

    fn number(&mut self) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    pub(super) fn propose(
        &mut self,
        now: Mono,
        bytes: Vec<u8>,
        taker: Taker,
        reply: Reply<Vec<u8>>,
    ) {
        if self.stopped {
            answer(reply, Err(LogError::Stopped));
            return;
        }
        let id = self.number();
        let command = Command {
            bytes,
            taker,
            reply,
            since: now,
            attempted: false,
            sent: None,
        };
        self.commands.insert(id, command);
        self.unsent.push(id);
    }

    pub(super) fn barrier(&mut self, now: Mono, reply: Reply<Index>) {
        if self.stopped {
            answer(reply, Err(LogError::Stopped));
            return;
        }
        self.queued.push(WaitingRead { reply, since: now });
    }

    /// Returns the requests to be sent to the leader now, and marks them as sent.
    pub(super) fn take_due(&mut self, now: Mono, leader: MemberId) -> Vec<Request> {
        let mut requests = Vec::new();
        let sent = Sent::to(leader, self.own, now);
        for id in std::mem::take(&mut self.unsent) {
            let Some(command) = self.commands.get_mut(&id) else {
                continue;
            };
            command.attempted = true;
            command.sent = Some(sent);
            requests.push(Request {
                id,
                command: Some(command.bytes.clone()),
            });
        }
        requests.extend(self.take_due_read(now, leader));
        requests
    }

    fn take_due_read(&mut self, now: Mono, leader: MemberId) -> Option<Request> {
        if self.reading.is_some() || self.queued.is_empty() {
            return None;
        }
        let id = self.number();
        self.reading = Some(SharedRead {
            id,
            waiting: std::mem::take(&mut self.queued),
            sent: Sent::to(leader, self.own, now),
        });
        Some(Request { id, command: None })
    }

    /// Queues requests again that were sent to a former leader or have timed out,
    /// and gives up those that are too old.
    pub(super) fn requeue_stale(&mut self, now: Mono, leader: Option<MemberId>) {
        let stale = |sent: Sent| {
            let moved = leader.is_some_and(|leader| leader != sent.leader);
            moved || now >= sent.resend_at
        };
        let leads = leader == Some(self.own);
        let deposed =
            |c: &Command| c.taker == Taker::ThisMember && (!leads || c.sent.is_some_and(stale));
        for (_, command) in self.commands.extract_if(.., |_, c| deposed(c)) {
            fail(command);
        }
        for (id, command) in &mut self.commands {
            if command.sent.is_some_and(stale) {
                command.sent = None;
                self.unsent.push(*id);
            }
        }
        let read_stale = |sent: Sent| stale(sent) || leader.is_none();
        if let Some(reading) = self.reading.take_if(|r| read_stale(r.sent)) {
            self.queued.extend(reading.waiting);
        }
        self.give_up(now);
    }

    fn give_up(&mut self, now: Mono) {
        let old = |c: &Command| {
            let limit = if c.attempted {
                SENT_TIMEOUT
            } else {
                UNSENT_TIMEOUT
            };
            now.since(c.since) >= limit
        };
        for (_, command) in self.commands.extract_if(.., |_, c| old(c)) {
            fail(command);
        }
        let confirmed = self.confirmed.iter_mut().map(|c| &mut c.waiting);
        let reading = self.reading.iter_mut().map(|r| &mut r.waiting);
        for waiting in confirmed.chain(reading).chain([&mut self.queued]) {
            for old in waiting.extract_if(.., |w| now.since(w.since) >= UNSENT_TIMEOUT) {
                answer(old.reply, Err(LogError::NoLeader));
            }
        }
    }

    /// Answers a command with the state machine's reply.
    pub(super) fn applied(&mut self, id: u64, bytes: Vec<u8>) {
        if let Some(command) = self.commands.remove(&id) {
            answer(command.reply, Ok(bytes));
        }
    }

    /// Records that a member refused a request since it does not lead, or that
    /// another leader's entry replaced the command. The request is sent again after
    /// `REFUSED_RETRY_DELAY`.
    pub(super) fn refused(&mut self, now: Mono, id: u64) {
        let reading = self.reading.as_mut().filter(|r| r.id == id);
        let command = self.commands.get_mut(&id).and_then(|c| c.sent.as_mut());
        for sent in reading.map(|r| &mut r.sent).into_iter().chain(command) {
            sent.resend_at = now + REFUSED_RETRY_DELAY;
        }
    }

    /// Records the index that must be applied before the reads of a request are
    /// answered.
    pub(super) fn confirmed(&mut self, id: u64, index: Index) {
        if let Some(reading) = self.reading.take_if(|r| r.id == id) {
            let waiting = reading.waiting;
            self.confirmed.push(ConfirmedReads { index, waiting });
        }
    }

    /// Answers the reads whose index is applied.
    pub(super) fn answer_applied(&mut self, applied: Index) {
        for ready in self.confirmed.extract_if(.., |c| c.index <= applied) {
            for waiting in ready.waiting {
                answer(waiting.reply, Ok(applied));
            }
        }
    }

    /// Answers all requests with [`LogError::Stopped`], and from now on refuses
    /// new ones.
    pub(super) fn stop(&mut self) {
        self.stopped = true;
        for command in std::mem::take(&mut self.commands).into_values() {
            answer(command.reply, Err(LogError::Stopped));
        }
        let confirmed = self.confirmed.drain(..).flat_map(|c| c.waiting);
        let reading = self.reading.take().into_iter().flat_map(|r| r.waiting);
        for waiting in confirmed.chain(reading).chain(self.queued.drain(..)) {
            answer(waiting.reply, Err(LogError::Stopped));
        }
    }
}

/// Answers the caller of a command that is given up. It may be committed if it was handed
/// to a leader.
fn fail(command: Command) {
    let error = if command.attempted {
        LogError::Unknown
    } else {
        LogError::NoLeader
    };
    answer(command.reply, Err(error));
}

/// Answers a caller. A caller that no longer waits is ignored.
fn answer<T>(reply: Reply<T>, result: Result<T, LogError>) {
    let _gone = reply.send(result);
}
