#!/usr/bin/env bash
# Builds the scripts' programs, which contain the stand-ins of clients, servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[0-9]/main.go; do
  [ -f "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  go build -o "review/bin/case$n" "./review/$n"
done
