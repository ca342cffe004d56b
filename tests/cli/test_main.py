"""The command line: exit codes, outputs, and what it says."""

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
def test_examples_have_no_finding(
    name: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The example fleets pass the check."""
    folder = _EXAMPLES / name
    overlays = map(str, folder.glob('site-*.yaml'))
    words = ['check', str(folder / 'base.yaml'), *overlays, '--output=json']
    assert run(words) == ExitCode.done
    assert json.loads(capsys.readouterr().out)['findings'] == 0


def test_all_findings_end_with_their_own_code(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A script can tell mistakes in settings from other failures."""
    base = tmp_path / 'base.yaml'
    base.write_text('sites: {}\npools: {a: {slots: 0}}\nteams: 3\n')
    assert run(['check', str(base)]) == ExitCode.findings
    shown = capsys.readouterr().err
    assert 'base.yaml:2:20: error: conf.E005' in shown
    assert 'base.yaml:3:8: error: conf.E008' in shown


def test_unreachable_says_how_to_send_again(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Show the command id when the outcome is not known.

    The control processes cannot be reached after a command was sent, and
    whether it was accepted is not known. Without the id the operator can
    only send a second command.
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
def test_usage_is_told_by_code(
    words: list[str],
    code: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A word that makes no sense gets its code and exit code 2."""
    assert run(words) == ExitCode.usage
    assert capsys.readouterr().err.startswith(code)


@example(['\x00'])
@given(st.lists(st.text(max_size=12), max_size=4))
def test_any_words_end_in_an_exit_code(words: list[str]) -> None:
    """No command line ends in a stack trace."""
    assert run(['check', *words]) in set(ExitCode)
