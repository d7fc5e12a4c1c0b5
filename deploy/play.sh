#!/usr/bin/env bash
# Runs this project's sites and days (test scenarios) on the provider's bench, and prints a line for each day.
#
#   deploy/play.sh KIT sites [JOBS]        runs every site in deploy/sites, with all its days
#   deploy/play.sh KIT days SITE [JOBS]    runs every day in deploy/days, on a site of the kit
#   deploy/play.sh KIT all                 runs the sites, and the days on both sites of the kit
#
# KIT is the folder with bin/fleetbench and sites/. BENCH, if set, is the bench program to use instead.
# The exit code is 1 if a rule was broken or a day could not be run, and 2 for wrong usage.
# Commit the journal entries that the bench writes.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.."
[ $# -ge 2 ] || { sed -n '2,10p' "$here/play.sh"; exit 2; }
kit=$1 what=$2
if [ "$what" = all ]; then
	all=0
	"$here/play.sh" "$kit" sites || all=1
	for site in sawt-muscat barrilete-edge; do "$here/play.sh" "$kit" days "$site" || all=1; done
	exit $all
fi
bench=${BENCH:-$kit/bin/fleetbench}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# show prints the line of each day in a report. If the report has no such line, or names a broken rule or a fault,
# it sets failed and prints the first of those lines.
show() {
	# A day can't be run on a site that doesn't allow its kind of trouble. This is not a failure.
	if grep -q 'is not open$' "$1"; then
		grep 'is not open$' "$1"
		return
	fi
	grep -E ' [0-9]+/[0-9]+ +[0-9]' "$1" | cut -c1-110
	if ! grep -qE ' [0-9]+/[0-9]+ +[0-9]' "$1" || grep -qE '^(CONFIG|FLOW|DRAIN|ROUTE|MIXED|UNASKED|RECOVER|EVAC|HOME|FAILBACK)|BROKEN|breaks|fault:' "$1"; then
		failed=1
		grep -E '^(CONFIG|FLOW|DRAIN|ROUTE|MIXED|UNASKED|RECOVER|EVAC|HOME|FAILBACK)|BROKEN|breaks|fault:|fleetbench:' "$1" | head -5
	fi
}

case $what in
sites)
	# A site file refers to wire.json in its own folder, so the kit's copy is put there.
	wire=$kit/shifted/wire.json
	[ -f "$wire" ] || wire=$kit/sites/wire.json
	cp "$wire" deploy/sites/*.toml "$work/"
	for site in "$work"/*.toml; do
		echo "== $(basename "$site" .toml)"
		"$bench" score "$site" --jobs "${3:-4}" --why "sites of our own" >"$work/out" 2>&1
		show "$work/out"
		grep -E '^GATE' "$work/out" || failed=1
	done
	;;
days)
	for day in deploy/days/*.toml; do
		echo "-- $(basename "$day" .toml)"
		"$bench" run "$kit/sites/$3.toml" "$day" --jobs "${4:-4}" --why "days of our own" >"$work/out" 2>&1
		show "$work/out"
	done
	;;
esac
exit $failed
