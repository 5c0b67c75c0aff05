# Plays a case with three machines of the system, one in each zone. Sourced by the run.sh of a case, which sets `name`.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. KEEP_LOGS names a folder that gets the
# logs of the machines.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
stage=target/review-2/stage
if [ ! -x "$stage" ] || [ ! -x target/auburnyardd ]; then
  echo "build first: the line 'build' of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d)
pids=()
finish() {
  [ -n "${KEEP_LOGS:-}" ] && cp "$work"/log-* "$KEEP_LOGS"/
  [ "${#pids[@]}" -gt 0 ] && kill -KILL "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

mapfile -t ports < <("$stage" ports 16)
zones=(glasgow-east inverness-a galashiels-b)
regions=(lowlands highlands borders)
seeds="\"127.0.0.1:${ports[4]}\", \"127.0.0.1:${ports[9]}\", \"127.0.0.1:${ports[14]}\""
machines=()
for i in 0 1 2; do
  first=$((1 + 5 * i))
  cat >"$work/settings-$i" <<SETTINGS
{
  "host": "front-${zones[$i]}-1",
  "failure_domain": "${zones[$i]}",
  "region": "${regions[$i]}",
  "domain_regions": {"glasgow-east": "lowlands", "inverness-a": "highlands", "galashiels-b": "borders"},
  "cores": 0.25,
  "listen": {
    "callers": "127.0.0.1:${ports[$first]}",
    "readiness": "127.0.0.1:${ports[$((first + 1))]}",
    "peers": "127.0.0.1:${ports[$((first + 2))]}",
    "mirror": "127.0.0.1:${ports[$((first + 3))]}",
    "metrics_port": ${ports[$((first + 4))]}
  },
  "store": {"address": "127.0.0.1:${ports[0]}", "change_limit_ms": 3000, "mirrors": [$seeds]},
  "shutdown_time_s": 6,
  "repeats": {"ratio": 0.2, "burst": 52, "window_s": 10},
  "cold_targets": {"rate_factor": 1.5, "rate_margin": 5}
}
SETTINGS
  target/auburnyardd --relay "$work/settings-$i" >"$work/log-$i" 2>&1 &
  pids+=($!)
  machines+=("${ports[$first]}" "${ports[$((first + 1))]}")
done
timeout 110 "$stage" "$name" "$folder/record.txt" "${ports[0]}" "${machines[@]}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
