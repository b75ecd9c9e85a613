# Starts and stops the programs of a measurement; sourced by the scripts beside it.
bin=target/release
folder=$(mktemp -d)
started=()
finish() {
    for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap finish EXIT
launch() { # name, program and arguments
    local name=$1
    shift
    "$@" >"$folder/$name.out" 2>"$folder/$name.err" &
    started+=($!)
    until grep -q listening "$folder/$name.out"; do sleep 0.05; done
}
address() { sed -n "s/.*\b$2=\([0-9.:]*\).*/\1/p" "$folder/$1.out"; }
