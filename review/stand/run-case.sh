# Sourced by each case's run.sh, with `case_folder` set. Runs the case's program for at most 120 s
# and ends every process that it started. Exit code: 1 the rule was broken, 0 it held, 2 the case
# could not run. TROUBLE=0: the same without the disruption.
root=$(cd "$case_folder/../.." && pwd)
number=$(basename "$case_folder")
work=$(mktemp -d) || exit 2
end_all() {
  if [ -f "$work/pids" ]; then
    while read -r pid name; do
      # Only a process that still runs with a settings file of this folder.
      if [ -r "/proc/$pid/cmdline" ] &&
        tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q "$work/$name.toml"; then
        kill -9 "$pid" 2>/dev/null
      fi
    done <"$work/pids"
  fi
  rm -rf "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM
program=$root/target/review-cases/case-$number
if [ ! -x "$program" ] || [ ! -x "$root/target/reachramp" ]; then
  echo "build first: the build of deploy/service.toml, then review/build.sh"
  exit 2
fi
timeout -s KILL 118 "$program" "$root/target/reachramp" "$work" "$case_folder/record.txt" \
  "${TROUBLE:-1}"
result=$?
[ "${KEEP_LOGS:-}" = "" ] || cp "$work"/*.log "$KEEP_LOGS"/
case $result in 0 | 1 | 2) exit $result ;; *) exit 2 ;; esac
