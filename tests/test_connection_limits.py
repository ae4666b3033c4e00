"""How many connections a head has: by its descriptors, and by its memory where that is short."""

import pytest

from harriertrack.decisions.connection_limits import (
    BASE_BYTES,
    CLIENT_BYTES,
    MIN_CONNECTION_MEMORY_BYTES,
    MIN_SPARE,
    NODE_BYTES,
    ConnectionLimits,
)

MIB = 1 << 20


@pytest.mark.parametrize(
    ("descriptors", "memory_mib", "limits"),
    [(1024, 192, (675, 256, 256)), (384, 192, (253, 96, 96)), (256, 64, (168, 64, 64)), (1024, 32, (675, 256, 172))],
)  # fmt: skip
def test_usual_heads_have_as_many_as_their_descriptors_allow(descriptors, memory_mib, limits):
    assert ConnectionLimits.of_process(descriptors, memory_mib * MIB) == ConnectionLimits(*limits)


@pytest.mark.parametrize("memory_mib", [1, 24, 32, 48, 192])
@pytest.mark.parametrize("descriptors", [64, 256, 1024, 4096, 1 << 20])
def test_connections_fit_into_descriptors_and_into_half_of_the_spare_memory(descriptors, memory_mib):
    """Guards against a head with many descriptors whose connections alone take its memory."""
    limits = ConnectionLimits.of_process(descriptors, memory_mib * MIB)
    assert limits.clients + limits.nodes + MIN_SPARE <= descriptors
    assert 0 < limits.used_clients <= limits.clients and limits.nodes > 0
    spare = max(MIN_CONNECTION_MEMORY_BYTES, (memory_mib * MIB - BASE_BYTES) // 2)
    assert limits.clients * CLIENT_BYTES + limits.nodes * NODE_BYTES <= spare
