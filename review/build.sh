#!/bin/sh
# Builds what the cases of the review start beside target/reachramp, which the deploy file builds:
# one program a case, in target/review-cases, with the project's own emulators linked in.
set -e
cd "$(dirname "$0")/.."
cmake -S review -B target/review-cases -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-cases -j"$(nproc)" --target cases
