"""Errors in settings files and in operators' files."""

import attrs

__all__ = ['Problem']


@attrs.frozen
class Problem:
    """An error in a file, with its position."""

    source: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Format like a compiler error: file, line, path, message."""
        return f'{self.source}:{self.line}: {self.path}: {self.message}'
