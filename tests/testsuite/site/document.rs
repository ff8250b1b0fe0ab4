//! Validation of documents, and look-ups in them.

use super::fixtures::{document, route, share};
use cardamomtally::{
    net::codec,
    prelude::*,
    site::{
        document::{Class, Document, Route, Service, Workspace},
        table::{Denial, Table},
    },
};

fn faults(change: impl FnOnce(&mut Document)) -> Vec<String> {
    let mut document = document(1, Class::Once);
    change(&mut document);
    document.check().iter().map(ToString::to_string).collect()
}

#[test]
fn valid_document_has_no_fault() {
    assert_eq!(faults(|_| {}), Vec::<String>::new());
}

#[test]
fn each_fault_is_named_with_its_place() {
    let unknown = faults(|d| d.routes[0].shares = vec![share("other", 1)]);
    let zero_weight = faults(|d| d.routes[0].shares = vec![share("drafts", 0)]);
    let zero_timeout = faults(|d| d.routes[0].timeout = Duration::ZERO);
    let duplicate = faults(|d| d.routes.push(route(Class::Stream)));

    assert_eq!(
        unknown,
        ["route 0 `draft`: names the unknown service `other`"]
    );
    assert_eq!(zero_weight, ["route 0 `draft`: its weights add up to 0"]);
    assert_eq!(zero_timeout, ["route 0 `draft`: its timeout is 0"]);
    assert_eq!(
        duplicate,
        ["route 1 `draft`: another route has the same host and prefix"]
    );
}

#[test]
fn key_may_repeat_in_one_workspace_but_not_in_two() {
    let other = Workspace {
        name: "press".into(),
        keys: vec!["key-1".into()],
        priority: None,
    };

    let shared = faults(|d| d.workspaces.push(other));
    let repeated = faults(|d| d.workspaces[0].keys.push("key-1".into()));

    assert_eq!(
        shared,
        ["workspace 1 `press`: shares a key with workspace 0"]
    );
    assert!(repeated.is_empty(), "{repeated:?}");
}

#[test]
fn all_faults_are_reported_together() {
    let found = faults(|d| {
        d.routes[0].timeout = Duration::ZERO;
        d.routes[0].shares.clear();
    });

    assert_eq!(found.len(), 2, "{found:?}");
}

fn table_of(prefixes: &[&str]) -> Table {
    let mut document = document(3, Class::Once);
    document.routes = prefixes
        .iter()
        .map(|prefix| Route {
            name: (*prefix).into(),
            prefix: (*prefix).into(),
            ..route(Class::Once)
        })
        .collect();
    Table::new(&document)
}

#[test]
fn longest_prefix_that_begins_the_path_wins() {
    let table = table_of(&["/a/", "/a/b/", "/"]);
    let find = |path: &str| {
        table
            .route("site.example", path)
            .map(|r| r.name.to_string())
    };

    assert_eq!(find("/a/b/c"), Ok("/a/b/".to_owned()));
    assert_eq!(find("/a/b"), Ok("/a/".to_owned()));
    assert_eq!(find("/ab/c"), Ok("/".to_owned()));
    assert_eq!(find("/a/"), Ok("/a/".to_owned()));
}

#[test]
fn path_or_host_without_route_is_denied() {
    let table = table_of(&["/a/"]);

    assert_eq!(
        table.route("site.example", "/b/").map(|_| ()),
        Err(Denial::NoRoute)
    );
    assert_eq!(
        table.route("other.example", "/a/").map(|_| ()),
        Err(Denial::NoRoute)
    );
}

#[test]
fn key_is_needed_unless_the_route_is_public() {
    let table = table_of(&["/a/"]);
    let private = route(Class::Once);
    let public = Route {
        public: true,
        ..route(Class::Once)
    };

    let holder = table.key_owner(&private, Some("key-1"));
    assert_eq!(
        holder.map(|h| h.map(|h| h.name.to_string())),
        Ok(Some("studio".to_owned()))
    );
    assert_eq!(table.key_owner(&private, None), Err(Denial::NoKey));
    assert_eq!(table.key_owner(&private, Some("key-2")), Err(Denial::NoKey));
    assert_eq!(table.key_owner(&public, None), Ok(None));
}

/// Guards against control members of a former build whose documents could not be decoded.
#[test]
fn service_of_a_former_build_is_decoded_without_memory_and_slots() {
    #[derive(serde::Serialize)]
    struct Former {
        name: Name,
        connections: u32,
        cold: Duration,
        cold_rate: f64,
        models: Vec<()>,
    }
    let former = Former {
        name: "s".into(),
        connections: 4,
        cold: Duration::ZERO,
        cold_rate: 0.0,
        models: Vec::new(),
    };

    let service: Service = codec::decode(&codec::encode(&former)).unwrap();

    assert_eq!((service.memory, service.slots), (0, 0));
}
