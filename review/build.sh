#!/usr/bin/env bash
# Builds the stand-ins of the review: they are Python and need its standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -m compileall -q standins [0-9]
