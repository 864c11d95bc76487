"""The OpenAI client library from npm, unmodified, against an entry instance."""

import json
import pathlib
import subprocess

import pytest

from calls import check_answer
from test_streams import wait_for_runs

FOLDER = pathlib.Path(__file__).parent / "openai_client"
CHAT_PROMPT = "user\na plaque\n"


@pytest.fixture(scope="module")
def seen(otaru):
    """What the library saw; one run of it for all tests."""
    subprocess.run([FOLDER / "install.sh"], check=True, timeout=300)
    address = otaru.gateways[0].addresses["http"]
    done = subprocess.run(["node", FOLDER / "client.mjs", f"http://{address}/v1", "inscription"],
                          capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def own_id(answer_id):
    return answer_id.split("-", 1)[1]


def test_whole_answers(seen):
    whole, text = seen["whole"], seen["text"]
    check_answer(whole["id"], whole["text"], own_id(whole["id"]), CHAT_PROMPT, 9)
    assert whole["usage"]["completion_tokens"] == 9
    check_answer(text["id"], text["text"], own_id(text["id"]), "engrave", 4)


def test_a_stream_with_usage(seen):
    stream = seen["stream"]
    assert len(set(stream["ids"])) == 1
    answer_id = stream["ids"][0]
    check_answer(answer_id, stream["text"], own_id(answer_id), CHAT_PROMPT, 15)
    assert stream["usage"]["completion_tokens"] == 15


def test_an_abort_in_mid_stream_stops_the_engine(otaru, seen):
    """An application aborts through its library. The engine must not go on."""
    assert seen["abandoned"]["chunks"] == 3
    run_id = own_id(seen["abandoned"]["id"])
    runs = wait_for_runs(otaru, run_id)
    assert [run["end"] for _, run in runs] == ["cancelled"]


def test_models_and_errors_have_the_shapes_that_the_library_knows(seen):
    assert seen["models"] == ["inscription"]
    assert seen["error"]["name"] == "NotFoundError"
    assert seen["error"]["status"] == 404
