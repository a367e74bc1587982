#!/usr/bin/env bash
# Plays one case: `play.sh CASE FOLDER`. All processes that it starts are in one process group, which it ends.
set -u -m
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/cyclamenwharf ] || [ ! -x target/review/standins ]; then
  echo "not built: run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
target/review/standins "$1" "$2/record.txt" &
group=$!
end_group() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "${TMPDIR:-/tmp}/review-standins-$group"
}
trap end_group EXIT
trap 'exit 2' INT TERM
wait "$group"
