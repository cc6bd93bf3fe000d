#!/usr/bin/env bash
# Builds the programs of the scripts. The node program is built as in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/2/surplus ./review/3/takeover
