//! The command line verbs `ticket` and `status`, called as functions.

use crate::support::{
    Site, Ticket,
    site::{PARTNER, site, token},
};
use cardamomtally::{
    ops::{
        Exit, Format, OpContext, status,
        ticket::{self, SubmitOptions, WaitOptions, diff_lines},
    },
    prelude::*,
    util::shell::{Color, Shell, Verbosity},
};
use std::path::PathBuf;

const TIMEOUT: Duration = Duration::from_secs(30);

fn context(members: Vec<String>) -> OpContext {
    OpContext {
        shell: Shell::new(Verbosity::Quiet, Color::Never),
        format: Format::Text,
        members,
        token: Some(token(PARTNER)),
        timeout: TIMEOUT,
    }
}

fn site_context(site: &Site) -> OpContext {
    context(site.members().iter().map(|m| site.http(m)).collect())
}

/// Writes a ticket to a file in a new temporary folder.
fn write_ticket(ticket: &Ticket) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ticket.toml");
    std::fs::write(&path, ticket.text()).unwrap();
    (folder, path)
}

fn submit(context: &OpContext, ticket: &Ticket) -> Result<(), Option<Exit>> {
    let (_folder, file) = write_ticket(ticket);
    let options = SubmitOptions {
        file,
        wait: Some(TIMEOUT),
    };
    let outcome = ticket::submit(context, &options);
    outcome.map_err(|error| {
        let mut causes = error.chain();
        causes.find_map(|cause| cause.downcast_ref::<Exit>().copied())
    })
}

fn centre_ticket(number: u64, state: &str) -> Ticket {
    Ticket::new(PARTNER, number).centre("glasgow", state)
}

#[test]
fn submit_reports_acceptance_refusal_and_repetition() {
    let site = site().build();
    let context = site_context(&site);
    site.submit(&centre_ticket(1, "in"));

    let accepted = submit(&context, &centre_ticket(2, "out"));
    let repeated = submit(&context, &centre_ticket(2, "out"));
    let conflict = submit(&context, &centre_ticket(2, "in"));
    let superseded = submit(&context, &Ticket::new(PARTNER, 1));
    let faulty = submit(&context, &centre_ticket(3, "open"));

    assert_eq!((accepted, repeated), (Ok(()), Ok(())));
    let refused = Err(Some(Exit::Refused));
    assert_eq!([conflict, superseded, faulty], [refused, refused, refused]);
}

#[test]
fn a_group_that_does_not_listen_is_unreachable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);

    let outcome = submit(&context(vec![address]), &centre_ticket(1, "in"));

    assert_eq!(outcome, Err(Some(Exit::Unreachable)));
}

#[test]
fn a_wait_for_a_ticket_that_never_comes_times_out() {
    let site = site().build();
    site.submit(&centre_ticket(1, "in"));
    let options = WaitOptions {
        partner: PARTNER.to_owned(),
        number: Some(2),
        timeout: Duration::from_millis(10),
    };

    let error = ticket::wait(&site_context(&site), &options).unwrap_err();

    let mut causes = error.chain();
    assert!(causes.any(|cause| cause.downcast_ref() == Some(&Exit::Timeout)));
}

#[test]
fn status_shows_the_ticket_and_the_members() {
    let site = site().build();
    site.submit(&centre_ticket(1, "in"));
    let answer = site.get("control-1", "/status");

    let text = status::text(&serde_json::from_slice(&answer.body).unwrap(), true);

    assert!(text.contains("clydeside/1"), "{text}");
    assert!(text.contains("leads"), "{text}");
    assert!(text.contains("control-3"), "{text}");
}

#[test]
fn a_diff_marks_the_lines_that_changed() {
    let lines = diff_lines("a\nb\nc", "a\nx\nc\nd");

    assert_eq!(lines, [" a", "-b", "+x", " c", "+d"]);
}
