#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which are Python modules of this folder.
set -e
cd "$(dirname "$0")"
python3.11 -m compileall -q rig_2 6 7 8 9 10
