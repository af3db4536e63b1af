#!/bin/bash
# Every name that users meet stands in its page, and every link leads to a
# file. Usage: check_pages.sh
set -u
cd "$(dirname "$0")/../.." || exit 1
# A file, since most checks run in a subshell of their own.
found_missing=$(mktemp)
trap 'rm -f "$found_missing"' EXIT

missing() {
	echo "MISSING: $1" >>"$found_missing"
}

# in_page PAGE WHAT: each word of standard input stands in the page as `word`.
in_page() {
	count=0
	while IFS= read -r word; do
		count=$((count + 1))
		grep -qF -- "\`$word\`" "$1" || missing "$1: $2 \`$word\`"
	done
	[ "$count" -gt 0 ] || missing "no $2 was found to look for"
}

sed -nE 's/^#define QL_HEADER_[A-Z_]+ "(.*)"/\1/p' \
	include/quetzalloft/metadata.h | in_page docs/INTERFACE.md header
sed -nE 's/^\t\[QL_(OUTCOME|REASON)_[A-Z_]+\] = "(.*)",/\2/p' \
	src/util/types.c | in_page docs/INTERFACE.md "outcome or reason"
sed -n '/error_names\[\]/,/};/p' src/util/error.c | grep -oE '"[a-z_]+"' |
	tr -d '"' | in_page docs/INTERFACE.md error
sed -nE 's/^\t\[QL_COUNT_[A-Z_]+\] = \{"([a-z_]+)".*/quetzalloft_\1_total/p' \
	src/util/counters.c | in_page docs/INTERFACE.md counter
sed -nE 's/^\t\[QL_LATENCY_[A-Z_]+\] = \{"([a-z_]+)".*/quetzalloft_\1_seconds/p' \
	src/util/counters.c | in_page docs/INTERFACE.md latency
sed -nE 's/^\t\[QL_GAUGE_[A-Z_]+\] = \{"([a-z_]+)".*/quetzalloft_\1/p' \
	src/util/counters.c | in_page docs/INTERFACE.md gauge
{
	grep -oE 'QL_MEMBER_[A-Z]+\(ql_settings_t, [a-z_]+' \
		src/node/settings.c | sed 's/.* //'
	grep -oE '\{"[a-z_]+", settings->' src/node/settings.c |
		sed -E 's/.*"([a-z_]+)".*/\1/'
} | in_page docs/OPERATORS.md setting
grep -rhoE 'ql_log(_error)?\([A-Z_]+,[[:space:]]*"[a-z_]+"' src |
	grep -oE '"[a-z_]+"' | tr -d '"' | sort -u |
	in_page docs/OPERATORS.md "log event"
sed -nE 's/^\t\{"([a-z ]+)", "?.*/\1/p' src/cli/main.c |
	while IFS= read -r command; do
		grep -qE "^\.(B|BR|BI) \"?$command" man/quetzalloft.1 ||
			missing "man/quetzalloft.1: command $command"
	done
# What the glossary says of the code is there.
grep -oE '`(ql|QL)_[A-Za-z_]+' docs/GLOSSARY.md | tr -d '`' | sort -u |
	while IFS= read -r name; do
		grep -rqw -- "$name" include src ||
			missing "docs/GLOSSARY.md: no $name in the code"
	done
grep -oE '`(src|include)/[a-z_/.]+`' docs/GLOSSARY.md | tr -d '`' |
	while IFS= read -r name; do
		[ -e "$name" ] || missing "docs/GLOSSARY.md: $name"
	done
for page in docs/design/*.md; do
	grep -qF "(design/${page##*/})" docs/DESIGN.md ||
		missing "docs/DESIGN.md: link to $page"
done
for page in README.md CONTRIBUTING.md docs/*.md docs/design/*.md; do
	for link in $(grep -oE '\]\([^)#:]+' "$page" | sed 's/](//'); do
		[ -e "$(dirname "$page")/$link" ] || missing "$page: $link"
	done
done
cat "$found_missing" >&2
[ ! -s "$found_missing" ]
