#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../harness/run.sh" lasting "$folder"
