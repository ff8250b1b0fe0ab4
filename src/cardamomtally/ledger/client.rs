//! Client of the ledger for processes other than control members.
//!
//! The client batches concurrent operations into one request to a control
//! member. If the member does not answer in time or refuses, the client sends
//! the same batch to the next member, which is safe because operations are
//! idempotent. When every member has failed in each of `ROUND_LIMIT` rounds,
//! all operations of the batch end with an error.

use crate::{
    core::claim::{ClaimError, ClaimOp, ClaimReply, ClaimStore},
    net::{
        transport::Transport,
        wire::{Request, Response},
    },
    settings::common::PollSettings,
};
use futures::future::BoxFuture;
use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::sync::{Semaphore, mpsc, oneshot};

/// Largest number of operations in one request.
const BATCH_OPS_LIMIT: usize = 256;

/// Largest number of requests in flight. While it is reached, new operations
/// queue and go out together in a later request.
const IN_FLIGHT_LIMIT: usize = 4;

/// Largest number of queued operations. Above it [`Client::apply`] fails at
/// once, and the error says that the operation was refused.
const QUEUE_OPS_LIMIT: usize = 8_192;

/// Number of rounds over all members after which a batch fails.
const ROUND_LIMIT: u32 = 3;

/// Shortest backoff after the first round, in milliseconds. It doubles with
/// each round.
const BACKOFF_BASE_MS: u64 = 40;

/// A claim store that sends its operations to the control members.
pub struct Client {
    queue: mpsc::Sender<PendingOp>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct PendingOp {
    op: ClaimOp,
    reply: oneshot::Sender<Result<ClaimReply, ClaimError>>,
}

#[derive(Debug)]
struct BatchSender {
    members: Vec<String>,
    preferred: AtomicUsize,
    timeout: Duration,
    transport: Arc<dyn Transport>,
}

impl Client {
    /// Spawns the batching task on the current Tokio runtime.
    #[must_use]
    pub fn start(settings: &PollSettings, transport: Arc<dyn Transport>) -> Self {
        let (queue, pending) = mpsc::channel(QUEUE_OPS_LIMIT);
        let sender = BatchSender {
            members: settings.members.clone(),
            preferred: AtomicUsize::new(0),
            timeout: settings.timeout.0,
            transport,
        };
        tokio::spawn(send_batches(pending, Arc::new(sender)));
        Self { queue }
    }
}

impl ClaimStore for Client {
    fn apply(&self, op: ClaimOp) -> BoxFuture<'_, Result<ClaimReply, ClaimError>> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let pending = PendingOp { op, reply };
            if self.queue.try_send(pending).is_err() {
                return Err(ClaimError {
                    reason: "too many operations wait for the ledger".to_owned(),
                    refused: true,
                });
            }
            answer.await.unwrap_or_else(|_closed| {
                Err(ClaimError {
                    reason: "the process is stopping".to_owned(),
                    refused: false,
                })
            })
        })
    }
}

async fn send_batches(mut pending: mpsc::Receiver<PendingOp>, sender: Arc<BatchSender>) {
    let in_flight = Arc::new(Semaphore::new(IN_FLIGHT_LIMIT));
    loop {
        let Ok(permit) = Arc::clone(&in_flight).acquire_owned().await else {
            return;
        };
        let mut batch = Vec::new();
        if pending.recv_many(&mut batch, BATCH_OPS_LIMIT).await == 0 {
            return;
        }
        let sender = Arc::clone(&sender);
        tokio::spawn(async move {
            sender.send(batch).await;
            drop(permit);
        });
    }
}

impl BatchSender {
    async fn send(&self, batch: Vec<PendingOp>) {
        let (ops, waiters): (Vec<ClaimOp>, Vec<_>) = batch
            .into_iter()
            .map(|pending| (pending.op, pending.reply))
            .unzip();
        match self.call_any(ops).await {
            Ok(replies) => {
                for (waiter, reply) in waiters.into_iter().zip(replies) {
                    // Sending fails only if the caller has dropped its future.
                    let _dropped = waiter.send(Ok(reply));
                }
            }
            Err(error) => {
                for waiter in waiters {
                    let _dropped = waiter.send(Err(error.clone()));
                }
            }
        }
    }

    /// Sends a batch to one member after the other, beginning with the one that
    /// answered last, until one answers. The error is `refused` only if every
    /// member refused the batch in every round.
    async fn call_any(&self, ops: Vec<ClaimOp>) -> Result<Vec<ClaimReply>, ClaimError> {
        let mut last = ClaimError {
            reason: "no control member is configured".to_owned(),
            refused: true,
        };
        let mut refused = true;
        for round in 0..ROUND_LIMIT {
            let start = self.preferred.load(Ordering::Relaxed);
            for step in 0..self.members.len() {
                let index = (start + step) % self.members.len();
                match self.call(&self.members[index], ops.clone()).await {
                    Ok(replies) => {
                        self.preferred.store(index, Ordering::Relaxed);
                        return Ok(replies);
                    }
                    Err(error) => {
                        refused &= error.refused;
                        last = error;
                    }
                }
            }
            tokio::time::sleep(backoff(round)).await;
        }
        Err(ClaimError { refused, ..last })
    }

    async fn call(&self, member: &str, ops: Vec<ClaimOp>) -> Result<Vec<ClaimReply>, ClaimError> {
        let expected = ops.len();
        let request = Request::Claims(ops);
        let answer = self.transport.call(member, request, self.timeout).await;
        match answer {
            Ok(Response::Claims(replies)) if replies.len() == expected => Ok(replies),
            Ok(Response::Unavailable { reason, refused }) => Err(ClaimError { reason, refused }),
            Ok(_) => Err(ClaimError {
                reason: format!("{member} sent an answer of another kind"),
                refused: false,
            }),
            Err(error) => Err(ClaimError {
                reason: error.reason,
                refused: false,
            }),
        }
    }
}

/// Returns the backoff after a round: exponential, with jitter.
fn backoff(round: u32) -> Duration {
    let base_ms = BACKOFF_BASE_MS << round;
    Duration::from_millis(rand::random_range(base_ms..=base_ms * 2))
}
