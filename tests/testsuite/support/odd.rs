//! Inputs that are proper in their first bytes and absurd in depth, length or number.

/// Levels of nesting of a deep input. Recursion without a limit would overflow the 2 MiB
/// stack of a test's thread.
const DEEP: usize = 50_000;

/// Levels of nesting just below and above the limits of the decoders in use.
const LEVELS: [usize; 5] = [64, 126, 250, 260, 1_000];

/// Returns CBOR whose lengths announce far more items than follow, to find decoders that
/// allocate by the announced length.
fn huge_lengths() -> Vec<Vec<u8>> {
    let announced = [0x00, 0x00, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff];
    // Byte string, text, array and map.
    let huge = |kind: u8| [&[kind], &announced[..]].concat();
    let mut found: Vec<_> = [0x5b, 0x7b, 0x9b, 0xbb].map(huge).into();
    found.push([huge(0x9b), huge(0x5b)].concat());
    found.push([huge(0xbb), huge(0x7b)].concat());
    found.push(vec![0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]);
    found
}

/// Returns CBOR values of absurd depth, length or number.
pub fn cbor() -> Vec<Vec<u8>> {
    let mut found = huge_lengths();
    let levels = LEVELS.into_iter().chain([DEEP]);
    for level in levels {
        // Array of one, array without a length, map with a text key, map whose key is a map,
        // tag, chunked byte string, chunked text.
        for open in [
            &b"\x81"[..],
            b"\x9f",
            b"\xa1\x61a",
            b"\xa1",
            b"\xc1",
            b"\x5f",
            b"\x7f",
        ] {
            found.push([open.repeat(level), b"\x00".to_vec()].concat());
        }
    }
    found.extend([
        // Infinity, not a number, the greatest integers, and one of 17 bytes.
        b"\xfb\x7f\xf0\x00\x00\x00\x00\x00\x00".to_vec(),
        b"\xf9\x7e\x00".to_vec(),
        b"\x1b\xff\xff\xff\xff\xff\xff\xff\xff".to_vec(),
        b"\x3b\xff\xff\xff\xff\xff\xff\xff\xff".to_vec(),
        [&b"\xc2\x51"[..], &[0xff; 17]].concat(),
        // Text that is no UTF-8.
        b"\x62\xc3\x28".to_vec(),
    ]);
    found
}

/// Returns JSON values of absurd depth, length or number, or with bytes that are no text.
pub fn json() -> Vec<Vec<u8>> {
    let mut found = Vec::new();
    for level in LEVELS.into_iter().chain([DEEP]) {
        for (open, close) in [("[", "]"), (r#"{"a":"#, "}")] {
            found.push([open.repeat(level), close.repeat(level)].concat());
            found.push(open.repeat(level));
        }
    }
    found.extend(
        [
            "1e999",
            "-1e999",
            "18446744073709551616",
            "1e300",
            "-0.0",
            "NaN",
            r#""\ud800""#,
            r#""\udfff\ud800""#,
            r#""\u0000""#,
            r#""\"#,
        ]
        .map(str::to_owned),
    );
    found.push("9".repeat(100_000));
    found.push(format!("\"{}\"", "x".repeat(200_000)));
    let mut found: Vec<_> = found.into_iter().map(String::into_bytes).collect();
    found.push(b"\"\xc3\x28\"".to_vec());
    found.push(b"\"\xff\xfe\"".to_vec());
    found
}

/// Returns TOML of absurd depth or number.
pub fn toml() -> Vec<Vec<u8>> {
    let mut found = Vec::new();
    for level in LEVELS.into_iter().chain([DEEP]) {
        let dotted = vec!["a"; level].join(".");
        found.push(format!("a = {}{}", "[".repeat(level), "]".repeat(level)));
        found.push(format!("a = {}1{}", "{a=".repeat(level), "}".repeat(level)));
        found.push(format!("{dotted} = 1"));
        found.push(format!("[{dotted}]\nb = 1"));
        found.push(format!("[[{dotted}]]\nb = 1"));
    }
    found.push(format!("a = {}", "9".repeat(10_000)));
    found.push("a = 1e999".to_owned());
    found.push("a = 9223372036854775808".to_owned());
    found.into_iter().map(String::into_bytes).collect()
}
