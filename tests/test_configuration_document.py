"""The body of a version, the durable file of the version in force, and `[fleet.configuration]`."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, strategies as st

from tests.support import ROOT, refused, steady
from thistleshore import config
from thistleshore.config.fleets import clashes
from thistleshore.config.platform import MOVES
from thistleshore.configuration import document, store
from thistleshore.configuration.document import DocumentError, overlay, parse, build_plan
from thistleshore.distribution.model import MAX_BODY_BYTES, FORMAT, Stamp, ProtocolSettings, digest_of

EXAMPLE = ROOT / "deploy" / "releases.toml"
HOST = b'[[host]]\nname = "w"\nservice = "ticketing"\naddress = "127.0.0.1:9009"\n'
MATCH = b'[[match]]\nname = "all"\nwhen = "true"\ncontract = "\'seat-search\'"\n'
MEMBER = b'[[member]]\nname = "line"\nshare = 0.5\n'


def told() -> dict[str, Any]:
    return dict(config.operator_file(str(EXAMPLE), 0.0).told)


def problems(body: bytes, **more: Any) -> tuple[str, ...]:
    with pytest.raises(DocumentError) as found:
        parse(body, **more)
    return found.value.problems


def misfits(body: bytes, own: dict[str, Any]) -> tuple[str, ...]:
    with pytest.raises(DocumentError) as found:
        build_plan(own, parse(body, "pushed.toml"), 0.0)
    return found.value.problems


# -- the document


def test_a_table_of_the_document_replaces_the_file_s_whole() -> None:
    own = told()
    laid = overlay(own, parse(HOST))
    assert [host["name"] for host in laid["host"]] == ["w"] and laid["contract"] == own["contract"]
    assert [host["name"] for host in own["host"]] == ["worker-1"]  # the file's own tables stay as they were
    plan = build_plan(own, parse(HOST + MATCH), 0.0)
    assert [line.entry.worker for line in plan.known] == [b"w"]
    assert plan.live is not None and plan.live.table.rules.rules[0].name == "all"  # that of the contract follows
    assert build_plan(own, parse(b""), 0.0).told == own


def test_other_tables_are_refused_by_name_and_all_at_once() -> None:
    assert problems(b"balancers = 3\n[[contract]]\nteam = 'x'\n[[host]]\nname = 'x'\n", source="pushed.toml") == (
        "pushed.toml: balancers: not a table that is distributed: it takes a restart",
        "pushed.toml: contract: not a table that is distributed: it takes a restart",
        "pushed.toml: host[0].address: missing",
    )
    assert problems(b"host = 5") == ("configuration: host: tables of the form [[host]] are wanted",)
    assert problems(b"host = [5]") == ("configuration: host[0].address: missing",)


def test_what_is_distributed_is_what_moves_without_a_restart() -> None:
    assert set(document.DISTRIBUTED_TABLES) - {"host"} <= set(MOVES)


def test_text_that_is_no_document_is_refused() -> None:
    assert "can't decode" in problems(b"\xff\xfe")[0]
    assert "expected" in problems(b"[[host]")[0].lower()
    assert problems(b"#" * (MAX_BODY_BYTES + 1)) == (f"configuration: it has over {MAX_BODY_BYTES} bytes",)
    assert parse(b"#" * MAX_BODY_BYTES).tables == {}
    assert "format 2" in problems(b"", body_format=FORMAT + 1)[0]
    whole = HOST + MATCH + MEMBER
    for cut in (whole[:-4], whole[: len(HOST) - 12], whole[:5]):  # cut off
        assert problems(cut)[0].startswith("configuration: ")


@pytest.mark.parametrize(
    "body",
    [
        b"match = " + b"[" * 100_000,
        b"match = " + b"[" * 100 + b"]" * 100,
        b"expressions = " + b"{a = " * 20_000,
        b"expressions" + b".a" * 100_000 + b" = 1",
        b"[expressions" + b" . a" * 40_000 + b"]",
        b'expressions."\\""' + b'."\\""' * 20_000 + b" = 1",
        b"expressions.'a'" + b".'a'" * 20_000 + b" = 1",
    ],
    ids=["open lists", "lists", "tables", "dotted key", "dotted table", "quoted keys", "literal keys"],
)
def test_deep_nesting_is_refused_in_little_time(body: bytes) -> None:
    begun = time.process_time()
    assert problems(body) == (f"configuration: it is nested deeper than {document.MAX_NESTING}",)
    assert time.process_time() - begun < 2.0


def test_a_document_that_does_not_fit_an_instance_names_the_file_and_the_key() -> None:
    own = told()
    assert misfits(HOST.replace(b"ticketing", b"other"), own)[0].startswith("pushed.toml: host[0].service: one of")
    broken = misfits(MATCH.replace(b'"true"', b'"nobody"'), own)
    assert broken[0].startswith("pushed.toml: ") and "match[0].when: nothing is called 'nobody'" in broken[0]
    own["balancers"] = 0
    wanted = "a whole number of at least 1 is wanted, not 0"
    assert misfits(HOST, own) == (f"this instance's file: file.balancers: {wanted}",)


def test_a_document_that_takes_a_restart_at_an_instance_is_refused_there() -> None:
    own = told()
    assert misfits(MEMBER, own) == (
        "pushed.toml: member: this instance's file has none, and to begin keeping shares takes a restart",
    )
    own["host"] = [*own["host"], {"name": "seat", "service": "ticketing"}]
    own["beanstalkd"] = {"listen": "127.0.0.1:11300"}
    assert misfits(HOST, own) == (
        "pushed.toml: host: this instance's file has hosts without an address, and those hold until a restart",
    )
    assert build_plan(own, parse(MATCH), 0.0).live is not None  # other tables still fit
    # A reading by SIGHUP still asks for a restart at a change of hosts.
    plan = config.operator_file(str(EXAMPLE), 0.0)
    assert plan.changed(build_plan(told(), parse(HOST), 0.0)) == ["host"]


def test_shares_are_distributed_where_they_are_kept() -> None:
    own = dict(config.operator_file(str(ROOT / "deploy" / "consortium.toml"), 0.0).told)
    members = [{"name": member["name"], "share": 0.01} for member in own["member"]]
    body = "".join(f"[[member]]\nname = '{member['name']}'\nshare = 0.01\n" for member in members).encode()
    plan = build_plan(own, parse(body), 0.0)
    assert plan.agreements is not None and plan.told["member"] == members
    assert misfits(MEMBER + MEMBER, own)[0] == "pushed.toml: member[1].name: 'line' is named twice"


@steady
@given(st.binary(max_size=200) | st.text(alphabet="ab[]{}=.\"'\n# 1,host", max_size=200).map(str.encode))
def test_whatever_comes_is_a_document_or_a_document_error(body: bytes) -> None:
    try:
        found = parse(body)
    except DocumentError as problem:
        assert problem.problems and all(text.startswith("configuration: ") for text in problem.problems)
    else:
        assert set(found.tables) <= set(document.DISTRIBUTED_TABLES)


# -- the version in force


def stamp_of(body: bytes, number: int = 1) -> Stamp:
    return Stamp(7, number, digest_of(body), len(body))


def test_the_version_in_force_is_read_as_it_was_written(tmp_path: Path) -> None:
    folder = tmp_path / "new" / "configuration"
    kept = store.VersionStore(folder, "kigali")
    assert kept.read() is None
    for number, body in enumerate((HOST, MATCH, b"", b"#" * MAX_BODY_BYTES), 1):
        kept.write(stamp_of(body, number), body)
        assert store.VersionStore(folder, "kigali").read() == (stamp_of(body, number), body)
    assert [path.name for path in folder.iterdir()] == [store.VERSION_FILE]


def test_a_file_that_is_cut_off_altered_or_not_ours_is_refused_by_its_kind(tmp_path: Path) -> None:
    kept, file = store.VersionStore(tmp_path, "kigali"), tmp_path / store.VERSION_FILE
    kept.write(stamp_of(HOST), HOST)
    whole = file.read_bytes()
    for at in range(0, len(whole), 7):
        for spoilt in (whole[:at], whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :], whole + b"x"):
            file.write_bytes(spoilt)
            with pytest.raises(store.StoreError):
                kept.read()
    for spoilt, kind in (
        (b"", store.CorruptFile),
        (b"x" * (store.MAX_FILE_BYTES + 5), store.CorruptFile),
        (whole[:-1], store.CorruptFile),
        (whole.replace(b"configuration 1 ", b"configuration 2 ", 1), store.NewerFormat),
        (whole.replace(b"configuration 1 ", b"configuration 99999999999999999999 ", 1), store.NewerFormat),
    ):
        file.write_bytes(spoilt)
        with pytest.raises(kind):
            kept.read()
    file.write_bytes(whole)
    with pytest.raises(store.OtherFleet, match="'kigali', not of 'musanze'"):
        store.VersionStore(tmp_path, "musanze").read()
    for stamp, kind in (
        (msgspec.structs.replace(stamp_of(HOST), format=FORMAT + 1), store.NewerFormat),
        (stamp_of(MATCH), store.CorruptFile),
    ):
        kept.write(stamp, HOST)
        with pytest.raises(kind):
            kept.read()
    file.unlink()
    file.mkdir()
    with pytest.raises(store.Unreadable):
        kept.read()


@pytest.mark.parametrize("call", ["write", "fsync", "replace", "open"])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_that_takes_nothing_leaves_the_version_before(
    call: str, number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> Any:
        raise OSError(number, os.strerror(number))

    kept = store.VersionStore(tmp_path, "kigali")
    kept.write(stamp_of(HOST), HOST)
    with monkeypatch.context() as patched:
        patched.setattr(store.os, call, fail)
        with pytest.raises(store.Unwritable, match=os.strerror(number)):
            kept.write(stamp_of(MATCH, 2), MATCH)
    assert kept.read() == (stamp_of(HOST), HOST)
    assert [path.name for path in tmp_path.iterdir()] == [store.VERSION_FILE]


def test_a_write_in_pieces_is_still_whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write = os.write
    monkeypatch.setattr(store.os, "write", lambda descriptor, data: write(descriptor, bytes(data)[:100]))
    kept = store.VersionStore(tmp_path, "kigali")
    kept.write(stamp_of(HOST * 20), HOST * 20)
    assert kept.read() == (stamp_of(HOST * 20), HOST * 20)


def test_two_processes_do_not_write_into_one_temporary_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The second begins while the first has written half: the one that renames last stays, whole."""
    one, other = (store.VersionStore(tmp_path, "kigali") for _ in range(2))
    replace, nested = os.replace, list[Path]()

    def renamed(source: Path, target: Path) -> None:
        if not nested:
            nested.append(source)
            monkeypatch.setattr(os, "getpid", lambda: 1)
            other.write(stamp_of(MATCH, 2), MATCH)
        replace(source, target)

    monkeypatch.setattr(store.os, "replace", renamed)
    one.write(stamp_of(HOST), HOST)
    assert str(os.getpid()) != nested[0].name.split(".")[-3]
    assert one.read() == (stamp_of(HOST), HOST)


def test_temporary_files_of_the_dead_are_removed_and_those_of_the_living_are_not(tmp_path: Path) -> None:
    old, new = tmp_path / f"{store.VERSION_FILE}.7.0.tmp", tmp_path / f"{store.VERSION_FILE}.8.0.tmp"
    for path, age in ((old, store.TEMPORARY_FILE_SECONDS + 60.0), (new, 0.0)):
        path.write_bytes(b"half")
        os.utime(path, (time.time() - age,) * 2)
    store.VersionStore(tmp_path, "kigali").write(stamp_of(HOST), HOST)
    assert not old.exists() and new.exists()


# -- the operator's file


def test_the_supplied_file_follows_the_configuration_and_its_faults_are_named(tmp_path: Path) -> None:
    plan = config.operator_file(str(EXAMPLE), 0.0).distribution
    assert (
        plan is not None
        and plan.folder == "configuration"
        and plan.settings == ProtocolSettings(report_interval=3.0, report_lifetime=7.5)
    )
    assert config.operator_file(str(ROOT / "deploy" / "fleet.toml"), 0.0).distribution is None
    text = EXAMPLE.read_text()
    for old, new, fault in (
        ('dir = "configuration"', "", "fleet.configuration.dir: missing"),
        ("sync = 3.0", "sync = 3.8", "fleet.configuration.fresh: at least twice `sync`"),
        ("sync = 3.0", "sync = 0", "fleet.configuration.sync: a number of at least 0.05"),
        ("sync = 3.0", "sink = 3.0", "fleet.configuration.sink: unknown key"),
        ("[fleet.register]", "[fleet.x]", "fleet.register: missing: versions of the configuration"),
        ("fresh = 7.5", 'fresh = "long"', "fleet.configuration.fresh: a number"),
    ):
        refused(text, old, new, fault, tmp_path / "faulty.toml")
    bare = tmp_path / "bare.toml"
    bare.write_text(text.replace("sync = 3.0", "").replace("fresh = 7.5", ""))
    found = config.operator_file(str(bare), 0.0).distribution
    assert found is not None and found.settings == ProtocolSettings()


def test_members_on_one_machine_have_folders_of_their_own(tmp_path: Path) -> None:
    text, files = EXAMPLE.read_text(), {}
    for number in (1, 2):
        file = tmp_path / f"{number}.toml"
        file.write_text(
            text.replace('"kigali-1"', f'"kigali-{number}"')
            .replace('listen = "127.0.0.1:7950"', f'listen = "127.0.0.1:795{number}"')
            .replace('advertise = "127.0.0.1:7950"', f'advertise = "127.0.0.1:795{number}"')
        )
        files[str(number)] = config.operator_file(str(file), 0.0)
    found = [problem for problem in clashes(files) if "configuration" in problem]
    assert found == ["2: fleet.configuration.dir: configuration is also that of 1, on one machine"]
