#!/bin/sh
# Builds the stand-ins and drivers of the second review's scripts, with the standard library
# only and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
