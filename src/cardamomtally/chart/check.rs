//! Validation of a chart, which collects all faults.

use super::{
    Needs,
    file::{ChartForm, Place},
};
use crate::core::{
    finding::Findings,
    map::{FastMap, FastSet},
};

/// Collects all faults of a chart.
pub(super) fn check(
    file: &str,
    text: &str,
    form: &ChartForm,
    needs: Needs<'_>,
) -> Result<(), Findings> {
    let mut checker = Checker {
        file,
        text,
        form,
        findings: Findings::default(),
    };
    checker.names("state", &form.states, needs.states);
    checker.names("event", &form.events, needs.events);
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
    form: &'c ChartForm,
    findings: Findings,
}

impl Checker<'_> {
    fn add(&mut self, place: &Place, message: String) {
        let offset = place.span().start;
        self.findings.add(self.file, self.text, offset, message);
    }

    fn names(&mut self, kind: &str, names: &[Place], needs: &[&str]) {
        let mut known = FastSet::default();
        for name in names {
            if !known.insert(name.as_ref().as_str()) {
                let text = name.as_ref();
                self.add(name, format!("{kind} `{text}` is declared twice"));
            }
        }
        for need in needs.iter().filter(|need| !known.contains(*need)) {
            let message = format!("{kind} `{need}` is missing; the program uses it");
            self.findings.add(self.file, self.text, 0, message);
        }
    }

    fn references(&mut self) {
        let form = self.form;
        self.known_state(&form.initial);
        for state in &form.terminal {
            self.known_state(state);
        }
        for transition in &form.transitions {
            for from in &transition.from {
                self.known_state(from);
            }
            self.known_state(&transition.to);
            if !contains(&form.events, transition.event.as_ref()) {
                let name = transition.event.as_ref();
                let message = format!("unknown event `{name}`; declare it in `events`");
                self.add(&transition.event, message);
            }
        }
    }

    fn known_state(&mut self, place: &Place) {
        if !contains(&self.form.states, place.as_ref()) {
            let name = place.as_ref();
            let message = format!("unknown state `{name}`; declare it in `states`");
            self.add(place, message);
        }
    }

    fn contradictions(&mut self) {
        let form = self.form;
        let mut seen = FastSet::default();
        for transition in &form.transitions {
            for from in &transition.from {
                let (state, event) = (from.as_ref(), transition.event.as_ref());
                if !seen.insert((state, event)) {
                    let message = format!("state `{state}` has two transitions for `{event}`");
                    self.add(from, message);
                }
            }
        }
    }

    fn reachable(&mut self) {
        let form = self.form;
        let reached = reached(form);
        for state in &form.states {
            let name = state.as_ref().as_str();
            if !reached.contains(name) {
                let message = format!("state `{name}` cannot be reached from the initial state");
                self.add(state, message);
            }
        }
    }

    fn exits(&mut self) {
        let form = self.form;
        for state in &form.states {
            let name = state.as_ref();
            let terminal = contains(&form.terminal, name);
            let leaves = form.transitions.iter().any(|t| contains(&t.from, name));
            if terminal && leaves {
                self.add(state, format!("final state `{name}` has a transition"));
            }
            if !terminal && !leaves {
                let message = format!("state `{name}` has no transition and is not final");
                self.add(state, message);
            }
        }
    }

    fn unused(&mut self) {
        let form = self.form;
        for event in &form.events {
            let name = event.as_ref();
            let used = form.transitions.iter().any(|t| t.event.as_ref() == name);
            if !used {
                self.add(event, format!("event `{name}` has no transition"));
            }
        }
    }
}

fn contains(names: &[Place], name: &str) -> bool {
    names.iter().any(|known| known.as_ref() == name)
}

fn reached(form: &ChartForm) -> FastSet<&str> {
    let mut exits: FastMap<&str, Vec<&str>> = FastMap::default();
    for transition in &form.transitions {
        for from in &transition.from {
            let targets = exits.entry(from.as_ref()).or_default();
            targets.push(transition.to.as_ref());
        }
    }
    let mut reached = FastSet::default();
    let mut open = vec![form.initial.as_ref().as_str()];
    while let Some(state) = open.pop() {
        if reached.insert(state) {
            open.extend(exits.get(state).into_iter().flatten());
        }
    }
    reached
}
