//! Transfer of documents in parts.

use super::fixtures::{document, route};
use cardamomtally::{
    net::compress::{compress, decompress},
    prelude::*,
    site::{
        document::{Class, Document, Route},
        transfer::{Download, Encoding, Part},
    },
};

/// Returns a document whose encoding has several parts.
fn large() -> Document {
    let mut large = document(7, Class::Once);
    large.routes.extend((0..2_000_u64).map(|n| Route {
        prefix: format!("/{}/", Digest::of(&n.to_le_bytes())).into(),
        ..route(Class::Once)
    }));
    large
}

fn parts(encoded: &Encoding) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut offset = 0;
    while let Some(part) = encoded.part(offset) {
        offset += part.bytes.len() as u64;
        parts.push(part);
    }
    parts
}

#[test]
fn parts_of_a_document_give_it_back() {
    let encoded = Encoding::new(Index(3), &large());
    let parts = parts(&encoded);
    let count = parts.len();

    let mut download = Download::new(Index(3));
    for part in parts {
        assert_eq!(download.next().map(|next| next.offset), Some(part.offset));
        download.add(part).unwrap();
    }

    assert!(count > 2, "{count}");
    assert_eq!(download.next(), None);
    assert_eq!(download.decode::<Document>().unwrap(), large());
}

#[test]
fn part_that_does_not_follow_changes_nothing() {
    let parts = parts(&Encoding::new(Index(3), &large()));
    let other = Encoding::new(Index(3), &document(7, Class::Once));
    let later = Encoding::new(Index(4), &large());
    let mut download = Download::new(Index(3));
    download.add(parts[0].clone()).unwrap();
    let next = download.next();

    let wrong = [
        parts[0].clone(),
        parts[2].clone(),
        other.part(0).unwrap(),
        later.part(next.unwrap().offset).unwrap(),
        Part {
            bytes: Vec::new(),
            ..parts[1].clone()
        },
    ];

    for part in wrong {
        assert!(download.add(part).is_err());
        assert_eq!(download.next(), next);
    }
    download.add(parts[1].clone()).unwrap();
}

#[test]
fn parts_with_wrong_content_are_not_decoded() {
    let encoded = Encoding::new(Index(3), &document(7, Class::Once));
    let mut part = encoded.part(0).unwrap();
    part.bytes[0] ^= 1;
    let mut download = Download::new(Index(3));

    download.add(part).unwrap();

    assert_eq!(download.next(), None);
    assert_eq!(download.decode::<Document>().ok(), None);
}

#[test]
fn bytes_that_expand_without_end_are_refused() {
    let bomb = compress(&vec![0; 65 << 20]);

    assert!(bomb.len() < 1 << 20);
    assert_eq!(decompress(&bomb).ok(), None);
    assert_eq!(decompress(b"no compressed bytes").ok(), None);
    assert_eq!(decompress(&compress(b"text")).unwrap(), b"text");
}
