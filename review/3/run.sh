#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disturbance out.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
