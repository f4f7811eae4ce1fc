#!/bin/sh
# Builds the stand-ins of the second review into target/review. Run the build of the deploy file first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/_tools-2/stage ./review/_tools-2/farewell
