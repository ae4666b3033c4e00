"""A controller without I/O: bytes by hand, the order of things, and what is turned down with which status."""

import struct

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.protocol.nvme import admin
from harriertrack.protocol.nvme.admin import (
    ALL_NAMESPACES, DISCOVERY_NQN, DYNAMIC_CONTROLLER_ID, AdminOpcode, AnaState, Cns, ConnectData, ControllerInfo, DiscoveryEntry, FabricsCommandType, Feature, IoOpcode,
    Namespace, NamespaceInfo, LogPage, Property, ControllerTraits,
)  # fmt: skip
from harriertrack.protocol.nvme.controller import (
    AbortRequested, IoCommand, Connect, Controller, CommandCompleted, Deferred, ControllerState, Subsystem, DataReturned, parse_io_command,
)  # fmt: skip
from harriertrack.protocol.nvme.wire import Cqe, Sqe, Status

NQN, HOST, HOST_ID = "nqn.2026-01.example:scores", "nqn.2014-08.org.nvmexpress:uuid:h", bytes(range(16))
GUID = bytes(range(16, 32))
NAMESPACES = {1: Namespace(1, 2048, GUID), 2: Namespace(2, 4096, GUID[::-1], read_only=True)}
TRAITS = ControllerTraits(NQN, "S1", "0.2.0", ana=True, io_queues=4, queue_entries=64)
ENTRY = DiscoveryEntry(NQN, "192.0.2.7", 4420)


def subsystem(traits=TRAITS):
    return Subsystem(traits, NAMESPACES, (ENTRY,))


def asking(
    queue=0,
    cntlid=DYNAMIC_CONTROLLER_ID,
    nqn=NQN,
    entries=32,
    keep_alive=0,
    host=HOST,
    host_id=HOST_ID,
    cid=9,
):
    data = ConnectData(host_id, cntlid, nqn, host).pack()
    sqe = Sqe(
        AdminOpcode.FABRICS,
        cid,
        FabricsCommandType.CONNECT,
        (queue << 16, entries - 1 | 0b100 << 16, keep_alive, 0, 0, 0),
    )
    read = Connect.parse(sqe, data)
    assert isinstance(read, Connect)
    return read


def ready(one=None, **how):
    whole = one or subsystem()
    controller = whole.connect(asking(**how), 0)
    assert isinstance(controller, Controller)
    assert put(controller, Property.CC, 1 | 6 << 16 | 4 << 20).status == Status.SUCCESS
    assert get(controller, Property.CSTS) == 1
    return controller


def put(controller, offset, value, wide=0):
    sqe = Sqe(
        AdminOpcode.FABRICS,
        1,
        FabricsCommandType.PROPERTY_SET,
        (wide, offset, value & 0xFFFFFFFF, value >> 32, 0, 0),
    )
    return controller.admin(sqe, 0).cqe


def get(controller, offset, wide=0):
    done = controller.admin(
        Sqe(AdminOpcode.FABRICS, 1, FabricsCommandType.PROPERTY_GET, (wide, offset, 0, 0, 0, 0)), 0
    ).cqe
    return done.dw0 if done.status == Status.SUCCESS else done.status


def ask(controller, opcode, nsid=0, cdw=(), now=0, cid=5):
    return controller.admin(Sqe(opcode, cid, nsid, (*cdw, *(0,) * (6 - len(cdw)))), now)


def log(controller, page, length, offset=0, keep=False, lsp=0):
    words = length // 4 - 1
    cdw = (
        page | lsp << 8 | keep << 15 | (words & 0xFFFF) << 16,
        words >> 16,
        offset & 0xFFFFFFFF,
        offset >> 32,
    )
    return ask(controller, AdminOpcode.GET_LOG_PAGE, cdw=cdw)


def status(answer):
    assert isinstance(answer, CommandCompleted), answer
    return answer.cqe.status


# -- bytes by hand


def test_connect_data_byte_for_byte():
    raw = ConnectData(HOST_ID, 0x1234, "nqn.a", "nqn.b").pack()
    assert raw[:18] == HOST_ID + b"\x34\x12" and raw[256:262] == b"nqn.a\0" and raw[512:518] == b"nqn.b\0"
    assert len(raw) == 1024 and raw.count(0) == 1024 - len(HOST_ID.strip(b"\0")) - 2 - 10
    assert ConnectData.unpack(raw) == ConnectData(HOST_ID, 0x1234, "nqn.a", "nqn.b")
    with pytest.raises(ValueError, match="NQN"):
        ConnectData(HOST_ID, 1, "n" * 224, "h").pack()
    for bad in (raw[:256] + b"x" * 256 + raw[512:], raw[:256] + bytes(256) + raw[512:]):
        with pytest.raises(ValueError, match="name"):
            ConnectData.unpack(bad)


def test_capabilities_byte_for_byte():
    controller = subsystem().connect(asking(), 0)
    # MQES 63, CQR, TO 10 (5 s), CSS: the NVM command set.
    assert get(controller, Property.CAP, wide=1) == 0x0000002000000000 | 0x0A000000 | 0x10000 | 63
    assert get(controller, Property.VS) == 0x00020000 and get(controller, Property.CC) == 0
    assert get(controller, Property.CAP) == get(controller, Property.VS, wide=1) == Status.INVALID_FIELD
    assert get(controller, 0x20) == Status.INVALID_FIELD


def test_identify_controller_byte_for_byte():
    controller = ready()
    raw = ask(controller, AdminOpcode.IDENTIFY, cdw=(Cns.CONTROLLER,)).data
    assert len(raw) == 4096
    assert raw[4:24] == b"S1".ljust(20) and raw[24:64] == b"harriertrack head".ljust(40)
    assert raw[76] == 0b1010 and raw[77] == 8 and raw[78:80] == struct.pack("<H", controller.cntlid)
    assert raw[80:84] == b"\0\0\x02\0" and struct.unpack_from("<I", raw, 92) == (1 << 11,) and raw[111] == 1
    assert struct.unpack_from("<HHH", raw, 128) == (1, 5, 20) and raw[512:514] == b"\x66\x44"
    assert struct.unpack_from("<IH", raw, 516) == (2, 0b1101) and raw[525] == 0b111
    assert raw[342:352] == bytes([10, 0b111]) + struct.pack("<II", 2, 2)
    assert raw[768 : 768 + len(NQN) + 1] == NQN.encode() + b"\0"
    assert struct.unpack_from("<IIHBB", raw, 1792) == ((64 + 8192) // 16, 1, 0, 0, 1)
    known = ControllerInfo.unpack(raw)
    assert (known.nqn, known.max_transfer, known.in_capsule, known.ana) == (NQN, 1 << 20, 8192, True)


def test_identify_namespaces_byte_for_byte():
    controller = ready()
    raw = ask(controller, AdminOpcode.IDENTIFY, 2, (Cns.NAMESPACE,)).data
    assert struct.unpack_from("<QQQ", raw) == (4096, 4096, 4096) and raw[30] == 1 and raw[99] == 1
    assert raw[92:96] == b"\x02\0\0\0" and raw[104:120] == GUID[::-1] and raw[128:132] == b"\0\0\x09\0"
    assert NamespaceInfo.unpack(raw) == NamespaceInfo(4096, 512, True, GUID[::-1], 2)
    assert ask(controller, AdminOpcode.IDENTIFY, 0, (Cns.ACTIVE_LIST,)).data == struct.pack(
        "<II", 1, 2
    ).ljust(4096, b"\0")
    assert ask(controller, AdminOpcode.IDENTIFY, 1, (Cns.ACTIVE_LIST,)).data[:8] == struct.pack("<II", 2, 0)
    told = ask(controller, AdminOpcode.IDENTIFY, 1, (Cns.DESCRIPTORS,)).data
    assert told[:25] == b"\x02\x10\0\0" + GUID + b"\x04\x01\0\0\0" and not any(told[25:])
    for nsid, cns in (
        (3, Cns.NAMESPACE),
        (0, Cns.NAMESPACE),
        (3, Cns.DESCRIPTORS),
        (ALL_NAMESPACES, Cns.ACTIVE_LIST),
    ):
        assert status(ask(controller, AdminOpcode.IDENTIFY, nsid, (cns,))) == Status.INVALID_NAMESPACE
    assert status(ask(controller, AdminOpcode.IDENTIFY, 1, (0x77,))) == Status.INVALID_FIELD


def test_logs_byte_for_byte():
    controller = ready()
    controller.update_ana_states({1: AnaState.OPTIMIZED, 2: AnaState.INACCESSIBLE})
    raw = log(controller, LogPage.ANA, 16 + 2 * 36).data
    group = struct.pack("<IIQB15xI", 1, 1, 1, 1, 1) + struct.pack("<IIQB15xI", 2, 1, 1, 3, 2)
    assert raw == struct.pack("<QH6x", 1, 2) + group
    assert admin.parse_ana(raw) == {1: AnaState.OPTIMIZED, 2: AnaState.INACCESSIBLE}
    assert log(controller, LogPage.ANA, 16 + 2 * 32, lsp=1).data[16:48] == struct.pack("<IIQB15x", 1, 0, 1, 1)
    assert log(controller, LogPage.ANA, 8, offset=8).data == raw[8:16]
    assert log(controller, LogPage.SMART, 512).data[:4] == struct.pack("<BHB", 0, 300, 100)
    assert log(controller, LogPage.ERROR, 64).data == bytes(64)
    for bad in (log(controller, 0x99, 4), log(controller, LogPage.DISCOVERY, 4)):
        assert status(bad) == 0x109
    for bad in (log(controller, LogPage.SMART, 4, offset=516), log(controller, LogPage.SMART, 4, offset=2)):
        assert status(bad) == Status.INVALID_FIELD


def test_discovery():
    whole = subsystem()
    one = ready(whole, nqn=DISCOVERY_NQN)
    assert ControllerInfo.unpack(ask(one, AdminOpcode.IDENTIFY, cdw=(Cns.CONTROLLER,)).data).discovery
    raw = log(one, LogPage.DISCOVERY, 2048).data
    assert struct.unpack_from("<QQH", raw) == (1, 1, 0)
    assert raw[1024:1036] == bytes([3, 1, 2, 0, 0, 0, 0xFF, 0xFF, 32, 0, 0, 0])
    assert (
        raw[1056:1061] == b"4420 "
        and raw[1536:1546] == b"192.0.2.7 "
        and admin.parse_discovery_log(raw) == [ENTRY]
    )
    assert log(one, LogPage.DISCOVERY, 1024, offset=1024).data == raw[1024:]
    refused = whole.connect(asking(1, one.cntlid, DISCOVERY_NQN), 0)
    assert (
        refused.status == 0x182
        and status(ask(one, AdminOpcode.IDENTIFY, 1, (Cns.NAMESPACE,))) == Status.INVALID_FIELD
    )
    for cut in (raw[:1500], raw[:10]):
        with pytest.raises(ValueError, match="discovery log"):
            admin.parse_discovery_log(cut)
    with pytest.raises(ValueError, match="ANA log"):
        admin.parse_ana(bytes(8))


# -- Connect


@pytest.mark.parametrize(("how", "dw0"), [
    ({"nqn": "nqn.2026-01.example:other"}, 256 | 1 << 16), ({"cntlid": 7}, 16 | 1 << 16), ({"entries": 1}, 44),
    ({"queue": 1, "cntlid": 77}, 16 | 1 << 16),
])  # fmt: skip
def test_what_does_not_connect(how, dw0):
    assert subsystem().connect(asking(**how), 0) == Cqe(9, 0x182, dw0, dnr=True)


def test_io_queues_connect_once_the_controller_is_ready_and_for_its_host_alone():
    whole = subsystem()
    one = whole.connect(asking(), 0)

    def io(queue=1, **how):
        got = whole.connect(asking(queue, one.cntlid, **how), 0)
        return "ok" if got is one else (got.status, got.dw0)

    assert io() == (Status.SEQUENCE, 0)
    put(one, Property.CC, 1)
    assert io() == "ok" and io() == (0x182, 42) and io(2) == "ok"
    assert io(5) == (0x182, 42) and io(3, entries=65) == (0x182, 44)  # four queues, of 64 entries
    assert io(3, host="nqn.2026-01.example:them") == (0x182, 512 | 1 << 16)
    assert io(3, host_id=bytes(16)) == (0x182, 1 << 16)
    put(one, Property.CC, 0)
    assert one.must_close_io_queues and io(3) == (Status.SEQUENCE, 0)
    put(one, Property.CC, 1)
    assert io() == "ok"  # a reset made its queues void
    whole.remove_controller(one)
    assert one.state is ControllerState.GONE and io() == (0x182, 16 | 1 << 16)


def test_a_connect_that_says_nonsense():
    sqe = Sqe(AdminOpcode.FABRICS, 9, FabricsCommandType.CONNECT)
    assert Connect.parse(sqe, bytes(1000)).status == 0x180 and Connect.parse(sqe, bytes(1024)).status == 0x182
    odd = Sqe(AdminOpcode.FABRICS, 9, FabricsCommandType.CONNECT, (1, 0, 0, 0, 0, 0))
    assert Connect.parse(odd, bytes(1024)).status == 0x180
    assert (
        Connect.parse(sqe, bytes(256) + b"\xff\xfe".ljust(256, b"\0") + b"h".ljust(512, b"\0")).status
        == 0x182
    )


# -- life


def test_nothing_but_fabrics_before_it_is_enabled_and_after_it_was_shut_down():
    one = subsystem().connect(asking(), 0)
    for opcode in (AdminOpcode.IDENTIFY, AdminOpcode.KEEP_ALIVE, AdminOpcode.ASYNC_EVENT):
        assert status(ask(one, opcode)) == Status.SEQUENCE
    assert (
        put(one, Property.CC, 1, wide=1).status == put(one, Property.CSTS, 1).status == Status.INVALID_FIELD
    )
    put(one, Property.CC, 1)
    assert status(ask(one, AdminOpcode.KEEP_ALIVE)) == Status.SUCCESS
    assert status(ask(one, 0x55)) == Status.INVALID_OPCODE
    again = one.admin(Sqe(AdminOpcode.FABRICS, 1, FabricsCommandType.CONNECT), 0)
    assert status(again) == Status.SEQUENCE
    put(one, Property.CC, 1 | 0b01 << 14)
    assert get(one, Property.CSTS) == 0b1001 and one.must_close_io_queues
    assert status(ask(one, AdminOpcode.IDENTIFY)) == Status.SEQUENCE


def test_keep_alive():
    one = ready(keep_alive=2000)
    assert one.keep_alive_expires_at() == 2_500_000
    ask(one, AdminOpcode.KEEP_ALIVE, now=1_000_000)
    assert one.keep_alive_expires_at() == 3_500_000
    one.record_host_activity(2_000_000)  # other traffic counts too
    assert one.keep_alive_expires_at() == 4_500_000
    ask(one, AdminOpcode.SET_FEATURES, cdw=(Feature.KEEP_ALIVE, 500), now=2_000_000)
    assert (
        one.keep_alive_expires_at() == 3_000_000
        and ask(one, AdminOpcode.GET_FEATURES, cdw=(Feature.KEEP_ALIVE,)).cqe.dw0 == 500
    )
    assert ready().keep_alive_expires_at() is None


def test_queues_are_granted_up_to_what_there_is():
    one = ready()
    assert (
        ask(one, AdminOpcode.SET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES, 7 | 7 << 16)).cqe.dw0 == 0x00030003
    )
    assert (
        ask(one, AdminOpcode.SET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES, 1 | 2 << 16)).cqe.dw0 == 0x00010001
    )
    assert ask(one, AdminOpcode.GET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES,)).cqe.dw0 == 0x00010001
    assert (
        status(ask(one, AdminOpcode.SET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES, 0xFFFF)))
        == Status.INVALID_FIELD
    )
    assert status(ask(one, AdminOpcode.SET_FEATURES, cdw=(0x55, 1))) == Status.INVALID_FIELD
    assert status(ask(one, AdminOpcode.GET_FEATURES, cdw=(0x55,))) == Status.INVALID_FIELD


def test_changes_of_access_are_told_once_until_the_log_is_read():
    one = ready()
    assert one.update_ana_states({1: AnaState.OPTIMIZED}) is None  # what it began with is no change
    assert isinstance(ask(one, AdminOpcode.ASYNC_EVENT, cid=40), Deferred) and isinstance(
        ask(one, AdminOpcode.ASYNC_EVENT, cid=41), Deferred
    )
    assert one.update_ana_states({1: AnaState.OPTIMIZED}) is None
    assert one.update_ana_states({1: AnaState.INACCESSIBLE}) == Cqe(40, dw0=0x0C0302)
    assert one.update_ana_states({1: AnaState.OPTIMIZED}) is None  # not before the log is read ...
    log(one, LogPage.ANA, 16, keep=True)
    assert one.update_ana_states({1: AnaState.INACCESSIBLE}) is None  # ... and the event not retained
    log(one, LogPage.ANA, 16)
    assert one.update_ana_states({1: AnaState.OPTIMIZED}) == Cqe(41, dw0=0x0C0302)
    log(one, LogPage.ANA, 16)
    assert one.update_ana_states({1: AnaState.INACCESSIBLE}) is None  # nobody asks: it waits
    assert ask(one, AdminOpcode.ASYNC_EVENT, cid=42).cqe == Cqe(42, dw0=0x0C0302)
    ask(one, AdminOpcode.SET_FEATURES, cdw=(Feature.ASYNC_EVENTS, 0))
    log(one, LogPage.ANA, 16)
    assert (
        isinstance(ask(one, AdminOpcode.ASYNC_EVENT, cid=43), Deferred)
        and one.update_ana_states({1: AnaState.OPTIMIZED}) is None
    )
    assert one.abort_event_request(43) and not one.abort_event_request(43)


def test_so_many_event_requests_and_no_more():
    one = ready()
    for cid in range(4):
        assert isinstance(ask(one, AdminOpcode.ASYNC_EVENT, cid=cid), Deferred)
    assert status(ask(one, AdminOpcode.ASYNC_EVENT, cid=4)) == 0x105
    put(one, Property.CC, 0)
    put(one, Property.CC, 1)
    assert isinstance(ask(one, AdminOpcode.ASYNC_EVENT, cid=4), Deferred)  # a reset forgot the others


def test_abort_names_its_target():
    assert ask(ready(), AdminOpcode.ABORT, cdw=(3 | 0x1234 << 16,)) == AbortRequested(5, 3, 0x1234)


def test_a_controller_id_is_given_once():
    whole = subsystem()
    ids = [whole.connect(asking(), 0).cntlid for _ in range(5)]
    assert len(set(ids)) == 5 and 0 not in ids
    whole.remove_controller(whole.controllers[ids[2]])
    assert whole.connect(asking(), 0).cntlid not in ids


# -- I/O commands


def io(opcode, nsid=1, start=0, blocks=1, length=None, flags=0, data=b""):
    cdw = (start & 0xFFFFFFFF, start >> 32, blocks - 1 | flags, 0, 0, 0)
    return parse_io_command(
        Sqe(opcode, 5, nsid, cdw, length=blocks * 512 if length is None else length),
        data,
        NAMESPACES,
        1 << 20,
    )


def test_io_commands_in_bytes():
    assert io(IoOpcode.READ, start=3, blocks=2) == IoCommand(IoOpcode.READ, 1, 1536, 1024)
    assert io(IoOpcode.WRITE, start=2047, flags=1 << 30) == IoCommand(
        IoOpcode.WRITE, 1, 2047 * 512, 512, fua=True
    )
    assert io(IoOpcode.WRITE_ZEROES, blocks=2048, length=0) == IoCommand(IoOpcode.WRITE_ZEROES, 1, 0, 1 << 20)
    assert io(IoOpcode.FLUSH, nsid=ALL_NAMESPACES) == IoCommand(IoOpcode.FLUSH, ALL_NAMESPACES)
    assert io(IoOpcode.COMPARE, nsid=2) == IoCommand(IoOpcode.COMPARE, 2, 0, 512)


@pytest.mark.parametrize(("how", "code"), [
    (dict(opcode=0x33), Status.INVALID_OPCODE), (dict(opcode=IoOpcode.READ, nsid=3), Status.INVALID_NAMESPACE),
    (dict(opcode=IoOpcode.READ, nsid=ALL_NAMESPACES), Status.INVALID_NAMESPACE), (dict(opcode=IoOpcode.FLUSH, nsid=9), Status.INVALID_NAMESPACE),
    (dict(opcode=IoOpcode.READ, start=2048), Status.LBA_RANGE), (dict(opcode=IoOpcode.READ, start=2047, blocks=2), Status.LBA_RANGE),
    (dict(opcode=IoOpcode.READ, start=1 << 63), Status.LBA_RANGE), (dict(opcode=IoOpcode.WRITE, nsid=2), Status.WRITE_PROTECTED),
    (dict(opcode=IoOpcode.DATASET_MANAGEMENT, nsid=2), Status.WRITE_PROTECTED), (dict(opcode=IoOpcode.READ, length=513), Status.SGL_LENGTH),
    (dict(opcode=IoOpcode.READ, nsid=2, blocks=4096), Status.INVALID_FIELD),
])  # fmt: skip
def test_io_commands_that_ask_too_much(how, code):
    assert io(**how) == Cqe(5, code, dnr=True)


def test_dataset_management():
    ranges = struct.pack("<IIQ", 0, 8, 16) + struct.pack("<IIQ", 0, 0, 5) + struct.pack("<IIQ", 0, 1, 2047)

    def ask(count=3, attributes=0b100, data=ranges):
        return parse_io_command(
            Sqe(IoOpcode.DATASET_MANAGEMENT, 5, 1, (count - 1, attributes, 0, 0, 0, 0)),
            data,
            NAMESPACES,
            1 << 20,
        )

    assert ask().ranges == ((8192, 4096), (2047 * 512, 512)) and ask(attributes=0b001).ranges == ()
    assert ask(count=4).status == Status.SGL_LENGTH
    assert ask(count=1, data=struct.pack("<IIQ", 0, 2, 2047)).status == Status.LBA_RANGE


@given(st.binary(min_size=64, max_size=64), st.binary(max_size=200))
@settings(max_examples=300, deadline=None)
def test_no_entry_makes_a_controller_fail(raw, data):
    sqe, one = Sqe.unpack(raw), ready()
    assert isinstance(one.admin(sqe, 1), CommandCompleted | DataReturned | Deferred | AbortRequested)
    assert isinstance(parse_io_command(sqe, data, NAMESPACES, 1 << 20), IoCommand | Cqe)
    assert isinstance(Connect.parse(sqe, data), Connect | Cqe)


def test_a_host_says_that_it_honours_retry_delays():
    one = ready()
    on, off = b"\1".ljust(512, b"\0"), bytes(512)
    sqe = Sqe(AdminOpcode.SET_FEATURES, 1, 0, (0x16, 0, 0, 0, 0, 0))
    assert not one.honors_retry_delay
    assert status(one.admin(sqe, 0, on)) == Status.SUCCESS and one.honors_retry_delay
    told = one.admin(Sqe(AdminOpcode.GET_FEATURES, 2, 0, (0x16, 0, 0, 0, 0, 0)), 0)
    assert isinstance(told, DataReturned) and told.data == on
    for wrong in (b"", on[:511], b"\2" + bytes(511)):
        assert status(one.admin(sqe, 0, wrong)) == Status.INVALID_FIELD and one.honors_retry_delay
    assert status(one.admin(sqe, 0, off)) == Status.SUCCESS and not one.honors_retry_delay
    one.admin(sqe, 0, on)
    one._configure(0)  # a reset: the host begins anew
    assert not one.honors_retry_delay
