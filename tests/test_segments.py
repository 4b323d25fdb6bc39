"""Prompts larger than any engine's memory, answered in parts."""

from collections.abc import Iterator

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from kelproad.coordination.segments import split_prompt
from kelproad.state.declarations import Segmenting
from testbed.site import Site, SitePlan, start_site
from tests.clients import complete
from tests.conftest import ROADGRIP

MEMORY = 4_000
HEADING = 'review the season\n\n'


@pytest.fixture(scope='module')
def small_engines(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Run a site whose engines hold 4,000 tokens, and split reports."""
    example = tmp_path_factory.mktemp('example')
    for path in ROADGRIP.glob('*.yaml'):
        content = yaml.safe_load(path.read_text())
        for group in content.get('endpoint_groups', []):
            if group['kind'] == 'engine':
                group['memory_tokens'] = MEMORY
        for service in content.get('services', []):
            if service['name'] == 'reports':
                service['segments'] = {
                    'tokens': 2_000,
                    'combine': 'join these reviews',
                    'answer_tokens': 4,
                    'most_parts': 8,
                }
        (example / path.name).write_text(yaml.safe_dump(content))
    plan = SitePlan(
        example=example,
        endpoints_per_group=3,
        engine_settings={'memory_tokens': MEMORY, 'time_scale': 50.0},
    )
    with start_site(plan, tmp_path_factory.mktemp('segments')) as site:
        yield site


def test_long_prompt_is_answered_in_parts(small_engines: Site) -> None:
    """A prompt needs more than twice the memory of an engine.

    The caller gets one complete answer, and its number of parts in a header.
    """
    answer = complete(small_engines.callers[0], prompt=build_prompt(10_000))
    assert answer.status == 200, answer.body
    assert int(answer.headers['X-Segments']) >= 5
    assert answer.fields()['choices'][0]['finish_reason'] == 'stop'


def test_streamed_answer_of_parts_ends_with_done(small_engines: Site) -> None:
    answer = complete(
        small_engines.callers[1],
        prompt=build_prompt(10_000),
        stream=True,
    )
    assert answer.headers['X-Segments']
    assert answer.body.endswith(b'data: [DONE]\n\n')


def test_failed_part_fails_the_whole(small_engines: Site) -> None:
    """Every engine refuses work while a prompt is answered in parts.

    No part's answer may reach the caller as if it were the complete one.
    """
    engines = [
        address
        for name, address in small_engines.addresses.items()
        if name.startswith('report')
    ]
    for address in engines:
        small_engines.set_faults(address, refuse=True)
    answer = complete(small_engines.callers[0], prompt=build_prompt(10_000))
    for address in engines:
        small_engines.set_faults(address)
    assert answer.status >= 500
    assert 'choices' not in answer.fields()


def test_too_many_parts_are_refused_at_once(small_engines: Site) -> None:
    answer = complete(small_engines.callers[0], prompt=build_prompt(60_000))
    assert answer.status == 413
    assert answer.refusal()['ran'] == 'no'


def test_other_service_refuses_what_no_engine_holds(
    small_engines: Site,
) -> None:
    answer = complete(
        small_engines.callers[0],
        prompt=build_prompt(10_000),
        model='roadgrip-corridor',
    )
    assert answer.status == 413


@given(
    st.lists(st.text(alphabet='abé', max_size=30), max_size=60),
    st.integers(20, 80),
)
def test_parts_hold_every_record_once(records: list[str], size: int) -> None:
    """Records that are split or lost would falsify the answer."""
    segmenting = Segmenting(tokens=size, combine='', most_parts=1000)
    prompt = HEADING + '\n'.join(records)
    split = split_prompt(prompt, segmenting, 4)
    if not isinstance(split, Success):
        limit = size * 4 - len(HEADING)
        assert any(len(record.encode()) >= limit for record in records)
        return
    parts = split.unwrap()
    assert parts.heading == HEADING
    assert '\n'.join(parts.records) == '\n'.join(records)
    for part in parts.records:
        assert len((parts.heading + part).encode()) <= size * 4


def build_prompt(tokens: int) -> str:
    """Build a prompt of records, of about the given size."""
    record = 'section 12 wet 0.41 '
    count = tokens * 4 // len(record)
    return HEADING + '\n'.join(record for _ in range(count))
