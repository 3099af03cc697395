#!/usr/bin/env bash
# The scripts start only target/gentiandeal; their stand-ins are Python.
set -eu
python3 -m py_compile "$(dirname "$0")/standins.py"
