#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the nodes. All
# stand-ins are in review/harness_2 and need only Python's standard library.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c 'import review.harness_2.cases, review.harness_2.clients'
