"""Which endpoint computed which prompt prefixes, by this instance's history."""

import collections
import hashlib

import attrs

__all__ = ['PrefixHistory', 'digest_prefix']

#: Lengths, in tokens, of the prefixes that are told apart.
_LENGTHS = (1024, 2048, 4096, 8192, 16_384, 32_768, 65_536)
_DIGEST_BYTES = 8
#: Prefixes remembered; the least recently used are forgotten first.
_REMEMBERED = 20_000
#: Endpoints remembered for one prefix.
_ENDPOINTS_EACH = 3


@attrs.frozen
class _Evidence:
    """That an endpoint computed a prefix, and how much it did before."""

    incarnation: str
    computed_tokens: int


def digest_prefix(
    prompt: memoryview,
    bytes_per_token: float,
) -> tuple[bytes, ...]:
    """Digest the beginnings of a prompt, each twice as long as the last.

    No copy of the prompt is made, and at most 65,536 tokens are read.
    """
    running = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digests = []
    start = 0
    for length in _LENGTHS:
        end = round(length * bytes_per_token)
        if end > prompt.nbytes:
            break
        running.update(prompt[start:end])
        digests.append(running.digest())
        start = end
    return tuple(digests)


class PrefixHistory:
    """Bounded memory of prefixes and the endpoints that computed them."""

    def __init__(self) -> None:
        """Start with no history."""
        self._endpoints: collections.OrderedDict[
            bytes,
            dict[str, _Evidence],
        ] = collections.OrderedDict()

    def remember(
        self,
        digests: tuple[bytes, ...],
        endpoint: str,
        incarnation: str,
        computed_tokens: int,
    ) -> None:
        """Note that an endpoint has computed the prefixes of a prompt."""
        evidence = _Evidence(incarnation, computed_tokens)
        for digest in digests:
            known = self._endpoints.setdefault(digest, {})
            known.pop(endpoint, None)
            known[endpoint] = evidence
            if len(known) > _ENDPOINTS_EACH:
                known.pop(next(iter(known)))
            self._endpoints.move_to_end(digest)
        while len(self._endpoints) > _REMEMBERED:
            self._endpoints.popitem(last=False)

    def list_endpoints(self, digests: tuple[bytes, ...]) -> list[str]:
        """List the endpoints that computed a prompt's longest known prefix."""
        for digest in reversed(digests):
            known = self._endpoints.get(digest)
            if known is not None:
                return list(known)
        return []

    def count_cached(
        self,
        digests: tuple[bytes, ...],
        endpoint: str,
        incarnation: str,
        oldest: int,
    ) -> int:
        """Count the tokens of a prompt that an endpoint should still hold.

        Parameters
        ----------
        incarnation
            The engine's present life; a restart empties its cache.
        oldest
            Value of the endpoint's count of computed tokens before which
            everything is taken for evicted.
        """
        held = 0
        for digest, length in zip(digests, _LENGTHS, strict=False):
            evidence = self._endpoints.get(digest, {}).get(endpoint)
            if evidence is None or evidence.incarnation != incarnation:
                continue
            if evidence.computed_tokens >= oldest:
                held = length
        return held
