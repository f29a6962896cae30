"""Messages of the protocol with targets.

Completions and their event streams, load reports and orders.
"""

import msgspec


class Choice(msgspec.Struct):
    """One choice of a completion event."""

    index: int = 0
    text: str = ""
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts of a completion."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class StreamEvent(msgspec.Struct):
    """One event of a completion stream; `position` counts tokens from 0."""

    id: str
    choices: list[Choice]
    position: int = 0
    usage: Usage | None = None


class CompletionRequest(msgspec.Struct):
    """A completion request; with `emitted`, resumes after so many tokens."""

    model: str
    prompt: str
    max_tokens: int = 64
    stream: bool = False
    request_id: str = ""
    emitted: int = 0


class LoadReport(msgspec.Struct):
    """An engine's load report; `age_s` is its age when sent."""

    id: str
    running: int = 0
    waiting: int = 0
    kv_tokens: int = 0
    kv_tokens_max: int = 0
    step_ms: float = 0.0
    prefill_backlog: int = 0
    age_s: float = 0.0
    leaving: bool = False
    model: str = ""
    adapters: tuple[str, ...] = ()
    fencing: int = 0


class Order(msgspec.Struct):
    """An order to an engine to load a model and adapters.

    An engine that checks orders rejects a fencing number below its last.
    """

    model: str
    fencing: int
    adapters: tuple[str, ...] = ()
