//! Validates a chart file. All faults are collected, so that one run shows them
//! all.

use super::{
    RequiredNames,
    file::{RawChart, SpannedName},
};
use crate::core::{
    finding::Findings,
    map::{FastMap, FastSet},
};

/// Reports every fault of a chart file, or nothing if the chart is valid.
pub(super) fn check(
    file: &str,
    text: &str,
    raw: &RawChart,
    required: RequiredNames<'_>,
) -> Result<(), Findings> {
    let mut checker = Checker {
        file,
        text,
        raw,
        findings: Findings::default(),
    };
    checker.names("state", &raw.states, required.states);
    checker.names("event", &raw.events, required.events);
    checker.references();
    checker.contradictions();
    checker.reachable();
    checker.exits();
    checker.unused();
    checker.findings.into_result(())
}

struct Checker<'c> {
    file: &'c str,
    text: &'c str,
    raw: &'c RawChart,
    findings: Findings,
}

impl Checker<'_> {
    fn add(&mut self, name: &SpannedName, message: String) {
        let offset = name.span().start;
        self.findings.add(self.file, self.text, offset, message);
    }

    /// Reports names that are declared twice and required names that are missing.
    fn names(&mut self, kind: &str, names: &[SpannedName], required: &[&str]) {
        let mut known = FastSet::default();
        for name in names {
            if !known.insert(name.as_ref().as_str()) {
                let text = name.as_ref();
                self.add(name, format!("{kind} `{text}` is declared twice"));
            }
        }
        for need in required.iter().filter(|need| !known.contains(*need)) {
            let message = format!("{kind} `{need}` is missing; the program uses it");
            self.findings.add(self.file, self.text, 0, message);
        }
    }

    /// Reports states and events that are used but not declared.
    fn references(&mut self) {
        let raw = self.raw;
        self.known_state(&raw.initial);
        for state in &raw.terminal {
            self.known_state(state);
        }
        for transition in &raw.transitions {
            for from in &transition.from {
                self.known_state(from);
            }
            self.known_state(&transition.to);
            if !contains(&raw.events, transition.event.as_ref()) {
                let name = transition.event.as_ref();
                let message = format!("unknown event `{name}`; declare it in `events`");
                self.add(&transition.event, message);
            }
        }
    }

    fn known_state(&mut self, state: &SpannedName) {
        if !contains(&self.raw.states, state.as_ref()) {
            let name = state.as_ref();
            let message = format!("unknown state `{name}`; declare it in `states`");
            self.add(state, message);
        }
    }

    /// Reports states with more than one transition for the same event.
    fn contradictions(&mut self) {
        let raw = self.raw;
        let mut seen = FastSet::default();
        for transition in &raw.transitions {
            for from in &transition.from {
                let (state, event) = (from.as_ref(), transition.event.as_ref());
                if !seen.insert((state, event)) {
                    let message = format!("state `{state}` has two transitions for `{event}`");
                    self.add(from, message);
                }
            }
        }
    }

    /// Reports states that cannot be reached from the initial state.
    fn reachable(&mut self) {
        let raw = self.raw;
        let reached = reached(raw);
        for state in &raw.states {
            let name = state.as_ref().as_str();
            if !reached.contains(name) {
                let message = format!("state `{name}` cannot be reached from the initial state");
                self.add(state, message);
            }
        }
    }

    /// Reports final states with a transition and other states without one.
    fn exits(&mut self) {
        let raw = self.raw;
        for state in &raw.states {
            let name = state.as_ref();
            let terminal = contains(&raw.terminal, name);
            let leaves = raw.transitions.iter().any(|t| contains(&t.from, name));
            if terminal && leaves {
                self.add(state, format!("final state `{name}` has a transition"));
            }
            if !terminal && !leaves {
                let message = format!("state `{name}` has no transition and is not final");
                self.add(state, message);
            }
        }
    }

    /// Reports events that occur in no transition.
    fn unused(&mut self) {
        let raw = self.raw;
        for event in &raw.events {
            let name = event.as_ref();
            let used = raw.transitions.iter().any(|t| t.event.as_ref() == name);
            if !used {
                self.add(event, format!("event `{name}` has no transition"));
            }
        }
    }
}

fn contains(names: &[SpannedName], name: &str) -> bool {
    names.iter().any(|known| known.as_ref() == name)
}

/// Returns the states that can be reached from the initial state.
fn reached(raw: &RawChart) -> FastSet<&str> {
    let mut exits: FastMap<&str, Vec<&str>> = FastMap::default();
    for transition in &raw.transitions {
        for from in &transition.from {
            let targets = exits.entry(from.as_ref()).or_default();
            targets.push(transition.to.as_ref());
        }
    }
    let mut reached = FastSet::default();
    let mut pending = vec![raw.initial.as_ref().as_str()];
    while let Some(state) = pending.pop() {
        if reached.insert(state) {
            pending.extend(exits.get(state).into_iter().flatten());
        }
    }
    reached
}
