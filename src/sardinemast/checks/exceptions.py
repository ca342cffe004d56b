"""Exceptions that report findings."""

from collections.abc import Sequence

from sardinemast.checks._findings import Finding, format_finding
from sardinemast.exceptions import CodedError


class CheckError(CodedError):
    """Report all findings of the settings files at once."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        lines = '\n'.join(format_finding(finding) for finding in findings)
        super().__init__('conf.E001', f'The settings are invalid.\n{lines}')
        self.findings = tuple(findings)
