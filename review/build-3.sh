#!/usr/bin/env bash
# Builds the stand-ins and drivers of the third review's scripts into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
    [ -f "review/$number/case.cpp" ] || continue
    g++ -std=c++20 -O2 -pthread -o "target/review-3/case-$number" "review/$number/case.cpp" review/standins-3/*.cpp -lboost_json
done
