#!/usr/bin/env bash
# Builds the stand-ins of all cases with the installed compiler: the standard library alone, no packages.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for case in [0-9]*/; do
  case=${case%/}
  rustc --edition 2024 -O -o "target/case$case" "$case/main.rs"
done
