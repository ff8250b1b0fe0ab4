//! State charts: the built-in charts, transitions and the validation of files.

use cardamomtally::chart::{MEMBER_CHART, RequiredNames, VERSION_CHART, parse};

#[test]
fn built_in_charts_are_valid() {
    for (file, text) in [
        ("member.toml", MEMBER_CHART),
        ("version.toml", VERSION_CHART),
    ] {
        let chart = parse(file, text, RequiredNames::default()).unwrap();

        assert!(!chart.is_final(chart.initial()), "{file}");
    }
}

#[test]
fn next_follows_transitions() {
    let chart = parse("member.toml", MEMBER_CHART, RequiredNames::default()).unwrap();
    let joining = chart.initial();
    let admitted = chart.event("admitted").unwrap();
    let stop = chart.event("stop").unwrap();

    let follower = chart.next(joining, admitted).unwrap();
    let stopped = chart.next(follower, stop).unwrap();

    assert_eq!(chart.name(follower).as_ref(), "follower");
    assert!(chart.is_final(stopped));
    assert_eq!(chart.next(stopped, admitted), None);
}

#[test]
fn all_faults_are_reported_with_line_and_column() {
    let text = concat!(
        "initial = \"a\"\n",
        "final = [\"d\"]\n",
        "states = [\"a\", \"b\", \"c\", \"d\", \"a\"]\n",
        "events = [\"go\", \"idle\"]\n",
        "[[transition]]\n",
        "from = [\"a\"]\n",
        "event = \"go\"\n",
        "to = \"b\"\n",
        "[[transition]]\n",
        "from = [\"a\", \"d\"]\n",
        "event = \"go\"\n",
        "to = \"x\"\n",
        "[[transition]]\n",
        "from = [\"b\"]\n",
        "event = \"fly\"\n",
        "to = \"d\"\n",
    );
    let required = RequiredNames {
        states: &["e"],
        events: &["halt"],
    };

    let findings = parse("bad.toml", text, required).unwrap_err().to_string();

    let expected = [
        "bad.toml:1:1: event `halt` is missing; the program uses it",
        "bad.toml:1:1: state `e` is missing; the program uses it",
        "bad.toml:3:21: state `c` cannot be reached from the initial state",
        "bad.toml:3:21: state `c` has no transition and is not final",
        "bad.toml:3:26: final state `d` has a transition",
        "bad.toml:3:31: state `a` is declared twice",
        "bad.toml:4:17: event `idle` has no transition",
        "bad.toml:10:9: state `a` has two transitions for `go`",
        "bad.toml:12:6: unknown state `x`; declare it in `states`",
        "bad.toml:15:9: unknown event `fly`; declare it in `events`",
    ];
    assert_eq!(findings.lines().collect::<Vec<_>>(), expected);
}

#[test]
fn a_value_of_the_wrong_type_is_one_finding() {
    let findings = parse("bad.toml", "initial = 3", RequiredNames::default()).unwrap_err();

    assert_eq!(findings.0.len(), 1);
}
