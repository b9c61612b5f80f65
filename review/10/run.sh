#!/bin/sh
here=$(dirname "$0")
exec "$here/../stand-ins-2/run.sh" lost-answer "$here"
