"""Exit codes, output and error messages of the command line."""

import json
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sardinemast.cli import run
from sardinemast.cli.exceptions import ExitCode

_NOBODY = '--controls=127.0.0.1:1'
_EXAMPLES = Path(__file__).parents[2] / 'examples'


@pytest.mark.parametrize('name', ['kerlann', 'atlas', 'local'])
def test_examples_have_no_findings(
    name: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guard against invalid settings in the examples."""
    folder = _EXAMPLES / name
    overlays = map(str, folder.glob('site-*.yaml'))
    words = ['check', str(folder / 'base.yaml'), *overlays, '--output=json']
    assert run(words) == ExitCode.done
    assert json.loads(capsys.readouterr().out)['findings'] == 0


def test_findings_are_reported_with_own_exit_code(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Report all findings, with an exit code that scripts can check."""
    base = tmp_path / 'base.yaml'
    base.write_text('sites: {}\npools: {a: {slots: 0}}\nteams: 3\n')
    assert run(['check', str(base)]) == ExitCode.findings
    shown = capsys.readouterr().err
    assert 'base.yaml:2:20: error: conf.E005' in shown
    assert 'base.yaml:3:8: error: conf.E008' in shown


def test_unknown_outcome_shows_command_id(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Show the command id if the outcome is unknown.

    Guards against a retry with a new id, which may execute a command twice.
    """
    words = ['withdraw-key', 'k1', '--command_id=c7', _NOBODY]
    assert run(words) == ExitCode.unknown
    assert '--command_id=c7' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('words', 'code'),
    [
        (['show', '--output=xml'], 'cli.E004'),
        (['show', '--controls=nowhere'], 'cli.E003'),
        (['timeline', '127.0.0.1:1', '--since=noon'], 'cli.E007'),
        (['timeline', '127.0.0.1:1', '--matching=noon'], 'cli.E006'),
    ],
)
def test_invalid_argument_has_error_code(
    words: list[str],
    code: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Report an invalid argument with its code and the usage exit code."""
    assert run(words) == ExitCode.usage
    assert capsys.readouterr().err.startswith(code)


@example(['\x00'])
@given(st.lists(st.text(max_size=12), max_size=4))
def test_arbitrary_arguments_end_with_exit_code(words: list[str]) -> None:
    """Guard against command lines that end in a stack trace."""
    assert run(['check', *words]) in set(ExitCode)
