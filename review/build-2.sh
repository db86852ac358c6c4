#!/bin/sh
# Builds what cases 4 to 8 of the review start beside target/reachramp, which the deploy file
# builds: one program a case, in target/review-cases-2, with the project's own emulators linked in.
set -e
cd "$(dirname "$0")/.."
cmake -S review/build-2 -B target/review-cases-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-cases-2 -j"$(nproc)" --target scenarios
