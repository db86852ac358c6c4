#!/usr/bin/env bash
# Tests that scripts/doc-names prints file, line and name of each name that stands nowhere, and accepts the real pages.
# Usage: doc_names_test.sh
set -euo pipefail
cd "$(dirname "$0")/.."
page=$(mktemp)
trap 'rm -f "$page"' EXIT

expect() {  # content of the page, expected exit code, expected output
  local output code=0
  printf '%s' "$1" >"$page"
  output=$(scripts/doc-names "$page" 2>&1) || code=$?
  if [ "$code" != "$2" ] || [ "$output" != "$3" ]; then
    printf 'for "%s": code %s, output "%s"; expected %s, "%s"\n' "$1" "$code" "$output" "$2" "$3"
    exit 1
  fi
}

expect '' 0 ''
expect $'`Leader::on_drains`, `src/controller/leader.cpp`\n`job/<id>`, `decode_*`, `POST /v1/report`\n' 0 ''
expect $'one line\n`LeaderElection` and `no_such_name`\n' 1 "$page:2: no_such_name stands nowhere"
expect '`src/controller/no_such_file.cpp`' 1 "$page:1: src/controller/no_such_file.cpp stands nowhere"
expect '`Leader::no_such_function`' 1 "$page:1: Leader::no_such_function stands nowhere"
expect '`nosuch/<id>`' 1 "$page:1: nosuch/<id> stands nowhere"
expect '`no_such_prefix_*`' 1 "$page:1: no_such_prefix_* stands nowhere"
expect '`POST /v1/nosuch`' 1 "$page:1: POST /v1/nosuch stands nowhere"
expect "\`grep -rn -e no_such_name src\`" 1 "$page:1: grep -rn -e no_such_name src stands nowhere"
expect $'`no_such_name`\n`no_such_name`\n' 1 "$page:1: no_such_name stands nowhere
$page:2: no_such_name stands nowhere"
scripts/doc-names
