"""Define the base class of exceptions with an error code."""


class CodedError(Exception):
    """Report an error with a stable code, a message and an optional hint.

    Codes have the form ``package.E000`` and are listed in the reference.
    """

    def __init__(self, code: str, text: str, hint: str = '') -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.hint = hint

    def __str__(self) -> str:
        """Return the code, the message and any hint on one line."""
        line = f'{self.code}: {self.text}'
        if self.hint:
            return f'{line} {self.hint}'
        return line
