#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build build/review-2 -j"$(nproc)" --target standin_hosted
