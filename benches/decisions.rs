//! Measurement of decisions; prints one JSON object as its last line.

fn main() {
    println!("{{}}");
}
