#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2/.
# Needs only packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -I. review/standin-2/*.cc -o target/review-2/stage -lboost_json -pthread
