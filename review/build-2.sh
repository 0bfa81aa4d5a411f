#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases review/6 to review/10; needs no network.
set -eu
cd "$(dirname "$0")/harness-2"
cargo build --release --offline --locked
