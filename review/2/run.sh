#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../harness/run.sh" dropped "$folder" "${TROUBLE:-1}"
