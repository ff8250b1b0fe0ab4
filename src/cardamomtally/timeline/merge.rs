//! Merges the events of several processes into one sequence.

use super::Event;

/// Returns the events of all sources in the order of their stamps, without
/// duplicates. With a `filter`, returns only events whose subject or text contains
/// it.
pub fn merge(sources: Vec<Vec<Event>>, filter: Option<&str>) -> Vec<Event> {
    let wanted = |event: &Event| {
        filter.is_none_or(|text| event.subject.contains(text) || event.text.contains(text))
    };
    let mut events: Vec<Event> = sources.into_iter().flatten().filter(wanted).collect();
    events.sort();
    events.dedup();
    events
}
