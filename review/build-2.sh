#!/bin/bash
# Builds the programs of the second review's cases: clients, servers and the platform's store. Run it after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review-2/$n" "./review/$n"
  fi
done
