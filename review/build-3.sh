#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. The program
# under test comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/review-3 \
  review/standin-3/*.cc -lboost_json
