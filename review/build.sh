#!/usr/bin/env bash
# Builds the stand-in that the scripts start. It needs the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin review/standin/*.go
