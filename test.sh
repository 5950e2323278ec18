#!/usr/bin/env bash
# Runs every test of every module with the race detector; failures that KNOWN-RED.txt names are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")"
export CGO_ENABLED=1 GINKGO_NO_COLOR=TRUE
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# failures lists the failed specs and plain tests of the log, a line each, without the suites that hold the specs.
failures() {
  sed -n -e 's/^ *\[FAIL\] *//p' -e 's/^ *--- FAIL: \([^ ]*\).*/\1/p' "$log" |
    sed -e 's/ \[[a-z, -]*\]$//' | grep -v -x 'Test[A-Za-z]*Suite' | sort -u
}

# all_known tells whether the log fails by nothing but tests that KNOWN-RED.txt names.
all_known() {
  if grep -q -e 'DATA RACE' -e '^panic: ' -e 'build failed' -e 'setup failed' "$log"; then return 1; fi
  local failed name
  failed=$(failures)
  [ -n "$failed" ] || return 1
  while IFS= read -r name; do
    grep -q -x -F "test: $name" KNOWN-RED.txt || return 1
    echo "known red: $name"
  done <<<"$failed"
}

status=0
for module in common peridot-entry peridot-control peridot-fake peridotctl platform prover; do
  echo "== $module: test"
  if (cd "$module" && go test -race -timeout 25m ./...) >"$log" 2>&1; then
    grep -v 'no test files' "$log" || true
  else
    cat "$log"
    all_known || status=1
  fi
done
if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi
exit $status
