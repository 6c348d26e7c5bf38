"""Files to publish, with errors that name the line, and the commands that publish and show records."""

import json

import msgspec
import pytest
from click.testing import CliRunner
from twisted.internet.defer import fail, succeed

from lichencleat.cli import distribution as commands
from lichencleat.cli.main import lichencleat
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config_distribution.published import MAX_LINE_BYTES, check_file, read_changes, split
from lichencleat.config_distribution.source import Source
from lichencleat.config_distribution.terms import MAX_BATCH_BYTES, MAX_BATCH_CHANGES, Change, encode
from lichencleat.transport.errors import RequestFailedError

GOOD = '{"kind":"tenant","name":"%s","value":{"b":1,"a":[null,true,"é"]}}\n'


def lines(path, *said):
    path.write_bytes(b"".join(each if isinstance(each, bytes) else each.encode() for each in said))
    return str(path)


def test_both_formats_give_the_same_changes_and_values_are_canonical(tmp_path):
    first = lines(tmp_path / "a.jsonl", GOOD % "x", "\n", '{"name":"y","kind":"route","gone":true}\n')
    second = lines(
        tmp_path / "a.yaml",
        "records:\n- kind: tenant\n  name: x\n  value:\n    a: [null, true, é]\n    b: 1\n",
        "- {kind: route, name: y, gone: true}\n",
    )
    changes = [
        Change("tenant", "x", '{"a":[null,true,"é"],"b":1}'.encode()),
        Change("route", "y", None),
    ]
    assert list(read_changes(first)) == [(1, changes[0]), (3, changes[1])]
    assert list(read_changes(second)) == [(2, changes[0]), (7, changes[1])]
    found = check_file(first)
    assert (found.set, found.gone, found.batches, found.kinds) == (1, 1, 1, {"tenant": 1, "route": 1})
    assert found.changes == tuple(changes)


@pytest.mark.parametrize(
    ("said", "told"),
    [
        ('{"kind":"tenant","name":"a"}', "line 2: value: give a value or 'gone: true', not both"),
        ('{"kind":"tenant","name":"a","value":1,"gone":true}', "line 2: value: give a value"),
        ('{"kind":"tenant","value":1}', "line 2: the record: Object missing required field `name`"),
        ('{"kind":"tenant","name":7,"value":1}', "line 2: name: Expected `str`, got `int`"),
        (
            '{"kind":"tenant","nane":"a","value":1}',
            "the record: Object contains unknown field `nane`",
        ),
        ('{"kind":"","name":"a","value":1}', "line 2: kind: Expected `str` of length >= 1"),
        ('{"kind":"tenant","name":"a","value":', "line 2: not JSON: Input data was truncated; write one"),
        ('{"kind":"tenant","name":"a","value":NaN}', "line 2: not JSON:"),
        ('{"kind":"tenant","name":"a","value":1e999}', "line 2: value: Number out of range"),
        ('{"kind":"tenant","name":"a","value":{"k":1,"k":2}}', "line 2: duplicate key 'k'; remove one"),
        ('{"kind":"tenant","name":"a","value":1,"name":"b"}', "line 2: duplicate key 'name'"),
        (b'{"kind":"tenant","name":"\xff","value":1}', "line 2: not JSON: "),
        ('{"kind":"tenant","name":"%s","value":1}' % ("é" * 65), "a name has 1 to 128 bytes"),
        ('{"kind":"tenant","name":"a","value":"%s"}' % ("v" * 4_095), "a value has at most 4096 bytes"),
        (
            '{"kind":"tenant","name":"%s","value":1}' % ("n" * MAX_LINE_BYTES),
            f"longer than {MAX_LINE_BYTES} bytes",
        ),
        ('{"kind":"tenant","name":"a","value":%s}' % ("[" * 5_000), "line 2: not JSON: maximum recursion"),
        ('{"kind":"tenant","name":"good","value":1}', "line 2: tenant 'good' stands in line 1 already"),
    ],
)
def test_the_error_of_an_invalid_line_names_it_and_nothing_is_used(tmp_path, said, told):
    path = lines(tmp_path / "a.jsonl", GOOD % "good", said, b"\n")
    with pytest.raises(InvalidConfigError) as wrong:
        check_file(path)
    assert told in str(wrong.value) and str(wrong.value).startswith(f"{path}, line 2: ")
    assert "\n" not in str(wrong.value)


@pytest.mark.parametrize(
    ("said", "told"),
    [
        ("- {kind: tenant, name: b}", "line 3: records[1].value: give a value"),
        ("- {kind: tenant, nane: b}", "line 3: records[1]: unknown key 'nane'; known here: gone, kind"),
        ("- {kind: tenant, name: 5, value: 1}", "line 3: records[1].name: Expected `str`, got `int`"),
        ("- {kind: tenant, name: a, value: 2}", "line 3: tenant 'a' stands in line 2 already"),
        (
            "- kind: tenant\n  name: b\n  value: 2026-01-02",
            "line 5: records[1].value: datetime.date(2026, 1, 2)",
        ),
        (
            "- kind: tenant\n  name: b\n  value: {x: [.nan]}",
            "line 5: records[1].value: nan is not a JSON number",
        ),
        ("- kind: tenant\n  name: b\n  value: {1: x}", "line 5: records[1].value: the key 1 is not a string"),
        (
            "- kind: tenant\n  name: b\n  value: [&a [x, x, x, x, x, x, x, x], &b [*a, *a, *a, *a, *a], "
            "&c [*b, *b, *b, *b, *b, *b, *b, *b, *b, *b], &d [*c, *c, *c, *c, *c, *c, *c, *c]]",
            "line 5: records[1].value: a value has at most 4096 bytes",
        ),
        ("- {kind: tenant, name: b, value: [}", "line 3: not YAML: "),
    ],
)
def test_the_error_of_an_invalid_yaml_record_names_its_line(tmp_path, said, told):
    path = lines(tmp_path / "a.yaml", "records:\n- {kind: tenant, name: a, value: 1}\n", said, "\n")
    with pytest.raises(InvalidConfigError) as wrong:
        check_file(path)
    assert told in str(wrong.value) and "\n" not in str(wrong.value)


def test_a_missing_or_empty_file(tmp_path):
    (tmp_path / "directory.jsonl").mkdir()
    for name, told in (("no.jsonl", "No such file"), ("directory.jsonl", "Is a directory")):
        with pytest.raises(InvalidConfigError, match=told):
            check_file(str(tmp_path / name))
    for name, said in (("a.jsonl", "\n\n"), ("a.yaml", "records: []\n")):
        with pytest.raises(InvalidConfigError, match="no records"):
            check_file(lines(tmp_path / name, said))


def test_large_files_are_split_by_count_and_by_bytes():
    small = [Change("tenant", f"n{n}", b"v") for n in range(2 * MAX_BATCH_CHANGES + 3)]
    assert [len(each) for each in split(small)] == [MAX_BATCH_CHANGES, MAX_BATCH_CHANGES, 3]
    large = [Change("tenant", f"n{n}", bytes(4_000)) for n in range(100)]
    made = list(split(large))
    assert [change for each in made for change in each] == large
    assert all(len(encode(each)) <= MAX_BATCH_BYTES for each in made) and len(made) == 4
    assert list(split([])) == []


# -- commands, with a source instead of a group ----------------------------------------------------------


class Group:
    """Applies at once what a client proposes; fails from a given proposal on."""

    def __init__(self, fails_at=None, part="distribution"):
        self.source, self.part, self.index, self.fails_at = Source(), part, 0, fails_at

    def propose(self, part, what, patience):
        self.index += 1
        if self.index == self.fails_at:
            return fail(RequestFailedError("nobody answers", True))
        told = self.source.apply(self.index, msgspec.Raw(encode(what)))
        return succeed(self.seen(told) if part == self.part else None)

    def read(self, part, query, patience):
        told = self.source.read(msgspec.msgpack.decode(encode(query)))
        return succeed(self.seen(told) if part == self.part else None)

    @staticmethod
    def seen(told):
        return msgspec.msgpack.decode(encode(told))


@pytest.fixture
def run(tmp_path, monkeypatch):
    group = Group()

    def run_with_client(what, quorum, *addresses):
        told = []
        what(None, run.group).addCallback(told.append)
        return told[0]

    monkeypatch.setattr(commands, "run_with_client", run_with_client)
    file = tmp_path / "q.yaml"
    file.write_text("quorum: {group: g, members: ['127.0.0.1:1']}\n")

    def run(command, *words):
        words = [str(file) if each == "FILE" else str(each) for each in words]
        result = CliRunner().invoke(lichencleat, ["distribution", command, *words])
        assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
        return result.exit_code, result.output

    run.group = group
    return run


def test_a_batch_is_published_and_versions_are_shown_and_compared(tmp_path, run):
    first = lines(tmp_path / "1.jsonl", GOOD % "x", GOOD % "y")
    second = lines(
        tmp_path / "2.yaml",
        "records:\n- {kind: tenant, name: x, value: 2}\n",
        "- {kind: tenant, name: y, gone: true}\n",
    )
    assert run("publish", "FILE", first) == (0, "version 1, 2 of 2 records changed\n")
    assert run("publish", "FILE", second, "--json") == (0, '{"version": 2, "changed": 2}\n')
    assert run("show", "FILE", "tenant", "x") == (0, "value     2\nversion   2\nin_force  2\n")
    code, said = run("show", "FILE", "tenant", "x", "--at", "1", "--json")
    assert json.loads(said) == {"value": {"a": [None, True, "é"], "b": 1}, "version": 1, "in_force": 2}
    code, said = run("show", "FILE", "tenant", "y")
    assert code == 1 and "no tenant 'y' at version 2" in said
    code, said = run("show", "FILE", "tenant", "y", "--at", "9")
    assert code == 1 and "version 9 is not available; versions 0 to 2 are" in said
    code, said = run("diff", "FILE", 1, 2, "--json")
    assert [list(each.values()) for each in json.loads(said)] == [
        ["tenant", "x", {"a": [None, True, "é"], "b": 1}, 2],
        ["tenant", "y", {"a": [None, True, "é"], "b": 1}, None],
    ]
    code, said = run("diff", "FILE", 2, 1)
    assert code == 0 and said.splitlines()[2].split()[:3] == ["tenant", "y", "-"]
    assert run("diff", "FILE", 1, 7)[0] == 1


def test_rejections_and_errors_have_their_exit_code_and_one_line(tmp_path, run):
    good = lines(tmp_path / "1.jsonl", GOOD % "x")
    wrong = lines(tmp_path / "2.jsonl", GOOD % "y", "{}\n")
    assert run("publish", "FILE", good)[0] == 0
    for words, told in (
        ([good], "nothing was published: nothing would change (version in force: 1)"),
        (
            [lines(tmp_path / "3.jsonl", GOOD % "z"), "--only-if", 0],
            "another version is in force (version in force: 1)",
        ),
    ):
        code, said = run("publish", "FILE", *words)
        assert code == 1 and told in said
    code, said = run("publish", "FILE", wrong)
    assert code == 2 and f"{wrong}, line 2: " in said and run.group.source.table.version == 1
    assert run("check", wrong)[0] == 2 and run("publish", "nowhere.yaml", good)[0] == 2
    code, said = run("check", good, "--json")
    assert code == 0 and json.loads(said)["kinds"] == {"tenant": 1}
    run.group = Group(part="facts")
    for words in (["publish", "FILE", good], ["show", "FILE", "tenant", "x"], ["diff", "FILE", 0, 1]):
        code, said = run(*words)
        assert code == 1 and "does not distribute configuration" in said


def test_a_large_file_is_published_batch_by_batch_and_can_be_resumed(tmp_path, run):
    large = lines(tmp_path / "1.jsonl", *(GOOD % f"n{n}" for n in range(3 * MAX_BATCH_CHANGES)))
    code, said = run("publish", "FILE", large)
    assert (
        code == 2
        and "With --in-batches, the file is published in 3 batches that take effect one by one" in said
    )
    run.group.fails_at = 3
    code, said = run("publish", "FILE", large, "--in-batches")
    assert code == 1 and "nobody answers; the request may take effect" in said
    assert (
        f"--skip {2 * MAX_BATCH_CHANGES}" in said and run.group.source.table.records == 2 * MAX_BATCH_CHANGES
    )
    code, said = run("publish", "FILE", large, "--in-batches", "--skip", 2 * MAX_BATCH_CHANGES, "--json")
    assert code == 0 and json.loads(said)["batches"] == 1
    assert run.group.source.table.records == 3 * MAX_BATCH_CHANGES
    code, said = run("publish", "FILE", large, "--in-batches", "--json")
    # all records have these values already
    assert (code, json.loads(said)["changed"], json.loads(said)["batches"]) == (0, 0, 0)
