//! Merges the events of several processes.

use super::Event;

/// Sorts events by their stamps, drops duplicates and keeps those whose subject
/// or text holds `filter`.
pub fn merge(sources: Vec<Vec<Event>>, filter: Option<&str>) -> Vec<Event> {
    let wanted = |event: &Event| {
        filter.is_none_or(|text| event.subject.contains(text) || event.text.contains(text))
    };
    let mut events: Vec<Event> = sources.into_iter().flatten().filter(wanted).collect();
    events.sort();
    events.dedup();
    events
}
