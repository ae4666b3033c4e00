"""NVMe controllers: data structures worked out by hand, the order of commands, and the status of errors."""

import struct

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.protocol.nvme import admin
from harriertrack.protocol.nvme.admin import (
    ALL_NAMESPACES, DISCOVERY_NQN, DYNAMIC_CONTROLLER_ID, AdminOpcode, AnaState, Cns, ConnectData, ControllerInfo,
    ControllerTraits, DiscoveryEntry, FabricsCommandType, Feature, IoOpcode, LogPage, Namespace, NamespaceInfo,
    Property,
)  # fmt: skip
from harriertrack.protocol.nvme.controller import (
    AbortRequested, CommandCompleted, Connect, Controller, ControllerState, DataReturned, Deferred, IoCommand,
    Subsystem, parse_io_command,
)  # fmt: skip
from harriertrack.protocol.nvme.wire import Cqe, Sqe, Status

NQN, HOST, HOST_ID = "nqn.2026-01.example:scores", "nqn.2014-08.org.nvmexpress:uuid:h", bytes(range(16))
GUID = bytes(range(16, 32))
NAMESPACES = {1: Namespace(1, 2048, GUID), 2: Namespace(2, 4096, GUID[::-1], read_only=True)}
TRAITS = ControllerTraits(NQN, "S1", "0.2.0", ana=True, io_queues=4, queue_entries=64)
ENTRY = DiscoveryEntry(NQN, "192.0.2.7", 4420)


def subsystem(traits=TRAITS):
    return Subsystem(traits, NAMESPACES, (ENTRY,))


def connect_command(
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
    connect = Connect.parse(sqe, data)
    assert isinstance(connect, Connect)
    return connect


def ready_controller(nvm_subsystem=None, **fields):
    nvm_subsystem = nvm_subsystem or subsystem()
    controller = nvm_subsystem.connect(connect_command(**fields), 0)
    assert isinstance(controller, Controller)
    assert set_property(controller, Property.CC, 1 | 6 << 16 | 4 << 20).status == Status.SUCCESS
    assert get_property(controller, Property.CSTS) == 1
    return controller


def set_property(controller, offset, value, wide=0):
    sqe = Sqe(
        AdminOpcode.FABRICS,
        1,
        FabricsCommandType.PROPERTY_SET,
        (wide, offset, value & 0xFFFFFFFF, value >> 32, 0, 0),
    )
    return controller.handle_admin_command(sqe, 0).cqe


def get_property(controller, offset, wide=0):
    done = controller.handle_admin_command(
        Sqe(AdminOpcode.FABRICS, 1, FabricsCommandType.PROPERTY_GET, (wide, offset, 0, 0, 0, 0)), 0
    ).cqe
    return done.dw0 if done.status == Status.SUCCESS else done.status


def execute(controller, opcode, nsid=0, cdw=(), now=0, cid=5):
    return controller.handle_admin_command(Sqe(opcode, cid, nsid, (*cdw, *(0,) * (6 - len(cdw)))), now)


def get_log_page(controller, page, length, offset=0, retain_event=False, lsp=0):
    words = length // 4 - 1
    cdw = (
        page | lsp << 8 | retain_event << 15 | (words & 0xFFFF) << 16,
        words >> 16,
        offset & 0xFFFFFFFF,
        offset >> 32,
    )
    return execute(controller, AdminOpcode.GET_LOG_PAGE, cdw=cdw)


def status(answer):
    assert isinstance(answer, CommandCompleted), answer
    return answer.cqe.status


# -- data structures byte for byte


def test_connect_data_byte_for_byte():
    raw = ConnectData(HOST_ID, 0x1234, "nqn.a", "nqn.b").pack()
    assert raw[:18] == HOST_ID + b"\x34\x12" and raw[256:262] == b"nqn.a\0" and raw[512:518] == b"nqn.b\0"
    assert len(raw) == 1024 and raw.count(0) == 1024 - len(HOST_ID.strip(b"\0")) - 2 - 10
    assert ConnectData.unpack(raw) == ConnectData(HOST_ID, 0x1234, "nqn.a", "nqn.b")
    with pytest.raises(ValueError, match="NQN"):
        ConnectData(HOST_ID, 1, "n" * 224, "h").pack()
    for invalid in (raw[:256] + b"x" * 256 + raw[512:], raw[:256] + bytes(256) + raw[512:]):
        with pytest.raises(ValueError, match="name"):
            ConnectData.unpack(invalid)


def test_capabilities_byte_for_byte():
    controller = subsystem().connect(connect_command(), 0)
    # MQES 63, CQR, TO 10 (5 s), CSS: the NVM command set.
    assert get_property(controller, Property.CAP, wide=1) == 0x0000002000000000 | 0x0A000000 | 0x10000 | 63
    assert get_property(controller, Property.VS) == 0x00020000 and get_property(controller, Property.CC) == 0
    assert (
        get_property(controller, Property.CAP)
        == get_property(controller, Property.VS, wide=1)
        == Status.INVALID_FIELD
    )
    assert get_property(controller, 0x20) == Status.INVALID_FIELD


def test_identify_controller_byte_for_byte():
    controller = ready_controller()
    raw = execute(controller, AdminOpcode.IDENTIFY, cdw=(Cns.CONTROLLER,)).data
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
    controller = ready_controller()
    raw = execute(controller, AdminOpcode.IDENTIFY, 2, (Cns.NAMESPACE,)).data
    assert struct.unpack_from("<QQQ", raw) == (4096, 4096, 4096) and raw[30] == 1 and raw[99] == 1
    assert raw[92:96] == b"\x02\0\0\0" and raw[104:120] == GUID[::-1] and raw[128:132] == b"\0\0\x09\0"
    assert NamespaceInfo.unpack(raw) == NamespaceInfo(4096, 512, True, GUID[::-1], 2)
    assert execute(controller, AdminOpcode.IDENTIFY, 0, (Cns.ACTIVE_LIST,)).data == struct.pack(
        "<II", 1, 2
    ).ljust(4096, b"\0")
    assert execute(controller, AdminOpcode.IDENTIFY, 1, (Cns.ACTIVE_LIST,)).data[:8] == struct.pack(
        "<II", 2, 0
    )
    returned = execute(controller, AdminOpcode.IDENTIFY, 1, (Cns.DESCRIPTORS,)).data
    assert returned[:25] == b"\x02\x10\0\0" + GUID + b"\x04\x01\0\0\0" and not any(returned[25:])
    for nsid, cns in (
        (3, Cns.NAMESPACE),
        (0, Cns.NAMESPACE),
        (3, Cns.DESCRIPTORS),
        (ALL_NAMESPACES, Cns.ACTIVE_LIST),
    ):
        assert status(execute(controller, AdminOpcode.IDENTIFY, nsid, (cns,))) == Status.INVALID_NAMESPACE
    assert status(execute(controller, AdminOpcode.IDENTIFY, 1, (0x77,))) == Status.INVALID_FIELD


def test_log_pages_byte_for_byte():
    controller = ready_controller()
    controller.update_ana_states({1: AnaState.OPTIMIZED, 2: AnaState.INACCESSIBLE})
    raw = get_log_page(controller, LogPage.ANA, 16 + 2 * 36).data
    group = struct.pack("<IIQB15xI", 1, 1, 1, 1, 1) + struct.pack("<IIQB15xI", 2, 1, 1, 3, 2)
    assert raw == struct.pack("<QH6x", 1, 2) + group
    assert admin.parse_ana_log(raw) == {1: AnaState.OPTIMIZED, 2: AnaState.INACCESSIBLE}
    assert get_log_page(controller, LogPage.ANA, 16 + 2 * 32, lsp=1).data[16:48] == struct.pack(
        "<IIQB15x", 1, 0, 1, 1
    )
    assert get_log_page(controller, LogPage.ANA, 8, offset=8).data == raw[8:16]
    assert get_log_page(controller, LogPage.SMART, 512).data[:4] == struct.pack("<BHB", 0, 300, 100)
    assert get_log_page(controller, LogPage.ERROR, 64).data == bytes(64)
    for result in (get_log_page(controller, 0x99, 4), get_log_page(controller, LogPage.DISCOVERY, 4)):
        assert status(result) == 0x109
    for result in (
        get_log_page(controller, LogPage.SMART, 4, offset=516),
        get_log_page(controller, LogPage.SMART, 4, offset=2),
    ):
        assert status(result) == Status.INVALID_FIELD


def test_discovery_controller():
    nvm_subsystem = subsystem()
    controller = ready_controller(nvm_subsystem, nqn=DISCOVERY_NQN)
    assert ControllerInfo.unpack(
        execute(controller, AdminOpcode.IDENTIFY, cdw=(Cns.CONTROLLER,)).data
    ).discovery
    raw = get_log_page(controller, LogPage.DISCOVERY, 2048).data
    assert struct.unpack_from("<QQH", raw) == (1, 1, 0)
    assert raw[1024:1036] == bytes([3, 1, 2, 0, 0, 0, 0xFF, 0xFF, 32, 0, 0, 0])
    assert (
        raw[1056:1061] == b"4420 "
        and raw[1536:1546] == b"192.0.2.7 "
        and admin.parse_discovery_log(raw) == [ENTRY]
    )
    assert get_log_page(controller, LogPage.DISCOVERY, 1024, offset=1024).data == raw[1024:]
    refused = nvm_subsystem.connect(connect_command(1, controller.cntlid, DISCOVERY_NQN), 0)
    assert (
        refused.status == 0x182
        and status(execute(controller, AdminOpcode.IDENTIFY, 1, (Cns.NAMESPACE,))) == Status.INVALID_FIELD
    )
    for cut in (raw[:1500], raw[:10]):
        with pytest.raises(ValueError, match="discovery log"):
            admin.parse_discovery_log(cut)
    with pytest.raises(ValueError, match="ANA log"):
        admin.parse_ana_log(bytes(8))


# -- Connect


@pytest.mark.parametrize(("fields", "dw0"), [
    ({"nqn": "nqn.2026-01.example:other"}, 256 | 1 << 16), ({"cntlid": 7}, 16 | 1 << 16), ({"entries": 1}, 44),
    ({"queue": 1, "cntlid": 77}, 16 | 1 << 16),
])  # fmt: skip
def test_invalid_connect_command_is_refused(fields, dw0):
    assert subsystem().connect(connect_command(**fields), 0) == Cqe(9, 0x182, dw0, dnr=True)


def test_io_queues_connect_to_a_ready_controller_of_the_same_host():
    nvm_subsystem = subsystem()
    controller = nvm_subsystem.connect(connect_command(), 0)

    def connect_io(queue=1, **fields):
        result = nvm_subsystem.connect(connect_command(queue, controller.cntlid, **fields), 0)
        return "ok" if result is controller else (result.status, result.dw0)

    assert connect_io() == (Status.SEQUENCE, 0)
    set_property(controller, Property.CC, 1)
    assert connect_io() == "ok" and connect_io() == (0x182, 42) and connect_io(2) == "ok"
    # The limits are four queues, of 64 entries.
    assert connect_io(5) == (0x182, 42)
    assert connect_io(3, entries=65) == (0x182, 44)
    assert connect_io(3, host="nqn.2026-01.example:them") == (0x182, 512 | 1 << 16)
    assert connect_io(3, host_id=bytes(16)) == (0x182, 1 << 16)
    set_property(controller, Property.CC, 0)
    assert controller.must_close_io_queues and connect_io(3) == (Status.SEQUENCE, 0)
    set_property(controller, Property.CC, 1)
    assert connect_io() == "ok"  # the reset removed the I/O queues
    nvm_subsystem.remove_controller(controller)
    assert controller.state is ControllerState.REMOVED and connect_io() == (0x182, 16 | 1 << 16)


def test_malformed_connect_command_is_refused():
    sqe = Sqe(AdminOpcode.FABRICS, 9, FabricsCommandType.CONNECT)
    assert Connect.parse(sqe, bytes(1000)).status == 0x180 and Connect.parse(sqe, bytes(1024)).status == 0x182
    odd = Sqe(AdminOpcode.FABRICS, 9, FabricsCommandType.CONNECT, (1, 0, 0, 0, 0, 0))
    assert Connect.parse(odd, bytes(1024)).status == 0x180
    assert (
        Connect.parse(sqe, bytes(256) + b"\xff\xfe".ljust(256, b"\0") + b"h".ljust(512, b"\0")).status
        == 0x182
    )


# -- lifecycle


def test_only_fabrics_commands_before_enable_and_after_shutdown():
    controller = subsystem().connect(connect_command(), 0)
    for opcode in (AdminOpcode.IDENTIFY, AdminOpcode.KEEP_ALIVE, AdminOpcode.ASYNC_EVENT):
        assert status(execute(controller, opcode)) == Status.SEQUENCE
    assert (
        set_property(controller, Property.CC, 1, wide=1).status
        == set_property(controller, Property.CSTS, 1).status
        == Status.INVALID_FIELD
    )
    set_property(controller, Property.CC, 1)
    assert status(execute(controller, AdminOpcode.KEEP_ALIVE)) == Status.SUCCESS
    assert status(execute(controller, 0x55)) == Status.INVALID_OPCODE
    again = controller.handle_admin_command(Sqe(AdminOpcode.FABRICS, 1, FabricsCommandType.CONNECT), 0)
    assert status(again) == Status.SEQUENCE
    set_property(controller, Property.CC, 1 | 0b01 << 14)
    assert get_property(controller, Property.CSTS) == 0b1001 and controller.must_close_io_queues
    assert status(execute(controller, AdminOpcode.IDENTIFY)) == Status.SEQUENCE


def test_keep_alive():
    controller = ready_controller(keep_alive=2000)
    assert controller.keep_alive_expires_at() == 2_500_000
    execute(controller, AdminOpcode.KEEP_ALIVE, now=1_000_000)
    assert controller.keep_alive_expires_at() == 3_500_000
    controller.record_host_activity(2_000_000)  # other commands restart the timer too
    assert controller.keep_alive_expires_at() == 4_500_000
    execute(controller, AdminOpcode.SET_FEATURES, cdw=(Feature.KEEP_ALIVE, 500), now=2_000_000)
    assert (
        controller.keep_alive_expires_at() == 3_000_000
        and execute(controller, AdminOpcode.GET_FEATURES, cdw=(Feature.KEEP_ALIVE,)).cqe.dw0 == 500
    )
    assert ready_controller().keep_alive_expires_at() is None


def test_queues_are_granted_up_to_the_limit():
    controller = ready_controller()
    assert (
        execute(controller, AdminOpcode.SET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES, 7 | 7 << 16)).cqe.dw0
        == 0x00030003
    )
    assert (
        execute(controller, AdminOpcode.SET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES, 1 | 2 << 16)).cqe.dw0
        == 0x00010001
    )
    assert (
        execute(controller, AdminOpcode.GET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES,)).cqe.dw0 == 0x00010001
    )
    assert (
        status(execute(controller, AdminOpcode.SET_FEATURES, cdw=(Feature.NUMBER_OF_QUEUES, 0xFFFF)))
        == Status.INVALID_FIELD
    )
    assert status(execute(controller, AdminOpcode.SET_FEATURES, cdw=(0x55, 1))) == Status.INVALID_FIELD
    assert status(execute(controller, AdminOpcode.GET_FEATURES, cdw=(0x55,))) == Status.INVALID_FIELD


def test_ana_changes_are_reported_once_until_the_log_page_is_read():
    controller = ready_controller()
    assert controller.update_ana_states({1: AnaState.OPTIMIZED}) is None  # the initial states are no change
    assert isinstance(execute(controller, AdminOpcode.ASYNC_EVENT, cid=40), Deferred) and isinstance(
        execute(controller, AdminOpcode.ASYNC_EVENT, cid=41), Deferred
    )
    assert controller.update_ana_states({1: AnaState.OPTIMIZED}) is None
    assert controller.update_ana_states({1: AnaState.INACCESSIBLE}) == Cqe(40, dw0=0x0C0302)
    # No further event until the log page is read without the Retain Asynchronous Event bit.
    assert controller.update_ana_states({1: AnaState.OPTIMIZED}) is None
    get_log_page(controller, LogPage.ANA, 16, retain_event=True)
    assert controller.update_ana_states({1: AnaState.INACCESSIBLE}) is None
    get_log_page(controller, LogPage.ANA, 16)
    assert controller.update_ana_states({1: AnaState.OPTIMIZED}) == Cqe(41, dw0=0x0C0302)
    get_log_page(controller, LogPage.ANA, 16)
    # Without an open event request the event is queued.
    assert controller.update_ana_states({1: AnaState.INACCESSIBLE}) is None
    assert execute(controller, AdminOpcode.ASYNC_EVENT, cid=42).cqe == Cqe(42, dw0=0x0C0302)
    execute(controller, AdminOpcode.SET_FEATURES, cdw=(Feature.ASYNC_EVENTS, 0))
    get_log_page(controller, LogPage.ANA, 16)
    assert (
        isinstance(execute(controller, AdminOpcode.ASYNC_EVENT, cid=43), Deferred)
        and controller.update_ana_states({1: AnaState.OPTIMIZED}) is None
    )
    assert controller.abort_event_request(43) and not controller.abort_event_request(43)


def test_event_requests_are_limited():
    controller = ready_controller()
    for cid in range(4):
        assert isinstance(execute(controller, AdminOpcode.ASYNC_EVENT, cid=cid), Deferred)
    assert status(execute(controller, AdminOpcode.ASYNC_EVENT, cid=4)) == 0x105
    set_property(controller, Property.CC, 0)
    set_property(controller, Property.CC, 1)
    # The reset removed the others.
    assert isinstance(execute(controller, AdminOpcode.ASYNC_EVENT, cid=4), Deferred)


def test_abort_returns_its_target():
    assert execute(ready_controller(), AdminOpcode.ABORT, cdw=(3 | 0x1234 << 16,)) == AbortRequested(
        5, 3, 0x1234
    )


def test_controller_ids_are_not_reused_at_once():
    nvm_subsystem = subsystem()
    ids = [nvm_subsystem.connect(connect_command(), 0).cntlid for _ in range(5)]
    assert len(set(ids)) == 5 and 0 not in ids
    nvm_subsystem.remove_controller(nvm_subsystem.controllers[ids[2]])
    assert nvm_subsystem.connect(connect_command(), 0).cntlid not in ids


# -- I/O commands


def parse_io(opcode, nsid=1, start=0, blocks=1, length=None, flags=0, data=b""):
    cdw = (start & 0xFFFFFFFF, start >> 32, blocks - 1 | flags, 0, 0, 0)
    return parse_io_command(
        Sqe(opcode, 5, nsid, cdw, length=blocks * 512 if length is None else length),
        data,
        NAMESPACES,
        1 << 20,
    )


def test_io_commands_are_parsed_to_byte_ranges():
    assert parse_io(IoOpcode.READ, start=3, blocks=2) == IoCommand(IoOpcode.READ, 1, 1536, 1024)
    assert parse_io(IoOpcode.WRITE, start=2047, flags=1 << 30) == IoCommand(
        IoOpcode.WRITE, 1, 2047 * 512, 512, fua=True
    )
    assert parse_io(IoOpcode.WRITE_ZEROES, blocks=2048, length=0) == IoCommand(
        IoOpcode.WRITE_ZEROES, 1, 0, 1 << 20
    )
    assert parse_io(IoOpcode.FLUSH, nsid=ALL_NAMESPACES) == IoCommand(IoOpcode.FLUSH, ALL_NAMESPACES)
    assert parse_io(IoOpcode.COMPARE, nsid=2) == IoCommand(IoOpcode.COMPARE, 2, 0, 512)


@pytest.mark.parametrize(("fields", "code"), [
    (dict(opcode=0x33), Status.INVALID_OPCODE), (dict(opcode=IoOpcode.READ, nsid=3), Status.INVALID_NAMESPACE),
    (dict(opcode=IoOpcode.READ, nsid=ALL_NAMESPACES), Status.INVALID_NAMESPACE), (dict(opcode=IoOpcode.FLUSH, nsid=9), Status.INVALID_NAMESPACE),
    (dict(opcode=IoOpcode.READ, start=2048), Status.LBA_RANGE), (dict(opcode=IoOpcode.READ, start=2047, blocks=2), Status.LBA_RANGE),
    (dict(opcode=IoOpcode.READ, start=1 << 63), Status.LBA_RANGE), (dict(opcode=IoOpcode.WRITE, nsid=2), Status.WRITE_PROTECTED),
    (dict(opcode=IoOpcode.DATASET_MANAGEMENT, nsid=2), Status.WRITE_PROTECTED), (dict(opcode=IoOpcode.READ, length=513), Status.SGL_LENGTH),
    (dict(opcode=IoOpcode.READ, nsid=2, blocks=4096), Status.INVALID_FIELD),
])  # fmt: skip
def test_invalid_io_command_fails(fields, code):
    assert parse_io(**fields) == Cqe(5, code, dnr=True)


def test_dataset_management():
    ranges = struct.pack("<IIQ", 0, 8, 16) + struct.pack("<IIQ", 0, 0, 5) + struct.pack("<IIQ", 0, 1, 2047)

    def parse(count=3, attributes=0b100, data=ranges):
        return parse_io_command(
            Sqe(IoOpcode.DATASET_MANAGEMENT, 5, 1, (count - 1, attributes, 0, 0, 0, 0)),
            data,
            NAMESPACES,
            1 << 20,
        )

    assert parse().ranges == ((8192, 4096), (2047 * 512, 512)) and parse(attributes=0b001).ranges == ()
    assert parse(count=4).status == Status.SGL_LENGTH
    assert parse(count=1, data=struct.pack("<IIQ", 0, 2, 2047)).status == Status.LBA_RANGE


@given(st.binary(min_size=64, max_size=64), st.binary(max_size=200))
@settings(max_examples=300, deadline=None)
def test_no_submission_queue_entry_raises_an_exception(raw, data):
    sqe, controller = Sqe.unpack(raw), ready_controller()
    assert isinstance(
        controller.handle_admin_command(sqe, 1), CommandCompleted | DataReturned | Deferred | AbortRequested
    )
    assert isinstance(parse_io_command(sqe, data, NAMESPACES, 1 << 20), IoCommand | Cqe)
    assert isinstance(Connect.parse(sqe, data), Connect | Cqe)


def test_host_behavior_support_enables_retry_delays():
    controller = ready_controller()
    on, off = b"\1".ljust(512, b"\0"), bytes(512)
    sqe = Sqe(AdminOpcode.SET_FEATURES, 1, 0, (0x16, 0, 0, 0, 0, 0))
    assert not controller.honors_retry_delay
    assert (
        status(controller.handle_admin_command(sqe, 0, on)) == Status.SUCCESS
        and controller.honors_retry_delay
    )
    returned = controller.handle_admin_command(Sqe(AdminOpcode.GET_FEATURES, 2, 0, (0x16, 0, 0, 0, 0, 0)), 0)
    assert isinstance(returned, DataReturned) and returned.data == on
    for invalid in (b"", on[:511], b"\2" + bytes(511)):
        assert (
            status(controller.handle_admin_command(sqe, 0, invalid)) == Status.INVALID_FIELD
            and controller.honors_retry_delay
        )
    assert (
        status(controller.handle_admin_command(sqe, 0, off)) == Status.SUCCESS
        and not controller.honors_retry_delay
    )
    controller.handle_admin_command(sqe, 0, on)
    controller._write_cc(0)  # controller reset
    assert not controller.honors_retry_delay
