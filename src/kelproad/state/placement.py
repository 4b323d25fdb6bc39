"""Rendezvous hashing: who is responsible for what, without agreement."""

import hashlib
from collections.abc import Iterable

__all__ = ['choose_owners']


def choose_owners(subject: str, names: Iterable[str], count: int) -> list[str]:
    """Choose the names responsible for a subject.

    Every instance that knows the same names chooses the same owners, and a
    name that comes or goes moves only the subjects it owns.

    Parameters
    ----------
    subject
        What is to be owned, such as an endpoint's name.
    names
        Candidates.
    count
        Number of owners wanted.

    Returns
    -------
    list of str
        At most ``count`` names, the first owner first.
    """

    def weigh(name: str) -> bytes:  # noqa: WPS430  closure over the subject
        return hashlib.blake2b(
            f'{subject}|{name}'.encode(),
            digest_size=8,
        ).digest()

    return sorted(names, key=weigh, reverse=True)[:count]
