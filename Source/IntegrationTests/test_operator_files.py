"""The operators' verbs that need no gateway: check, completion, man, and their errors."""

import json
import os
import pathlib
import subprocess

import pytest

BUILD = pathlib.Path(os.environ["BUILD_DIR"])
EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
VERBS = ["gateway", "check", "patch", "dump", "status", "completion", "man"]


def run(*arguments, **environment):
    return subprocess.run([BUILD / "bin" / "laburnumchute", *map(str, arguments)],
                          capture_output=True, text=True, timeout=30, check=False,
                          env={**os.environ, **environment})


def changed(tmp_path, change, example="otaru"):
    """A file with the example after a change of the loaded document."""
    document = json.loads((EXAMPLES / f"{example}.json").read_text())
    change(document)
    path = tmp_path / "changed.json"
    path.write_text(json.dumps(document))
    return path


def test_check_accepts_the_examples():
    done = run("check", EXAMPLES / "otaru.json", EXAMPLES / "caroni.json")
    assert done.returncode == 0
    assert done.stdout.count(": valid\n") == 2
    assert done.stderr == ""


def test_check_names_every_fault_with_its_position(tmp_path):
    def change(document):
        document["routes"]["orders"]["priority"] = "vip"
        document["customers"]["clubs"]["share"] = -1
        document["colour"] = "red"

    done = run("check", changed(tmp_path, change))
    assert done.returncode == 1
    for pointer in ("/routes/orders/priority", "/customers/clubs/share", "/colour"):
        assert f"error: {pointer}: found " in done.stderr
    assert done.stderr.count("\n") == 3


def test_check_refuses_a_route_with_nowhere_to_go(tmp_path):
    def change(document):
        document["routes"]["orders"]["residency"] = "sapporo-only"
        document["placements"]["services"]["order-desk"]["runners"]["sapporo"] = 0

    done = run("check", changed(tmp_path, change))
    assert done.returncode == 1
    assert "/routes/orders/residency" in done.stderr


def test_check_against_the_version_before_refuses_to_strand_a_model(tmp_path):
    def change(document):
        document["routes"] = {name: route for name, route in document["routes"].items()
                              if route.get("model") != "inscription"}
        del document["models"]["inscription"]
        del document["placements"]["models"]["inscription"]

    path = changed(tmp_path, change)
    assert run("check", path).returncode == 0
    done = run("check", f"--against={EXAMPLES / 'otaru.json'}", path)
    assert done.returncode == 1
    assert "/models/inscription" in done.stderr


@pytest.mark.parametrize("content", ["", "{", "[]", "null", '{"schema": 9}', "\x00\xff"])
def test_check_refuses_what_is_no_document(tmp_path, content):
    path = tmp_path / "odd.json"
    path.write_text(content)
    done = run("check", path)
    assert done.returncode == 1
    assert "expected" in done.stderr


def test_check_names_a_file_that_cannot_be_read(tmp_path):
    done = run("check", tmp_path / "missing.json")
    assert done.returncode == 3
    assert "missing.json" in done.stderr


def test_check_reads_on_after_a_bad_file(tmp_path):
    done = run("check", tmp_path / "missing.json", EXAMPLES / "otaru.json")
    assert done.returncode == 3
    assert "otaru.json: valid" in done.stdout


@pytest.mark.parametrize("verb", VERBS)
def test_every_verb_has_help_with_its_exit_statuses(verb):
    done = run(verb, "--help")
    assert done.returncode == 0
    assert f"usage: laburnumchute {verb}" in done.stdout
    assert "Exit status:" in done.stdout


@pytest.mark.parametrize("arguments", [
    [], ["chekc"], ["check"], ["check", "--colour=red", "x"], ["patch"], ["patch", "file"],
    ["patch", "--base=-2", "file"], ["patch", "--base=x", "file"], ["patch", "--base=1", "file"],
    ["dump"], ["dump", "a", "b", "c"], ["status"], ["status", "--timeout=5", "127.0.0.1:1"],
    ["completion"], ["completion", "fish"], ["man", "extra"], ["gateway", "extra"], ["gateway"]])
def test_wrong_words_give_one_line_and_status_2(arguments):
    done = run(*arguments)
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith("laburnumchute: ")


def test_value_of_a_setting_is_named_with_what_was_expected():
    done = run("patch", "--base=x", "file")
    assert '--base: the value "x" is not valid; expected a whole number' in done.stderr


def test_environment_gives_settings_to_the_verb_that_has_them(tmp_path):
    patch = tmp_path / "patch.json"
    patch.write_text("{}")
    done = run("patch", "--base=1", patch, LABURNUMCHUTE_GATEWAY="127.0.0.1:1")
    assert done.returncode == 3
    assert "127.0.0.1:1" in done.stderr
    assert run("check", EXAMPLES / "otaru.json",
               LABURNUMCHUTE_GATEWAY="127.0.0.1:1").returncode == 0
    misspelt = run("check", EXAMPLES / "otaru.json", LABURNUMCHUTE_GATEWYA="127.0.0.1:1")
    assert misspelt.returncode == 2
    assert "LABURNUMCHUTE_GATEWYA" in misspelt.stderr


def test_bash_completes_verbs_settings_and_files(tmp_path):
    script = tmp_path / "completion.bash"
    script.write_text(run("completion", "bash").stdout)
    (tmp_path / "a-file.json").write_text("{}")

    def complete(*words):
        listed = " ".join(f"'{word}'" for word in words)
        program = (f"cd '{tmp_path}'; source '{script}'; COMP_WORDS=({listed}); "
                   f"COMP_CWORD={len(words) - 1}; _laburnumchute; printf '%s\\n' \"${{COMPREPLY[@]}}\"")
        done = subprocess.run(["bash", "-c", program], capture_output=True, text=True, timeout=20,
                              check=True)
        return done.stdout.split()

    assert complete("laburnumchute", "st") == ["status"]
    assert "--base=" in complete("laburnumchute", "patch", "--b")
    assert "--http-address=" in complete("laburnumchute", "gateway", "--http")
    assert complete("laburnumchute", "check", "a-f") == ["a-file.json"]


def test_man_page_holds_every_verb_and_setting():
    page = run("man").stdout
    assert page.startswith(".TH LABURNUMCHUTE 1")
    for verb in VERBS:
        assert f".SS laburnumchute {verb} " in page
    assert "\\-\\-base" in page
    assert "\\-\\-http\\-address" in page
