"""What is wrong in a document of settings or of operators."""

import attrs

__all__ = ['Problem']


@attrs.frozen
class Problem:
    """One thing that is wrong in a document."""

    source: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Format as compilers do: file, line, path, message."""
        return f'{self.source}:{self.line}: {self.path}: {self.message}'
