#!/usr/bin/env bash
# Checks the models with Spin. Needs spin and gcc; builds in a temporary directory.
#   check.sh            checks all properties; prints the bounds that were explored
#   check.sh --mutants  leaves out one guard after the other; the checker must find a violation of
#                       the named property, and the trail must be the one that the unit tests replay
#   check.sh --update   as --mutants, but writes the trails and the random walks for the unit tests
# Exit status 1 when a property fails, a mutant survives, or a trail is not the one committed.
set -uo pipefail
models=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
traces=$models/../Source/UnitTests/Ledger/Traces
jobs=${MODEL_JOBS:-4}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Each line: name, model, macros, checker options. A depth that is reached means an incomplete search.
properties="
at-most-once-3-submissions Idempotency -DKEYS=1,-DSUBMISSIONS=3 -DCOLLAPSE
configuration-never-reverts Configuration -DRESTARTS=2 -DCOLLAPSE
at-most-once-2-keys Idempotency -DKEYS=2,-DSUBMISSIONS=2 -DCOLLAPSE
right-to-run RunPermit -DREQUESTS=2,-DATTEMPTS=3 -DCOLLAPSE
"

# Each line: guard, model, property that fails without it, macros.
# Properties of Idempotency: 1 at most once, 2 truthful refusal, 3 no dispatch after the deadline.
# Properties of RunPermit: 1 at most once, 2 truthful refusal.
# Properties of Configuration: 1 configuration never reverts, 2 the first content stays, 3 the last
# good one stays, 4 in force everywhere.
mutants="
WITHOUT_INCARNATION_CHECK Idempotency 1 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_UNKNOWN_AFTER_RESTART Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_OWNER_ONLY Idempotency 1 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_UNKNOWN_WHEN_UNREACHABLE Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_RECORD_BEFORE_DISPATCH Idempotency 1 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_LOST_FOR_GOOD Idempotency 1 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_UNKNOWN_AFTER_CLOSE Idempotency 1 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_NUMBERED_REPORTS Idempotency 1 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_RELEASE_BEFORE_REFUSAL Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_DEADLINE_RECHECK Idempotency 3 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_LIVE_RECORDS_KEPT Idempotency 1 -DKEYS=2,-DSUBMISSIONS=3
WITHOUT_RECORDS_OUTLIVING_KEYS Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_FORGOTTEN_UNKNOWN Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_CLOSE_BEFORE_HANDOVER Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_OPEN_ATTEMPTS_LISTED Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_FORGOTTEN_IN_HANDOVER Idempotency 2 -DKEYS=1,-DSUBMISSIONS=2
WITHOUT_HIGHER_ONLY Configuration 1 -DRESTARTS=1
WITHOUT_HOLD Configuration 1 -DRESTARTS=1
WITHOUT_HEARING_ALL Configuration 1 -DRESTARTS=2,-DNO_CUTS,-DDEEP
WITHOUT_WAITING_FOR_CONTENT Configuration 1 -DRESTARTS=1
WITHOUT_FIRST_CONTENT Configuration 2 -DRESTARTS=1
WITHOUT_VALIDATION Configuration 3 -DRESTARTS=1
WITHOUT_EXCHANGE Configuration 4 -DRESTARTS=1
WITHOUT_PERMIT RunPermit 1 -DREQUESTS=2
WITHOUT_PERMIT_BEFORE_REFUSAL RunPermit 2 -DREQUESTS=2
WITHOUT_UNKNOWN_AFTER_BREAK RunPermit 1 -DREQUESTS=2
WITHOUT_ID_ON_USED_CONNECTION RunPermit 1 -DREQUESTS=2
WITHOUT_NEW_CONNECTION RunPermit 1 -DREQUESTS=2
"

# build DIRECTORY MODEL MACROS COMPILER-OPTIONS: makes DIRECTORY/pan.
build() {
    mkdir -p "$1"
    cp "$models/$2.pml" "$1/"
    (cd "$1" && spin ${3//,/ } -a "$2.pml" >spin.log 2>&1 \
        && gcc -O2 -w -DSAFETY -DMEMLIM=8000 $4 -o pan pan.c) || { cat "$1/spin.log"; return 1; }
}

# figure NAME FILE: a figure of the checker's report.
figure() {
    case $1 in
    states) sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$2" ;;
    depth) sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' "$2" ;;
    errors) sed -n 's/.*errors: \([0-9]*\)$/\1/p' "$2" ;;
    esac
}

check_property() {
    local name=$1 model=$2 macros=$3 options=$4
    local directory=$work/$name
    build "$directory" "$model" "$macros" "$options" || return 1
    (cd "$directory" && ./pan -E -m100000 >report 2>&1)
    local report=$directory/report
    if [ "$(figure errors "$report")" != 0 ] || grep -q -e 'max search depth too small' \
            -e 'out of memory' -e 'Search not completed' "$report"; then
        echo "FAILED $name ($macros)"
        grep -m 1 -E 'assertion|depth too small|out of memory|not completed' "$report"
        (cd "$directory" && spin ${macros//,/ } -t -T "$model.pml" | sed -n 's/.*trace: /    /p')
        return 1
    fi
    echo "holds  $name ($macros): $(figure states "$report") states, depth $(figure depth "$report")," \
        "search complete"
}

# The search is by breadth, so that the trail is the shortest and always the same; by depth (-DDEEP)
# where breadth needs more than the 8 GB that a search may use.
check_mutant() {
    local guard=$1 model=$2 property=$3 macros="$4,-D$1,-DPROPERTY=$3"
    local directory=$work/$guard
    local search=-DBFS
    [[ $macros == *-DDEEP* ]] && search=-DCOLLAPSE
    build "$directory" "$model" "$macros" "$search" || return 1
    (cd "$directory" && ./pan -E -m400 >report 2>&1)
    if [ "$(figure errors "$directory/report")" != 1 ]; then
        echo "SURVIVED $guard: no violation of property $property found"
        return 1
    fi
    (cd "$directory" && spin ${macros//,/ } -t -T "$model.pml" | sed -n 's/.*trace: //p' >trail)
    echo "found  $guard: property $property violated in $(wc -l <"$directory/trail") steps"
    sed 's/^/    /' "$directory/trail"
    [ "$model" = Idempotency ] || return 0
    if [ "${update:-}" = yes ]; then
        cp "$directory/trail" "$traces/$guard.txt"
    elif ! cmp -s "$directory/trail" "$traces/$guard.txt"; then
        echo "CHANGED $guard: the trail is not the one in Traces/$guard.txt; see --update"
        return 1
    fi
}

# Random walks of the whole model, which the C++ state machine must follow word for word.
write_walks() {
    local directory=$work/walks
    mkdir -p "$directory"
    cp "$models/Idempotency.pml" "$directory/"
    export directory
    seq 1 "${MODEL_WALKS:-80}" | xargs -P "$jobs" -I SEED bash -c 'cd "$directory" && \
        spin -DKEYS=2 -DSUBMISSIONS=6 -DWALK -T -nSEED -u4000 Idempotency.pml \
        | sed -n "s/.*trace: //p" >walk.SEED'
    for walk in $(ls "$directory"/walk.* | sort -V); do
        cat "$walk"
        echo
    done >"$traces/walks.txt"
}

# run_all FUNCTION LIST: one call a line, several at once; fails when one of them does.
run_all() {
    export -f build figure check_property check_mutant
    export models traces work update
    printf '%s\n' "$2" | grep . | tr ' ' '\n' | xargs -d '\n' -n 4 -P "$jobs" \
        bash -c "$1"' "$@"' "$1"
}

update=
case ${1:-} in
'') run_all check_property "$properties" ;;
--mutants) run_all check_mutant "$mutants" ;;
--update)
    update=yes
    mkdir -p "$traces"
    write_walks
    run_all check_mutant "$mutants"
    ;;
*)
    echo "usage: check.sh [--mutants | --update]" >&2
    exit 2
    ;;
esac
