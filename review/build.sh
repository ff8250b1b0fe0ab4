#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. They need the standard library
# only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
