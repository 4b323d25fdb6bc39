"""End-to-end calls: callers, instances, engines, services, operators."""

import json

import openai

from testbed.site import Site
from tests.clients import KEY, MODEL, book, call, complete


def test_completion_as_json(roadgrip: Site) -> None:
    answer = complete(roadgrip.callers[0])
    assert answer.status == 200
    choice = answer.fields()['choices'][0]
    assert choice['finish_reason'] == 'stop'
    assert choice['text'].count('#') == 4


def test_completion_as_events_ends_with_done(roadgrip: Site) -> None:
    answer = complete(roadgrip.callers[1], stream=True)
    events = answer.body.decode().strip().split('\n\n')
    assert events[-1] == 'data: [DONE]'
    assert len(events) == 5


def test_openai_client_works_unchanged(roadgrip: Site) -> None:
    client = openai.OpenAI(
        api_key=KEY,
        base_url=f'http://{roadgrip.callers[2]}/v1',
        max_retries=0,
    )
    chat = [{'role': 'user', 'content': 'summarise the run'}]
    whole = client.chat.completions.create(
        model=MODEL,
        messages=chat,
        max_tokens=3,
    )
    assert whole.choices[0].message.content.count('#') == 3
    parts = client.chat.completions.create(
        model=MODEL,
        messages=chat,
        max_tokens=3,
        stream=True,
    )
    streamed = ''.join(part.choices[0].delta.content for part in parts)
    assert streamed.count('#') == 3
    text = client.completions.create(model=MODEL, prompt='x', max_tokens=2)
    assert text.choices[0].text.count('#') == 2
    assert MODEL in [model.id for model in client.models.list()]


def test_openai_client_sees_refusals(roadgrip: Site) -> None:
    client = openai.OpenAI(
        api_key='wrong',
        base_url=f'http://{roadgrip.callers[0]}/v1',
        max_retries=0,
    )
    try:
        client.completions.create(model=MODEL, prompt='x')
    except openai.AuthenticationError as error:
        assert error.code == 'unauthenticated'
    else:
        raise AssertionError('a wrong key was accepted')


def test_whole_delivery_has_a_length(roadgrip: Site) -> None:
    answer = complete(
        roadgrip.callers[0],
        model='roadgrip-corridor',
        stream=True,
    )
    assert int(answer.headers['Content-Length']) == len(answer.body)
    assert answer.body.endswith(b'data: [DONE]\n\n')


def test_plain_call_reaches_the_service(roadgrip: Site) -> None:
    answer = book(roadgrip.callers[0], 'run-plain')
    assert answer.status == 200
    assert answer.fields() == {'booked': True, 'reference': 'run-plain'}


def test_key_repeats_the_recorded_answer(roadgrip: Site) -> None:
    first = book(roadgrip.callers[0], 'run-keyed', 'key-1')
    again = book(roadgrip.callers[1], 'run-keyed', 'key-1')
    assert first.body == again.body
    assert again.headers['Idempotency-Replayed'] == 'true'
    assert count_effects(roadgrip, 'run-keyed') == 1


def test_key_of_another_request_is_refused(roadgrip: Site) -> None:
    book(roadgrip.callers[0], 'run-a', 'key-2')
    answer = book(roadgrip.callers[1], 'run-b', 'key-2')
    assert answer.status == 422
    assert answer.refusal()['ran'] == 'no'
    assert count_effects(roadgrip, 'run-b') == 0


def test_refusals_have_one_shape(roadgrip: Site) -> None:
    refused = {
        401: call(roadgrip.callers[0], '/v1/models', key='wrong'),
        404: complete(roadgrip.callers[0], model='nobody'),
        400: call(roadgrip.callers[0], '/v1/completions', b'{"model": '),
        403: call(
            roadgrip.callers[0],
            '/v1/completions',
            {'model': MODEL, 'prompt': 'x'},
            key='example-key-billing',
        ),
        413: complete(roadgrip.callers[0], prompt='x' * 4 * 500_000),
    }
    for status, answer in refused.items():
        assert answer.status == status
        refusal = answer.refusal()
        assert refusal['ran'] == 'no'
        assert refusal['step']
        assert refusal['request_id']


def test_unknown_path_is_refused_in_the_same_shape(roadgrip: Site) -> None:
    answer = call(roadgrip.callers[0], '/v1/nothing')
    assert answer.status == 404
    assert answer.refusal()['ran'] == 'no'


def test_too_large_body_is_refused_unread(roadgrip: Site) -> None:
    answer = call(
        roadgrip.callers[0],
        '/v1/completions',
        b'{}',
        headers={'Content-Length': str(10**9)},
    )
    assert answer.status == 413


def test_operator_side_needs_a_token(roadgrip: Site) -> None:
    answer = call(roadgrip.instances[0].operator, '/operator/dump', key='no')
    assert answer.status == 401


def test_dump_and_explain(roadgrip: Site) -> None:
    instance = roadgrip.instances[0]
    answer = complete(instance.caller)
    request_id = answer.headers['X-Request-Id']
    explained = roadgrip.control(
        instance.operator,
        'GET',
        f'/operator/explain/{request_id}',
    )
    assert [step['event'] for step in explained['steps']] == ['routed', 'ended']
    dump = roadgrip.control(instance.operator, 'GET', '/operator/dump')
    assert dump['revision'] == 4
    assert not dump['invariant_violations']
    assert 'a-shared-key' not in json.dumps(dump)


def test_metrics_count_requests(roadgrip: Site) -> None:
    complete(roadgrip.callers[0])
    answer = call(roadgrip.callers[0], '/metrics')
    assert b'kelproad_requests_total{outcome="answered"' in answer.body


def count_effects(site: Site, reference: str) -> int:
    """Count over all books how often a reference was booked."""
    books = [
        site.control(address, 'GET', '/entries')
        for name, address in site.addresses.items()
        if name.startswith('run-book')
    ]
    return sum(int(entries.get(reference, 0)) for entries in books)
