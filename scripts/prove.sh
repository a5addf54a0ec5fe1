#!/usr/bin/env bash
# For each patch in proofs/ (or those named): applies it to a scratch copy, which
# switches one mechanism off, and wants the named test to fail there and to pass
# in the project itself. A patch's first line names package and test.
set -u
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
patches=("$@")
[ "${#patches[@]}" -gt 0 ] || patches=(proofs/*.patch)
proved=0
unproved=0
declare -A passes
for patch in "${patches[@]}"; do
  patch=${patch#proofs/}
  name=${patch%.patch}
  read -r _ package test <"proofs/$name.patch"
  if [ -z "${passes[$package $test]:-}" ]; then
    go test -count=1 -run "$test" "$package" >"$scratch/on.log" 2>&1 && passes[$package $test]=yes || passes[$package $test]=no
  fi
  rm -rf "$scratch/tree" && mkdir "$scratch/tree"
  git ls-files -co --exclude-standard | tar cf - -T - | tar xf - -C "$scratch/tree"
  off=passes
  seen=""
  if ! (cd "$scratch/tree" && git apply --unsafe-paths --directory="" "$root/proofs/$name.patch") 2>"$scratch/apply.log"; then
    off="patch doesn't apply"
  elif ! (cd "$scratch/tree" && go vet "$package" && go build ./...) >"$scratch/off.log" 2>&1; then
    off="patched tree doesn't build"
  elif ! (cd "$scratch/tree" && go test -count=1 -run "$test" "$package" -timeout 5m) >"$scratch/off.log" 2>&1; then
    off=fails
    seen=$(grep -vE '\[rapid\] draw|^---|^ *(To reproduce|Failed test)|^FAIL|^ok' "$scratch/off.log" | sed 's/^ *//' | head -1 | cut -c1-180)
  fi
  printf '%-24s off: %-8s on: %-4s %s\n' "$name" "$off" "${passes[$package $test]}" "$seen"
  if [ "$off" = fails ] && [ "${passes[$package $test]}" = yes ]; then proved=$((proved + 1)); else unproved=$((unproved + 1)); fi
done
echo "$proved passed, $unproved failed"
[ "$unproved" -eq 0 ]
