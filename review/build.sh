#!/bin/sh
# The stand-ins are Python modules that need the standard library only, so
# there is nothing to build; this checks that they can be imported.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import harness.load'
