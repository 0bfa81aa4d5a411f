#!/usr/bin/env bash
# Builds every stand-in that the scripts of the third review start. The program under review is built
# by the command of deploy/system.toml before this.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
cargo build --release --offline --locked
