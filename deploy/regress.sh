#!/usr/bin/env bash
# Runs the regression set on the provider's bench and compares each day with the last accepted table.
#
#   deploy/regress.sh KIT [--bench PROGRAM] [--all] [--site PATH]... [--jobs N] [--why TEXT] [--accept]
#
# KIT is the folder with the provider's site files. --bench names the bench program; the default is
# KIT/bin/fleetbench. --all adds the two oldest sites. --site runs only the sites named; PATH is relative to KIT
# and has no .toml suffix. --accept replaces the rows of the sites run in the table, if nothing failed. The
# exit code is 1 if a rule is broken, a gate fails, a day is missing or its worth fell by more than 0.03, and 2
# for wrong usage. Days that the bench draws at random for each run are checked against the rules only.
set -u
cd "$(dirname "$0")/.."
table=deploy/regress.tsv
usage() { sed -n '4p' deploy/regress.sh; exit 2; }

[ $# -ge 1 ] || usage
kit=$1
shift
bench=$kit/bin/fleetbench jobs=4 why="regression set" all="" accept="" sites=""
while [ $# -gt 0 ]; do
	case $1 in
	--bench) bench=${2-} && shift ;;
	--jobs) jobs=${2-} && shift ;;
	--why) why=${2-} && shift ;;
	--site) sites="$sites ${2-}" && shift ;;
	--all) all=yes ;;
	--accept) accept=yes ;;
	*) usage ;;
	esac
	shift
done
[ -x "$bench" ] || { echo "no program at $bench" >&2; exit 2; }

[ -n "$sites" ] || sites="further/kitamura-sapporo further-grown/kitamura-sapporo-grown grown/sawt-muscat-grown
	grown/barrilete-edge-grown shifted/sawt-muscat-now-grown large/sawt-muscat-large
	demands/filcon-bal-grown demands/esteira-sul-grown"
[ -z "$all" ] || sites="$sites sites/sawt-muscat sites/barrilete-edge"

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# days prints the site, day, worth and served share of each day in a report.
days() {
	awk -v site="$1" '$2 ~ /^[0-9]+\/[0-9]+$/ && $4 ~ /^[0-9.]+$/ { print site "\t" $1 "\t" $4 "\t" $5 }' "$2"
}

# broken succeeds if a report names a broken rule or a fault, and prints the first of those lines.
broken() {
	grep -E '^(CONFIG|FLOW|DRAIN|ROUTE|MIXED|UNASKED|RECOVER|EVAC|HOME|FAILBACK)|BROKEN|breaks|fault:|given up' "$1" | head -5 | grep .
}

for path in $sites; do
	site=$(basename "$path")
	began=$SECONDS
	"$bench" score "$kit/$path.toml" --jobs "$jobs" --why "$why" >"$work/$site" 2>&1
	echo "== $site, $((SECONDS - began)) s"
	if broken "$work/$site" || ! grep -q '^GATE passed' "$work/$site"; then
		failed=1
		grep -E '^GATE|^fleetbench:' "$work/$site" || echo "no verdict"
	fi
	days "$site" "$work/$site" >"$work/days"
	grep -v $'\tfresh-' "$work/days" >>"$work/table"
	# awk reads the accepted table first, so that it can report days that are missing now, which is a failure.
	awk -F'\t' -v site="$site" -v most=0.03 '
		FNR == NR { if ($1 == site) { worth[$2] = $3; served[$2] = $4; left[$2] = 1 }; next }
		!($2 in worth) { printf "%-12s worth %.3f             served %.3f\n", $2, $3, $4; next }
		{
			delete left[$2]
			fell = worth[$2] - $3 > most + 1e-9
			printf "%-12s worth %.3f (%+.3f)  served %.3f (%+.3f)%s\n", $2, $3, $3 - worth[$2], $4, $4 - served[$2], fell ? "  FELL" : ""
			if (fell) bad = 1
		}
		END { for (day in left) { print day, "MISSING"; bad = 1 }; exit bad }
	' "$([ -f $table ] && echo $table || echo /dev/null)" "$work/days" || failed=1
done
if [ -n "$accept" ] && [ $failed = 0 ]; then
	touch $table
	awk -F'\t' 'FNR == NR { played[$1] = 1; next } !($1 in played)' "$work/table" $table >"$work/others"
	sort "$work/table" "$work/others" >$table
	echo "written: $table"
fi
exit $failed
