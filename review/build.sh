#!/usr/bin/env bash
# Compiles the stand-ins of the scripts; they need only Python's standard library.
cd "$(dirname "$0")/.." && exec python3.11 -m compileall -q review
