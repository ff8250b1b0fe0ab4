//! The operators' HTTP routes.

use super::{
    member::{Member, Submission},
    problem::Problem,
    state::Reply,
    ticket,
    view::{HistoryLine, Status as StatusView, Submitted},
};
use crate::{
    core::snapshot::hash_secret,
    core::{
        claim::{BillSum, ClaimOp, ClaimReply},
        id::{GroupId, Name},
        log::LogError,
        verdict::Verdict,
    },
    daemon::body::{self, BodyReadError, BodySource},
    settings::control::Numbering,
};
use rocket::{
    Build, Rocket, State,
    data::Data,
    get,
    http::Status,
    post,
    request::{FromRequest, Outcome, Request},
    response::content::RawText,
    routes,
    serde::json::Json,
};
use std::{convert::Infallible, sync::Arc};
use subtle::ConstantTimeEq as _;

type Answer<T> = Result<Json<T>, Problem>;

/// Adds the operators' routes.
#[must_use]
pub fn mount(rocket: Rocket<Build>, member: Arc<Member>) -> Rocket<Build> {
    rocket
        .manage(member)
        .mount("/", routes![submit, history, text, status, bills])
}

/// The bearer token of a request, if there is one.
struct Bearer(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Bearer {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let header = request.headers().get_one("Authorization");
        let token = header.and_then(|value| value.strip_prefix("Bearer "));
        Outcome::Success(Self(token.map(str::to_owned)))
    }
}

impl Bearer {
    /// Returns the partners whose tickets the bearer may submit. Token hashes are
    /// compared in constant time.
    fn partners<'m>(&self, member: &'m Member) -> Vec<&'m str> {
        let Some(token) = &self.0 else {
            return Vec::new();
        };
        let hash = hash_secret(token);
        let matches = |expected: &str| -> bool {
            let expected = expected.to_ascii_lowercase();
            hash.as_bytes().ct_eq(expected.as_bytes()).into()
        };
        let operators = member.settings.operators.iter();
        operators
            .filter(|operator| matches(&operator.token_sha256))
            .map(|operator| operator.partner.as_str())
            .collect()
    }
}

#[post("/tickets", data = "<data>")]
async fn submit(
    bearer: Bearer,
    source: BodySource<'_>,
    data: Data<'_>,
    member: &State<Arc<Member>>,
) -> Answer<Submitted> {
    let partners = bearer.partners(member);
    if partners.is_empty() {
        let detail = "the bearer token is missing or belongs to no operator";
        return Err(Problem::new(Status::Unauthorized, detail));
    }
    let text = read_text(source, data, member).await?;
    let ticket = ticket::check(ticket::NETWORK_FILE, &text, None);
    let ticket = match ticket {
        Ok(ticket) => ticket,
        Err(_offline) => return Err(all_findings(&text, member)),
    };
    if !partners.contains(&&*ticket.partner) {
        let detail = format!(
            "the bearer token may not speak for partner `{}`",
            ticket.partner
        );
        return Err(Problem::new(Status::Forbidden, detail));
    }
    let partner = Arc::clone(&ticket.partner);
    let number = ticket.number;
    let submission = member.submit(ticket, &text).await;
    record(member, &partner, number, &submission);
    answer(partner, number, submission)
}

async fn read_text(
    source: BodySource<'_>,
    data: Data<'_>,
    member: &Member,
) -> Result<String, Problem> {
    let http = &member.settings.http;
    let bytes = body::read(http.into(), source, data)
        .await
        .map_err(|fault| match fault {
            BodyReadError::TooLong => {
                let detail = format!("a ticket may have {} at most", http.body_limit);
                Problem::new(Status::PayloadTooLarge, detail)
            }
            BodyReadError::Short => Problem::new(Status::ServiceUnavailable, fault.to_string()),
            BodyReadError::Truncated => Problem::new(Status::BadRequest, fault.to_string()),
            BodyReadError::Connection(_) | BodyReadError::TimedOut => {
                let detail = "the ticket was not received in time";
                Problem::new(Status::RequestTimeout, detail)
            }
        })?;
    String::from_utf8(bytes.to_vec())
        .map_err(|_bytes| Problem::new(Status::BadRequest, "the ticket is not UTF-8 text"))
}

/// Checks a text that is faulty in itself against the configuration as well, so
/// that the operator gets all findings in one answer.
fn all_findings(text: &str, member: &Member) -> Problem {
    let config = Arc::clone(&member.store.view().config);
    let findings = ticket::check(ticket::NETWORK_FILE, text, Some(&config));
    let findings = findings.err().unwrap_or_default();
    faulty(findings.0)
}

fn faulty(findings: Vec<crate::core::finding::Finding>) -> Problem {
    let detail = "the ticket is faulty; nothing was changed";
    Problem::new(Status::BadRequest, detail).with_findings(findings)
}

fn answer(partner: Name, number: u64, submission: Submission) -> Answer<Submitted> {
    let reply = match submission {
        Submission::Decided(reply) => reply,
        Submission::Faulty(findings) => return Err(faulty(findings.0)),
        Submission::NotRun(error) => return Err(unavailable(&error, Verdict::NotRun)),
        Submission::Unknown(error) => return Err(unavailable(&error, Verdict::Unknown)),
    };
    match reply {
        Reply::Accepted { accepted, repeated } => Ok(Json(Submitted {
            partner,
            number,
            digest: accepted.digest,
            index: accepted.index,
            repeated,
        })),
        Reply::Conflict { winner, partner } => {
            let detail = format!(
                "number {} was taken by another ticket of partner `{partner}` with digest {}",
                winner.number, winner.digest
            );
            Err(Problem::new(Status::Conflict, detail).with_winner(winner))
        }
        Reply::Superseded { by, partner } => {
            let detail = format!(
                "ticket {} of partner `{partner}` is in force; use a higher number",
                by.number
            );
            Err(Problem::new(Status::Conflict, detail).with_winner(by))
        }
        Reply::NumberingMismatch(numbering) => {
            let held = match numbering {
                Numbering::PerPartner => "per-partner",
                Numbering::Shared => "shared",
            };
            let detail = format!("tickets are numbered `{held}`; correct this member's settings");
            Err(Problem::new(Status::Conflict, detail))
        }
        Reply::Faulty(_) | Reply::Done | Reply::Kept(_) => {
            let detail = "the member gave an answer that fits no ticket";
            Err(Problem::new(Status::InternalServerError, detail).with_verdict(Verdict::Unknown))
        }
    }
}

fn unavailable(error: &LogError, verdict: Verdict) -> Problem {
    Problem::new(Status::ServiceUnavailable, error.to_string()).with_verdict(verdict)
}

fn record(member: &Member, partner: &str, number: u64, submission: &Submission) {
    let what = match submission {
        Submission::Decided(Reply::Accepted {
            repeated: false, ..
        }) => "accepted",
        Submission::Decided(Reply::Accepted { repeated: true, .. }) => "accepted before",
        Submission::Decided(_) => "refused",
        Submission::Faulty(_) => "faulty",
        Submission::NotRun(_) => "not run",
        Submission::Unknown(_) => "outcome unknown",
    };
    let subject = format!("ticket {partner}/{number}");
    member.context.events.record("tickets", &subject, what);
    slog::info!(member.context.log, "tickets: ticket answered";
        "partner" => partner, "number" => number, "outcome" => what);
    metrics::counter!("cardamomtally_tickets_answers_total", "outcome" => what).increment(1);
}

#[get("/tickets/<partner>")]
async fn history(partner: &str, member: &State<Arc<Member>>) -> Answer<Vec<HistoryLine>> {
    confirm(member).await?;
    let lines = member.store.read(|state| {
        let records = state.history.get(partner);
        let line = |record: &super::state::Record| HistoryLine {
            accepted: record.accepted,
            text: record.text.is_some(),
        };
        records.map(|records| records.iter().map(line).collect())
    });
    lines.map(Json).ok_or_else(|| no_tickets(partner))
}

#[get("/tickets/<partner>/<number>")]
async fn text(
    partner: &str,
    number: u64,
    member: &State<Arc<Member>>,
) -> Result<RawText<String>, Problem> {
    confirm(member).await?;
    let record = member.store.read(|state| {
        let records = state.history.get(partner)?;
        let at = records.binary_search_by_key(&number, |r| r.accepted.number);
        Some(records[at.ok()?].clone())
    });
    let Some(record) = record else {
        let detail = format!("partner `{partner}` has no ticket {number}");
        return Err(Problem::new(Status::NotFound, detail));
    };
    let Some(text) = record.text else {
        let detail = format!("the text of ticket {number} is no longer kept");
        return Err(Problem::new(Status::Gone, detail));
    };
    Ok(RawText(text.to_string()))
}

fn no_tickets(partner: &str) -> Problem {
    let detail = format!("partner `{partner}` has no ticket");
    Problem::new(Status::NotFound, detail)
}

/// Confirms with a quorum that this member's state is up to date.
async fn confirm(member: &Member) -> Result<(), Problem> {
    let confirmed = member.log.barrier(GroupId::CONFIG).await;
    confirmed
        .map(drop)
        .map_err(|error| unavailable(&error, Verdict::NotRun))
}

#[get("/status")]
async fn status(member: &State<Arc<Member>>) -> Json<StatusView> {
    Json(member.status().await)
}

#[get("/bills")]
async fn bills(member: &State<Arc<Member>>) -> Answer<Vec<BillSum>> {
    let replies = member.shards.apply(vec![ClaimOp::Bills]).await;
    let replies =
        replies.map_err(|error| Problem::new(Status::ServiceUnavailable, error.reason))?;
    let mut sums = Vec::new();
    for reply in replies {
        if let ClaimReply::Bills(part) = reply {
            sums.extend(part);
        }
    }
    Ok(Json(sums))
}
