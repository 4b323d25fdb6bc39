"""Endpoints that computed each prompt prefix, by this instance's requests."""

import collections
import hashlib

import attrs

__all__ = ['PrefixHistory', 'digest_prefix']

#: Lengths, in tokens, of the prefixes that are digested.
_LENGTHS = (1024, 2048, 4096, 8192, 16_384, 32_768, 65_536)
_DIGEST_BYTES = 8
#: Maximum number of prefixes; the least recently used are dropped first.
_MAX_PREFIXES = 20_000
#: Maximum number of endpoints for one prefix.
_MAX_ENDPOINTS = 3


@attrs.frozen
class _Evidence:
    """The endpoint's count of computed tokens when it computed a prefix."""

    incarnation: str
    computed_tokens: int


def digest_prefix(
    prompt: memoryview,
    bytes_per_token: float,
) -> tuple[bytes, ...]:
    """Digest prefixes of a prompt, each twice as long as the one before.

    The prompt is not copied, and at most 65,536 tokens are digested.
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
    """Bounded record of prefixes and the endpoints that computed them."""

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
        """Record that an endpoint has computed the prefixes of a prompt."""
        evidence = _Evidence(incarnation, computed_tokens)
        for digest in digests:
            known = self._endpoints.setdefault(digest, {})
            known.pop(endpoint, None)
            known[endpoint] = evidence
            if len(known) > _MAX_ENDPOINTS:
                known.pop(next(iter(known)))
            self._endpoints.move_to_end(digest)
        while len(self._endpoints) > _MAX_PREFIXES:
            self._endpoints.popitem(last=False)

    def list_endpoints(self, digests: tuple[bytes, ...]) -> list[str]:
        """List the endpoints that computed the longest recorded prefix."""
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
        """Count the tokens of a prompt that an endpoint should have cached.

        Parameters
        ----------
        incarnation
            Present incarnation of the engine; a restart empties its cache.
        oldest
            Value of the endpoint's count of computed tokens; prefixes computed
            before it count as evicted.
        """
        held = 0
        for digest, length in zip(digests, _LENGTHS, strict=False):
            evidence = self._endpoints.get(digest, {}).get(endpoint)
            if evidence is None or evidence.incarnation != incarnation:
                continue
            if evidence.computed_tokens >= oldest:
                held = length
        return held
