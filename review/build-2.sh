#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start; run it after the build of the deploy
# file. They are plain Python and use only the libraries in target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:. python3 -c "import review.harness_2.shared_worker" || exit 1
exec python3 -m compileall -q soak tests/ports.py review/harness_2 review/6 review/7 review/8 review/9 review/10
