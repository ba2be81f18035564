#!/usr/bin/env bash
# No aggregate and no closure that owns something is made inside a co_await expression: g++ 12 destroys it twice, which
# ends the process with "free(): invalid pointer", often only on a seldom taken way. Give it a name before.
# Nor does a co_await stand behind && or ||: what the operands before it make and what the others make is destroyed
# together, made or not, which ends the process with SIGILL or SIGSEGV. Take it into a statement of its own.
set -euo pipefail
cd "$(dirname "$0")/../.."

git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'benchmarks/*.cpp' | xargs perl -0777 -ne '
    s{//[^\n]*}{}g;
    # Up to the end of the statement, or to the body of a closure or a loop.
    while (/\bco_await\b((?:(?<!->\s)\b(?:[A-Z]\w*|std::\w+)(?:<[^;{}]*>)?\s?(\{(?:[^{}]++|(?2))*\})|[^;{}])*)/g) {
        my ($text, $line) = ($1, 1 + (substr($_, 0, $-[0]) =~ tr/\n//));
        my $isAggregate = $text =~ /\{/;
        my $owns = 0;
        while ($text =~ /[(,]\s*\[([^\]]*)\]/g) {
            $owns ||= grep { !/^\s*(this|&\s*\w*)\s*$/ } split /,/, $1;
        }
        if ($isAggregate || $owns) {
            print "$ARGV:$line: co_await$text\n";
            $failed = 1;
        }
    }
    while (/(?:&&|\|\|)[^;{}]*\bco_await\b/g) {
        my $line = 1 + (substr($_, 0, $-[0]) =~ tr/\n//);
        print "$ARGV:$line: co_await behind && or ||\n";
        $failed = 1;
    }
    END { exit($failed ? 1 : 0) }' || {
    echo "coawait: name these, or take them apart" >&2
    exit 1
}
echo "coawait: clean"
