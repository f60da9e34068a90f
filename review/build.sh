#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review. Needs only the C++ compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    name=$(basename "$source" .cpp | tr _ -)
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
