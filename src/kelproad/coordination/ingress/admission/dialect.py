"""Encoding of calls, answers and orders to engines, supplied by an adapter.

The routed interface decides and relays; the adapter of a platform supplies
these functions, so that no decision depends on a name on the wire.
"""

from collections.abc import Callable

import aiohttp
import attrs
from aiohttp import web
from multidict import CIMultiDict, MultiMapping
from returns.result import Result

from ....state.calls import AnswerHead, Call, CallHead, Forwarding
from ....state.refusals import Refusal
from ....state.statements import EndpointStatements
from ..placing.memory import EngineOperations

__all__ = ['Dialect']


@attrs.frozen
class Dialect:
    """Functions that decode and encode messages of a platform.

    Attributes
    ----------
    read_request_id
        Return the id of a request, empty where it has none or several.
    read_call_head
        Decode the head of a caller's request.
    encode_call
        Encode the headers of a call to an endpoint, from those of the caller.
    read_answer_head
        Decode the head of an endpoint's answer to the request with an id.
    build_refusal
        Build the answer to a refused call, from refusal and request id.
    open_orders
        Build the client for orders to engines, over a session; a function gets
        the address and the statements of each reply.
    ready_path
        Path of the balancer's readiness checks.
    """

    read_request_id: Callable[[MultiMapping[str]], str]
    read_call_head: Callable[[web.BaseRequest], Result[CallHead, Refusal]]
    encode_call: Callable[
        [Call, CIMultiDict[str], Forwarding],
        CIMultiDict[str],
    ]
    read_answer_head: Callable[[aiohttp.ClientResponse, str], AnswerHead]
    build_refusal: Callable[[Refusal, str], web.Response]
    open_orders: Callable[
        [aiohttp.ClientSession, Callable[[str, EndpointStatements], None]],
        EngineOperations,
    ]
    ready_path: str
