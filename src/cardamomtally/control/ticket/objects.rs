//! Readers for the kinds of objects in a ticket.

use super::{
    BackendChange, CentreChange,
    fields::{Fields, Sink, boolean, number, string, unsigned},
};
use crate::core::{
    config::{
        Availability, BackendSite, BackendView, CascadeState, Route, ServiceState, Stage,
        VersionState, WorkspaceState,
    },
    id::Name,
};
use serde_spanned::Spanned;
use toml::de::DeValue;

/// Reads a data centre.
pub(super) fn centre(sink: &mut Sink<'_>, fields: &mut Fields<'_, '_>, path: &str) -> CentreChange {
    fields.record_offset(sink, "region", path);
    CentreChange {
        region: fields.optional(sink, "region", string),
        state: service_state(sink, fields),
    }
}

/// Reads a backend server.
pub(super) fn backend(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'_, '_>,
    path: &str,
) -> BackendChange {
    for key in ["data_centre", "agent", "checks_fencing"] {
        fields.record_offset(sink, key, path);
    }
    let state = service_state(sink, fields);
    BackendChange {
        site: site(sink, fields),
        view: BackendView {
            state,
            versions: fields.names(sink, "versions", path),
            services: fields.names(sink, "services", path),
        },
    }
}

/// Reads a backend server's site. If any of its fields is given, `data_centre` and
/// `agent` are required.
fn site(sink: &mut Sink<'_>, fields: &mut Fields<'_, '_>) -> Option<BackendSite> {
    let fencing = fields.optional(sink, "checks_fencing", boolean);
    let given = fields.value("data_centre").is_some()
        || fields.value("agent").is_some()
        || fencing.is_some();
    if !given {
        return None;
    }
    let centre = fields.required(sink, "data_centre", string);
    let agent = fields.required(sink, "agent", string);
    Some(BackendSite {
        centre: centre?,
        agent: agent?,
        fencing: fencing.unwrap_or_default(),
    })
}

/// Reads a model version.
pub(super) fn version(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'_, '_>,
    path: &str,
) -> VersionState {
    for key in ["cost", "share"] {
        fields.record_offset(sink, key, path);
    }
    let stage = fields.required(sink, "stage", stage);
    let share = fields.optional(sink, "share", number);
    if stage == Some(Stage::RollingIn) && share.is_none() && fields.value("share").is_none() {
        sink.add(fields.start(), "a version that is rolling in needs `share`");
    }
    VersionState {
        cost: fields.required(sink, "cost", number).unwrap_or_default(),
        stage: stage.unwrap_or(Stage::InService),
        share: share.unwrap_or(1.0),
    }
}

/// Reads a cascade.
pub(super) fn cascade(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'_, '_>,
    path: &str,
) -> CascadeState {
    CascadeState {
        steps: fields.names(sink, "steps", path),
    }
}

/// Reads a workspace.
pub(super) fn workspace(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'_, '_>,
    path: &str,
) -> WorkspaceState {
    for key in ["cascade", "quality", "priority"] {
        fields.record_offset(sink, key, path);
    }
    WorkspaceState {
        keys: fields.names(sink, "keys", path),
        versions: fields.names(sink, "versions", path),
        cascade: fields.optional(sink, "cascade", string),
        quality: fields.optional(sink, "quality", number).unwrap_or_default(),
        services: fields.names(sink, "services", path),
        priority: fields
            .optional(sink, "priority", priority)
            .unwrap_or_default(),
    }
}

/// Reads a plain service.
pub(super) fn service(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'_, '_>,
    path: &str,
) -> ServiceState {
    fields.record_offset(sink, "path", path);
    let prefix = fields.required(sink, "path", string).unwrap_or_default();
    let items = fields.value("route").map(Spanned::get_ref);
    let items = items.and_then(DeValue::as_array);
    if items.is_none() {
        sink.add(fields.start(), "a service needs `route`, a list of tables");
    }
    let mut routes = Vec::new();
    for item in items.into_iter().flatten() {
        sink.offsets
            .add(format!("{path}/route/{}", routes.len()), item.span().start);
        routes.push(route(sink, item));
    }
    ServiceState {
        path: prefix,
        routes,
    }
}

fn route(sink: &mut Sink<'_>, item: &Spanned<DeValue<'_>>) -> Route {
    let empty = Route {
        method: Name::default(),
        path: Name::default(),
        repeatable: false,
    };
    let Some(table) = item.get_ref().as_table() else {
        sink.add(item.span().start, "a route must be a table");
        return empty;
    };
    let mut fields = Fields::new(table, item.span().start, "a route");
    let route = Route {
        method: fields.required(sink, "method", string).unwrap_or_default(),
        path: fields.required(sink, "path", string).unwrap_or_default(),
        repeatable: fields
            .required(sink, "repeatable", boolean)
            .unwrap_or_default(),
    };
    fields.finish(sink);
    route
}

fn service_state(sink: &mut Sink<'_>, fields: &mut Fields<'_, '_>) -> Availability {
    let read = |value: &Spanned<DeValue<'_>>| match value.get_ref().as_str() {
        Some("in") => Ok(Availability::In),
        Some("out") => Ok(Availability::Out),
        _ => Err("\"in\" or \"out\""),
    };
    fields.required(sink, "state", read).unwrap_or_default()
}

fn stage(value: &Spanned<DeValue<'_>>) -> Result<Stage, &'static str> {
    match value.get_ref().as_str() {
        Some("rolling-in") => Ok(Stage::RollingIn),
        Some("in-service") => Ok(Stage::InService),
        Some("withdrawn") => Ok(Stage::Withdrawn),
        _ => Err("\"rolling-in\", \"in-service\" or \"withdrawn\""),
    }
}

fn priority(value: &Spanned<DeValue<'_>>) -> Result<u8, &'static str> {
    let number = unsigned(value).ok().and_then(|n| u8::try_from(n).ok());
    number.ok_or("a whole number from 0 to 9")
}
