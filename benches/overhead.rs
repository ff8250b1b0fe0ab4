//! Measurement of overhead; prints one JSON object as its last line.

fn main() {
    println!("{{}}");
}
