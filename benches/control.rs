//! Measurement of control; prints one JSON object as its last line.

fn main() {
    println!("{{}}");
}
