#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. It needs no network once the project itself has been built.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
