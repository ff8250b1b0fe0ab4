//! The role of a member, which follows the state chart `member.toml`.

use crate::{
    chart::{self, Chart, Event, RequiredNames, State},
    core::id::Name,
};

/// A member's role in its group: a state of the chart `member.toml`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Is not in the configuration, as far as it knows.
    Joining,
    /// Receives the log but has no vote.
    Learner,
    /// Has a vote, and follows the leader if there is one.
    Follower,
    /// Has started an election.
    Candidate,
    /// Leads the group.
    Leader,
    /// Takes no part since a write failed, until its storage works again.
    Failed,
    /// Was stopped.
    Stopped,
    /// Takes no part since its state machine could not restore a snapshot.
    Unrestored,
}

/// Roles by the name of their state in the chart.
const ROLES: [(&str, Role); 8] = [
    ("joining", Role::Joining),
    ("learner", Role::Learner),
    ("follower", Role::Follower),
    ("candidate", Role::Candidate),
    ("leader", Role::Leader),
    ("failed", Role::Failed),
    ("stopped", Role::Stopped),
    ("unrestored", Role::Unrestored),
];

/// How the configuration in force lists this member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Membership {
    Absent,
    Learner,
    Voter,
}

#[derive(Clone, Copy, Debug)]
struct Events {
    added: Event,
    admitted: Event,
    removed: Event,
    timeout: Event,
    elected: Event,
    deposed: Event,
    disk_failed: Event,
    reopened: Event,
    restore_failed: Event,
    stop: Event,
}

/// The state chart and the current state.
#[derive(Clone, Debug)]
pub(super) struct Lifecycle {
    chart: Chart,
    state: State,
    roles: Vec<(State, Role)>,
    events: Events,
}

impl Lifecycle {
    pub(super) fn new() -> eyre::Result<Self> {
        let states = ROLES.map(|(name, _)| name);
        let needs = RequiredNames {
            states: &states,
            events: &[],
        };
        let chart = chart::parse("member.toml", chart::MEMBER_CHART, needs)?;
        let event = |name: &str| {
            let found = chart.event(name);
            found.ok_or_else(|| eyre::eyre!("member.toml: event `{name}` is missing"))
        };
        let events = Events {
            added: event("added")?,
            admitted: event("admitted")?,
            removed: event("removed")?,
            timeout: event("timeout")?,
            elected: event("elected")?,
            deposed: event("deposed")?,
            disk_failed: event("disk-failed")?,
            reopened: event("reopened")?,
            restore_failed: event("restore-failed")?,
            stop: event("stop")?,
        };
        let roles = ROLES
            .iter()
            .filter_map(|(name, role)| Some((chart.state(name)?, *role)))
            .collect();
        Ok(Self {
            state: chart.initial(),
            chart,
            roles,
            events,
        })
    }

    pub(super) fn role(&self) -> Role {
        let found = self.roles.iter().find(|(state, _)| *state == self.state);
        found.map_or(Role::Failed, |(_, role)| *role)
    }

    pub(super) fn name(&self) -> Name {
        self.chart.name(self.state)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.chart.is_final(self.state)
    }

    /// Returns whether the member takes part in the protocol.
    pub(super) fn takes_part(&self) -> bool {
        !self.has_ended() && self.role() != Role::Failed
    }

    /// Fires the events that bring the role in line with the configuration.
    pub(super) fn set_membership(&mut self, listed: Membership) {
        match listed {
            Membership::Absent => self.fire(self.events.removed),
            Membership::Learner => {
                if self.role() != Role::Learner {
                    self.fire(self.events.removed);
                    self.fire(self.events.added);
                }
            }
            Membership::Voter => self.fire(self.events.admitted),
        }
    }

    pub(super) fn start_election(&mut self) {
        self.fire(self.events.timeout);
    }

    pub(super) fn elect(&mut self) {
        self.fire(self.events.elected);
    }

    pub(super) fn depose(&mut self) {
        self.fire(self.events.deposed);
    }

    pub(super) fn fail(&mut self) {
        self.fire(self.events.disk_failed);
    }

    pub(super) fn reopen(&mut self) {
        self.fire(self.events.reopened);
    }

    pub(super) fn fail_restore(&mut self) {
        self.fire(self.events.restore_failed);
    }

    pub(super) fn stop(&mut self) {
        self.fire(self.events.stop);
    }

    /// Takes the transition of an event. An event without a transition from the
    /// current state changes nothing.
    fn fire(&mut self, event: Event) {
        if let Some(state) = self.chart.next(self.state, event) {
            self.state = state;
        }
    }
}
