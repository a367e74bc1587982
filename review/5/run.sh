#!/usr/bin/env bash
# Plays the case against the program that the deploy file builds. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../play.sh" take-up "$(cd "$(dirname "$0")" && pwd)"
