# Sourced by the launchers: builds the workspace when a source is newer than the given program.
newer_sources() {
  find "$root" -maxdepth 2 -name pom.xml -newer "$1" -print -quit
  find "$root"/jaywick-*/src/main "$root"/jaywick-*/src/generated "$root"/examples -type f -newer "$1" -print -quit \
    2>/dev/null || true
}
build_when_newer() {
  if [ ! -e "$1" ] || [ -n "$(newer_sources "$1")" ]; then
    echo "building jaywick ..." >&2
    (cd "$root" && mvn -B -q -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip package) >&2
  fi
}
