#!/bin/bash
# Builds what the scripts of this review need: their stand-ins are plain Python files
# that use the standard library alone, so nothing is compiled or fetched.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common2
