"""Rendezvous hashing: assigns subjects to names without coordination."""

import hashlib
from collections.abc import Iterable

__all__ = ['choose_owners']


def choose_owners(subject: str, names: Iterable[str], count: int) -> list[str]:
    """Choose the names responsible for a subject.

    Every instance that knows the same names chooses the same owners, and a
    name that is added or removed moves only the subjects that it owns.

    Parameters
    ----------
    subject
        Thing to be owned, such as an endpoint's name.
    names
        Candidates.
    count
        Number of owners wanted.

    Returns
    -------
    list of str
        At most ``count`` names, the first owner first.
    """

    def score(name: str) -> bytes:  # noqa: WPS430  closure over the subject
        return hashlib.blake2b(
            f'{subject}|{name}'.encode(),
            digest_size=8,
        ).digest()

    return sorted(names, key=score, reverse=True)[:count]
