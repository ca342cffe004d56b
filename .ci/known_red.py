"""Succeed if each failed test in a log is in KNOWN-RED.txt with its text."""

import re
import sys
from pathlib import Path

_KNOWN = Path(__file__).parents[1] / 'KNOWN-RED.txt'


def main(log_path: str) -> None:
    """Print the known failures of a log, or exit with 1 if one is not known."""
    log = Path(log_path).read_text(errors='replace')
    entries = [line.split(' | ') for line in _KNOWN.read_text().splitlines()]
    texts = {entry[0]: entry[1] for entry in entries}
    failed = re.findall(r'^FAILED (\S+)', log, re.MULTILINE)
    is_known = failed and all(texts.get(one, '\0') in log for one in failed)
    if not is_known or re.search(r'^ERROR ', log, re.MULTILINE):
        sys.exit(1)
    print('Known failures, see KNOWN-RED.txt:', *failed, sep='\n')


main(sys.argv[1])
