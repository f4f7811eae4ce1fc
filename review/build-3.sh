#!/bin/sh
# Builds the stand-ins of the third review.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/_tools-3/probe
