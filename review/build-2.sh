# Builds what the scripts of review/6 to review/10 start besides the daemons, which deploy/build.sh
# builds. The stand-ins are Python modules that use only the standard library, so building them is
# compiling them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand-ins-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -d "$case" ] || continue
    python3 -m compileall -q "$case"
done
