#!/bin/sh
# Builds the stand-ins of review/6 and later, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 review/standin-2/*.go
