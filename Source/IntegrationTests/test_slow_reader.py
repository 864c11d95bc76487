"""Back-pressure from a caller to the engine."""

import os
import time

from calls import Stream, check_answer
from deployment import Deployment

# Five tokens a millisecond: an engine that would be far ahead within a second.
FAST = {"step_base_ms": 0.2, "step_per_sequence_ms": 0, "prefill_tokens_per_second": 1000000,
        "kv_limit_tokens": 1000000, "pause_ahead_tokens": 64}
TOKENS = 6000
# What the buffers on the way may hold, several times over.
MOST_AHEAD = 2000


def test_an_engine_does_not_run_far_ahead_of_a_caller_who_stops_reading():
    """A clerk's application stops reading but keeps the connection open. If the engine generated the
    whole answer meanwhile, text that may never be read would be paid for. When the application reads
    on, nothing may be missing."""
    with Deployment("otaru", os.environ["BUILD_DIR"], engine_overrides=FAST) as otaru:
        body = {"model": "inscription", "prompt": "slow", "max_tokens": TOKENS, "stream": True}
        stream = Stream(otaru.gateways[0].addresses["http"], "/v1/completions", body,
                        {"Authorization": "Bearer example-schools", "X-Request-Id": "slow"},
                        receive_buffer=4096)
        tokens = stream.tokens()
        answer_id, text = next(tokens)
        ahead, before = 1, 0
        while ahead != before:
            time.sleep(1)
            before, ahead = ahead, otaru.runs("slow")[0][1]["tokens"]
        assert ahead < MOST_AHEAD
        text += "".join(part for _, part in tokens)
        check_answer(answer_id, text, "slow", "slow", TOKENS)
        assert len(otaru.runs("slow")) == 1
