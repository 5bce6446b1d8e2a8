#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The daemons are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin2
