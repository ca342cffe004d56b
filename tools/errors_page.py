"""Generate docs/reference/errors.md from the error codes in the source."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

_ROOT = Path(__file__).parents[1]
_CODE_PATTERN = re.compile(r'[a-z]+\.E\d{3}')
_PAGE_HEADER = """# Error codes

Written by `make reference` from the source. A refusal to a caller also tells
the outcome: "not run" or "unknown".

| code | text |
|---|---|
"""


class _ErrorText(NamedTuple):
    code: str
    text: str


def main() -> None:
    """Write the page."""
    texts_by_code: dict[str, set[str]] = {}
    for path in sorted((_ROOT / 'src').rglob('*.py')):
        for error_text in _find_codes(ast.parse(path.read_text())):
            texts_by_code.setdefault(error_text.code, set()).add(
                error_text.text
            )
    rows = (
        f'| `{code}` | {" / ".join(sorted(texts - {""}))} |\n'
        for code, texts in sorted(texts_by_code.items())
    )
    page = _ROOT / 'docs' / 'reference' / 'errors.md'
    page.write_text(f'{_PAGE_HEADER}{"".join(rows)}')


def _find_codes(tree: ast.AST) -> Iterator[_ErrorText]:
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            yield from _read_call(node)
        elif isinstance(node, ast.Constant) and _is_code(node):
            yield _ErrorText(str(node.value), '')


def _read_call(call: ast.Call) -> Iterator[_ErrorText]:
    for index, argument in enumerate(call.args):
        if isinstance(argument, ast.Constant) and _is_code(argument):
            texts = map(_read_text, call.args[index + 1 :])
            yield _ErrorText(
                str(argument.value),
                next(filter(None, texts), ''),
            )


def _is_code(constant: ast.Constant) -> bool:
    return isinstance(constant.value, str) and bool(
        _CODE_PATTERN.fullmatch(constant.value),
    )


def _read_text(argument: ast.expr) -> str:
    if isinstance(argument, ast.Constant):
        return argument.value if isinstance(argument.value, str) else ''
    if isinstance(argument, ast.JoinedStr):
        return ''.join(map(_format_part, argument.values))
    return ''


def _format_part(part: ast.expr) -> str:
    if isinstance(part, ast.Constant):
        return str(part.value)
    if isinstance(part, ast.FormattedValue):
        return f'*{ast.unparse(part.value)}*'
    return ''


main()
