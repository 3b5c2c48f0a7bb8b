#!/bin/sh
# Build the stand-ins of the scripts in review/11 to review/15. They are Python modules of
# this repository that use the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "build the deploy file first" >&2; exit 1; }
PYTHONPATH="target/deps:." exec python3 -c "import review.harness_3.scene"
