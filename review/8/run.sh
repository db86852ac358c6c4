#!/bin/sh
# Case 8; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
exec timeout -k 2 119 "$root/target/review-cases-2/scenario-8" "$root/target/reachramp" "$folder/record.txt"
