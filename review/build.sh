#!/usr/bin/env bash
# Builds the stand-ins of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/_tools/lab
