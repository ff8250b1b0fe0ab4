//! Text forms of ids, positions of findings, and sizes in settings.

use cardamomtally::{core::finding::line_column, prelude::*, settings::units::Size};

#[test]
fn request_id_survives_its_text_form() {
    let id = RequestId {
        entry: Incarnation(0xfeed),
        seq: 42,
    };

    let text = id.to_string();

    assert_eq!(text, "000000000000feed-42");
    assert_eq!(text.parse(), Ok(id));
}

#[test]
fn attempt_id_survives_its_text_form() {
    let id = AttemptId {
        request: RequestId {
            entry: Incarnation(7),
            seq: 9,
        },
        number: 3,
    };

    assert_eq!(id.to_string().parse(), Ok(id));
}

#[test]
fn ids_refuse_other_text() {
    for text in ["", "-", "12-3", "000000000000feed-", "000000000000feed-x"] {
        assert!(text.parse::<RequestId>().is_err(), "{text:?}");
    }
}

#[test]
fn line_and_column_count_characters() {
    let text = "é = 1\nab";

    assert_eq!(line_column(text, 2), (1, 2));
    assert_eq!(line_column(text, 8), (2, 2));
    assert_eq!(line_column(text, 99), (2, 3));
}

#[test]
fn sizes_need_a_unit() {
    assert_eq!(Size::parse("64KiB"), Some(Size(65_536)));
    assert_eq!(Size::parse("64"), None);
    assert_eq!(Size::parse("99999999999999999GiB"), None);
}
