"""Base of all errors that carry a code."""


class CodedError(Exception):
    """Name what went wrong by a stable code, and say what to do.

    The code has the form ``package.E000`` and is listed in the reference.
    """

    def __init__(self, code: str, text: str, hint: str = '') -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.hint = hint

    def __str__(self) -> str:
        """Give the one line that a person reads."""
        line = f'{self.code}: {self.text}'
        if self.hint:
            return f'{line} {self.hint}'
        return line
