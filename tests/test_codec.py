"""The wire: layouts written out byte by byte here, both directions, and truncation at every length."""

import io
import json

import pytest

from oxbowarch import interface as api
from oxbowarch import simhost, wire
from oxbowarch.interface import Effect, Group, ListKind, Report, Reports, Request, State, Status

CALL = bytes.fromhex(
    "03 31000000 0300 c4913a5d783c0b00 640ad2557c3bf091 00000040 fa7e6abc7493883f 00000000 01"
    "b81e85eb51b8ce3f 0000 00000000"
)
FIRED = bytes.fromhex("07 0a000000 0300 4d00000000000000")
WITHDRAWN = bytes.fromhex("06 0a000000 0500 192b6f0e08450900")
PAGE = bytes.fromhex(
    "0b 35000000 00 02000000"
    "0000 0000000000000000 0000 01 00 0000803f 0a124a07 5b1b"
    "0000 6666666666661840 0100 01 00 0000c03f 0a9011f2 841b"
)
UPDATE = bytes.fromhex("02 0c000000 0300 01 2900000000000000 00")
RETURNED = bytes.fromhex(
    "05 2b000000 0300 c4913a5d783c0b00 0000 0a124a07 5b1b 6400 8b6ce7fba9f1923f 01 0003 00000c43 0000e040 cdcccc3e"
)
CHECKED = bytes.fromhex("08 1b000000 0300 6400 0a124a07 5b1b fca9f1d24d62503f 02 00008040 0000803f")
NOTICE = bytes.fromhex("0c 17000000 0300 c4913a5d783c0b00 0100 0a124a07 5b1b 02 0000003f")
ACCEPTED = bytes.fromhex("04 1a000000 0300 c4913a5d783c0b00 0000 0a124a07 5b1b 8b6ce7fba9f1923f")
MAIL = bytes.fromhex("09 0c000000 0300 02000000 0400 68692037")
SHUTDOWN = bytes.fromhex("0a 02000000 0300")
RUNNER = bytes.fromhex("0a124a075b1b")
TXN = 0x000B3C785D3A91C4


def batch(*records: bytes, now: bytes = bytes.fromhex("508d976e12d32040")) -> bytes:
    return now + len(records).to_bytes(4, "little") + b"".join(records)


def decode(*records: bytes, codec: wire.Codec | None = None) -> list:
    return list((codec or wire.Codec()).batch(batch(*records))[1])


def test_clock_and_request() -> None:
    now, events = wire.Codec().batch(batch(CALL))
    assert now == pytest.approx(8.412250, abs=1e-5)
    ((instance, request),) = list(events)
    assert instance == 3
    assert request == Request(TXN, 0, 0.24, 0, 0x91F03B7C55D20A64, 2.0, False)


def test_marked_repeat() -> None:
    marked = bytearray(CALL)
    marked[39] = 2
    assert decode(bytes(marked))[0][1].repeat is True


def test_timer_and_withdrawal() -> None:
    assert decode(FIRED, WITHDRAWN) == [(3, wire.Fired(77)), (5, wire.Withdrawn(0x000945080E6F2B19))]


def test_page_and_update() -> None:
    ((instance, update),) = decode(PAGE, UPDATE)
    assert instance == 3 and update.kind is ListKind.CACHED and update.version == 41
    first, second = update.entries
    assert first == api.Entry(RUNNER, State.READY, 0, 0, 0, 0.0, 1.0)
    assert second.zone == 1 and second.started_at == pytest.approx(6.1) and second.weight == 1.5


def test_page_numbers_are_reused_in_a_batch() -> None:
    other = bytes.fromhex("0b 1d000000 00 01000000 0700 0000000000000000 0000 02 00 0000803f 0a124a07 5b1b")
    updates = [event for _, event in decode(PAGE, UPDATE, other, UPDATE)]
    assert [len(update.entries) for update in updates] == [2, 1]
    assert updates[1].entries[0].state is State.DRAINING


def test_failed_update_needs_no_page() -> None:
    failed = bytearray(UPDATE)
    failed[7] = 0
    assert decode(bytes(failed)) == [(3, wire.Update(ListKind.FAILED, 41, ()))]


def test_outcome_with_report() -> None:
    codec = wire.Codec()
    codec.place(3, ["rate", "rif", "x0"])
    ((_, outcome),) = decode(RETURNED, codec=codec)
    assert outcome[:4] == (TXN, 0, RUNNER, Status.OK) and outcome.closed
    assert outcome.report == Report(free=pytest.approx(0.4), queue=None, in_flight=7.0)


@pytest.mark.parametrize(
    ("code", "status"),
    [
        (100, Status.OK),
        (301, Status.ERROR),
        (302, Status.FULL),
        (303, Status.TIMEOUT),
        (304, Status.CONNECT_FAILED),
        (305, Status.RESET),
        (306, Status.CANCELLED),
        (307, Status.NOT_SENT),
    ],
)
def test_statuses(code: int, status: Status) -> None:
    record = bytearray(RETURNED)
    record[23:25] = code.to_bytes(2, "little")
    assert decode(bytes(record))[0][1].status is status


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -3.0, 1e30])
def test_absurd_report_values_count_as_none(value: float) -> None:
    import struct

    codec = wire.Codec()
    codec.place(3, ["x0", "q"])
    record = CHECKED[:24] + struct.pack("<ff", value, 1.0)
    assert decode(record, codec=codec)[0][1].report == Report(None, 1.0, None)


def test_probe_answer() -> None:
    codec = wire.Codec()
    codec.place(3, ["x0", "q"])
    assert decode(CHECKED, codec=codec) == [(3, wire.Checked(RUNNER, Status.OK, 0.001, Report(4.0, 1.0, None)))]


def test_notice_accepted_mail_shutdown() -> None:
    assert [event for _, event in decode(NOTICE, ACCEPTED, MAIL, SHUTDOWN)] == [
        wire.Notice(TXN, 1, RUNNER, False, 0.5),
        wire.Accepted(TXN, 0, RUNNER),
        wire.Mail(2, b"hi 7"),
        wire.Shutdown(),
    ]


def test_unknown_record_is_skipped_by_its_length() -> None:
    unknown = bytes.fromhex("63 03000000 010203")
    assert decode(unknown, FIRED) == [(3, wire.Fired(77))]


@pytest.mark.parametrize(
    ("action", "wanted"),
    [
        (api.Send(TXN, RUNNER, 0.08), "09 18000000 0300 c4913a5d783c0b00 7b14ae47e17ab43f 0a124a07 5b1b"),
        (api.Refuse(TXN, 1.5), "0a 12000000 0300 c4913a5d783c0b00 000000000000f83f"),
        (api.Fail(TXN), "08 0a000000 0300 c4913a5d783c0b00"),
        (api.Cancel(TXN, 2), "05 0c000000 0300 c4913a5d783c0b00 0200"),
        (api.Timer(8.912250, 77), "0b 12000000 0300 508d976e12d32140 4d00000000000000"),
        (api.Watch(), "06 03000000 0300 01"),
        (api.Log("two servers unknown"), "02 17000000 0300 1300 74776f207365727665727320756e6b6e6f776e"),
    ],
)
def test_actions(action: api.Action, wanted: str) -> None:
    assert wire.encode(3, action).hex() == wanted.replace(" ", "")


def test_truncation_at_every_length() -> None:
    whole = batch(PAGE, UPDATE, CALL, RETURNED, CHECKED, NOTICE, ACCEPTED, MAIL, FIRED, WITHDRAWN, SHUTDOWN)
    assert len(list(wire.Codec().batch(whole)[1])) == 10
    for size in range(len(whole)):
        with pytest.raises(wire.WireError):
            list(wire.Codec().batch(whole[:size])[1])


@pytest.mark.parametrize("record", [PAGE, UPDATE, CALL, RETURNED, CHECKED, NOTICE, ACCEPTED, MAIL, FIRED, SHUTDOWN])
def test_a_record_too_short_for_its_fields(record: bytes) -> None:
    short = record[:1] + (len(record) - 6).to_bytes(4, "little") + record[5:-1]
    with pytest.raises(wire.WireError):
        decode(PAGE, short)


def test_bytes_left_over() -> None:
    with pytest.raises(wire.WireError):
        list(wire.Codec().batch(batch(FIRED) + b"\0")[1])


def conf(**changes: object) -> dict:
    base: dict = {
        "balancers": 4,
        "locality": 1,
        "quantum": 0.005,
        "discovery": "pushed",
        "lanes": [
            {"aim": 0.6, "effect": "retryable", "giveUp": 5.0, "group": "all", "lateShare": 0.3, "repeatWindow": 5.0},
            {"aim": 2.0, "effect": "dedup", "giveUp": 20.0, "group": "zone", "repeatWindow": 30.0},
        ],
        "limits": {"maxAttempts": 5, "probes": False, "retryAfter": True, "maxRetryAfter": 2.0},
        "rules": {"askWithin": 10.0, "coldFrom": 0.16, "warmUp": 24.0},
        "familyInfo": {"classStretch": [2.0, 2.5], "classKind": [-1, 1], "tellsStart": True, "reportX0": "free slots"},
        "stats": {"how": "piggyback", "names": ["rate", "x0"]},
        "tenants": [{"name": "a", "fraction": 1.0, "quotaPerS": 19.0}],
    }
    base.update(changes)
    return base


def test_settings() -> None:
    found, names = wire.parse_settings(json.dumps(conf(unheard_of={"x": 1})).encode())
    assert names == ["rate", "x0"] and found.limits == (19.0,) and found.reports is Reports.WITH_ANSWERS
    assert found.classes[1].effect is Effect.KEYED and found.classes[1].group is Group.ZONE
    assert found.classes[1].kinds == (1,) and found.classes[0].stretch == 2.0 and found.max_retry_after == 2.0


def test_free_slots_may_be_the_second_value() -> None:
    info = {"reportX0": "free memory", "reportX1": "free slots"}
    _, names = wire.parse_settings(json.dumps(conf(familyInfo=info, stats={"names": ["x0", "x1"]})).encode())
    assert names == ["-", "x0"]


@pytest.mark.parametrize("key", ["balancers", "lanes", "limits", "rules", "quantum"])
def test_missing_setting_is_named(key: str) -> None:
    whole = conf()
    del whole[key]
    with pytest.raises(ValueError, match=key):
        wire.settings(whole)


def test_bad_word_is_named_with_the_accepted_ones() -> None:
    with pytest.raises(ValueError, match=r"lanes\[\].effect must be one of dedup, fragile, retryable"):
        wire.settings(conf(lanes=[{"aim": 1, "giveUp": 2, "effect": "maybe"}]))


def hello(instance: int, text: bytes) -> bytes:
    fields = instance.to_bytes(2, "little") + (7).to_bytes(8, "little") + len(text).to_bytes(4, "little") + text
    return b"\x01" + len(fields).to_bytes(4, "little") + fields


def framed(body: bytes) -> bytes:
    return len(body).to_bytes(4, "little") + body


def test_empty_batch_gets_an_empty_reply() -> None:
    sink = io.BytesIO()
    assert simhost.serve(io.BytesIO(framed(batch())), sink) == 0
    assert sink.getvalue() == bytes(4)


def test_end_of_input_inside_a_frame(capsys: pytest.CaptureFixture[str]) -> None:
    whole = framed(batch(FIRED))
    for size in range(1, len(whole)):
        assert simhost.serve(io.BytesIO(whole[:size]), io.BytesIO()) == 1
        error = capsys.readouterr().err
        assert error.startswith("oxbowarch: bad input: ") and error.count("\n") == 1


def test_shutdown_and_hello_in_one_batch_make_a_new_instance() -> None:
    host = simhost.Host()
    text = json.dumps(conf()).encode()
    host.reply(batch(hello(3, text), PAGE, UPDATE))
    old = host.brains[3]
    host.reply(batch(SHUTDOWN, hello(3, text), PAGE, UPDATE))
    assert host.brains[3] is not old and len(host.brains[3].workers) == 2
    host.reply(batch(SHUTDOWN))
    assert host.reply(batch(CALL)) == bytes(4)


def test_a_failing_module_says_so_and_stops(capsys: pytest.CaptureFixture[str]) -> None:
    host = simhost.Host()
    reply = host.reply(batch(hello(3, b'{"balancers": 4}'), FIRED))
    assert reply[4] == 7 and b"lanes" in reply and "Traceback" in capsys.readouterr().err
    assert host.brains == {}


def test_instances_are_isolated() -> None:
    text = json.dumps(conf()).encode()
    call_for = [CALL[:5] + n.to_bytes(2, "little") + CALL[7:] for n in range(4)]
    update_for = [UPDATE[:5] + n.to_bytes(2, "little") + UPDATE[7:] for n in range(4)]

    def run(members: range) -> dict[int, bytes]:
        host = simhost.Host()
        replies = {n: b"" for n in members}
        host.reply(batch(*(hello(n, text) for n in members), PAGE, *(update_for[n] for n in members)))
        for n in members:
            replies[n] = host.reply(batch(call_for[n]))
        return replies

    together = run(range(4))
    for n in range(4):
        assert run(range(n, n + 1))[n] == together[n]


def test_further_rules_are_optional_and_passed_on() -> None:
    plain = wire.settings(conf())
    assert plain.budget is None and plain.full_never_ran and plain.classes[0].places == (None, None)
    whole = conf()
    whole["rules"] = {**whole["rules"], "minExtra": 10, "furtherRatio": 0.1, "budgetSpan": 5.0, "fullUnproven": True}
    whole["lanes"][0] = {**whole["lanes"][0], "boundTo": [1, 0], "localitiesAllowed": [2]}
    found = wire.settings(whole)
    assert found.budget == api.AttemptBudget(10.0, 0.1, 5.0) and not found.full_never_ran
    assert found.classes[0].places == ((0, 1), (2,))


@pytest.mark.parametrize(
    ("rules", "lane", "key"),
    [
        ({"minExtra": 1}, {}, "furtherRatio"),
        ({"minExtra": -1, "furtherRatio": 0, "budgetSpan": 1}, {}, "minExtra"),
        ({"minExtra": 1, "furtherRatio": float("nan"), "budgetSpan": 1}, {}, "furtherRatio"),
        ({"minExtra": 1, "furtherRatio": True, "budgetSpan": 1}, {}, "furtherRatio"),
        ({"minExtra": 1, "furtherRatio": 0, "budgetSpan": 0}, {}, "budgetSpan"),
        ({"fullUnproven": 1}, {}, "fullUnproven"),
        ({}, {"boundTo": 1}, "boundTo"),
        ({}, {"boundTo": [-1]}, "boundTo"),
        ({}, {"localitiesAllowed": ["a"]}, "localitiesAllowed"),
        ({}, {"boundTo": None}, "boundTo"),
    ],
)
def test_bad_further_rules_are_named(rules: dict, lane: dict, key: str) -> None:
    whole = conf()
    whole["rules"] = {**whole["rules"], **rules}
    whole["lanes"][0] = {**whole["lanes"][0], **lane}
    with pytest.raises(ValueError, match=key):
        wire.settings(whole)
