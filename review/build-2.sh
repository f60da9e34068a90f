#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/. Run it at the root of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in worker lost_end slow_reader reused_address late_drain turned_away; do
    g++ -std=c++20 -O1 -pthread -Wno-format-security -o "target/review-2/$name" "review/standins-2/$name.cpp"
done
