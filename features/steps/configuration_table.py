"""Steps for the table of objects and for snapshots."""

from random import Random

import anyio.lowlevel
from behave import given, then, when
from httpx import ASGITransport, AsyncClient
from hypothesis import given as given_values, seed, settings, strategies

from features.control_checks import add_workspace, VersionChecker, wait_until
from features.steps.control_plane import step_fleet, vm_name
from primroseturn.configuration import storage
from primroseturn.configuration.models import Workspace
from primroseturn.configuration.replica import Replica
from primroseturn.configuration.snapshot import (
    encode_group,
    group_buckets,
    join_parts,
)
from primroseturn.configuration.state import ConfigurationState, EMPTY_STATE
from primroseturn.configuration.storage import load_snapshot, SnapshotWriter
from primroseturn.configuration.table import (
    build_table,
    decode_bucket,
    ObjectTable,
)
from primroseturn.observation.events import EventLog
from primroseturn.platform.objects import ObjectClient
from primroseturn.standins.fleet import VmLocation
from primroseturn.standins.store import ObjectStore
from primroseturn.store.client import StoreClient

CHANGE_LISTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 80), strategies.booleans()), max_size=150
)


def build_state(count: int, version: int = 7) -> ConfigurationState:
    """Return a state with `count` workspaces."""
    entries = {
        f"workspace-{number}": (version, Workspace(f"workspace-{number}", 5, 10))
        for number in range(count)
    }
    table = build_table("workspace", entries)
    return EMPTY_STATE._replace(version=version, workspaces_by_name=table)


@then("the object table agrees with a dictionary in {count:d} random histories")
def step_table_agrees(context, count):
    @seed(1)
    @settings(max_examples=count, deadline=None, database=None)
    @given_values(CHANGE_LISTS)
    def check(changes):
        table, expected = ObjectTable("workspace"), {}
        former_tables = []
        for version, (number, is_added) in enumerate(changes):
            name = f"w{number}"
            if is_added:
                item = Workspace(name, 1 + version, 1)
                table = table.with_item(name, version, item)
                expected[name] = item
            else:
                table = table.without_item(name)
                expected.pop(name, None)
            former_tables.append((table, dict(expected)))
        for former_table, contents in former_tables:
            assert dict(former_table.items()) == contents
            assert len(former_table) == len(contents)
            assert all(former_table.get(name) == contents[name] for name in contents)

    check()


@given("a configuration of {count:d} workspaces")
def step_state(context, count):
    context.state = build_state(count)


@when("one workspace changes, one is added and one is deleted")
def step_change(context):
    context.before = context.state.workspaces_by_name
    table = context.before.with_item("workspace-5", 8, Workspace("workspace-5", 1, 1))
    table = table.with_item("added", 9, Workspace("added", 1, 1))
    context.after = table.without_item("workspace-9")


@then("at most {limit:d} buckets of the table are new")
def step_new_buckets(context, limit):
    known = {id(bucket) for bucket in context.before.buckets}
    new = [bucket for bucket in context.after.buckets if id(bucket) not in known]
    assert 0 < len(new) <= limit, len(new)


@when("its snapshot is written to the store in parts of at most {limit:d} bytes")
def step_write(context, limit):
    context.store = ObjectStore()
    usual_limit = storage.STORE_PART_BYTES

    async def write():
        transport = ASGITransport(context.store)
        async with AsyncClient(base_url="http://store", transport=transport) as http:
            client = StoreClient(ObjectClient(http, 2.0))
            writer = SnapshotWriter(client, "vm1", EventLog("vm1"))
            assert await writer.write(context.state, 0, None)
            context.loaded = await load_snapshot(client)

    storage.STORE_PART_BYTES = limit
    try:
        context.portal.call(write)
    finally:
        storage.STORE_PART_BYTES = usual_limit


@then("no object of the snapshot in the store is larger than {limit:d} bytes")
def step_object_sizes(context, limit):
    sizes = [len(entry.value) for entry in context.store.entries_by_key.values()]
    assert len(sizes) > 2, sizes
    assert max(sizes) <= limit, max(sizes)


@then("the snapshot read back has the same objects")
def step_same_objects(context):
    found, expected = context.loaded, context.state
    assert found.version == expected.version
    assert dict(found.workspaces_by_name.items()) == dict(
        expected.workspaces_by_name.items()
    )


@then(
    "each of {count:d} damaged copies of its parts is refused, or all its objects can "
    "be decoded"
)
def step_damaged(context, count):
    random, state = Random(5), context.state
    parts = [encode_group(state, group) for group in group_buckets(state, 2_000)]
    assert join_parts(parts).is_ok()
    assert join_parts(parts[1:]).is_error()
    refused = 0
    for _ in range(count):
        damaged = [bytearray(part) for part in parts]
        part = random.choice(damaged)
        part[random.randrange(len(part))] ^= 1 << random.randrange(8)
        result = join_parts(map(bytes, damaged))
        refused += result.is_error()
        if result.is_ok():
            table = result.ok.workspaces_by_name
            assert len(list(table.items())) == len(table)
    assert refused > count / 2, refused


@given(
    "a control fleet of {count:d} VMs in {regions:d} regions whose configuration has "
    "{workspaces:d} workspaces"
)
def step_large_fleet(context, count, regions, workspaces):
    step_fleet(context, count, regions)

    async def install():
        for kernel in context.control.kernels_by_vm.values():
            kernel.find("replica").install(build_state(workspaces, 1000))

    context.portal.call(install)


@then("VM {number:d} has {count:d} workspaces within {limit:g} s")
def step_has_workspaces(context, number, count, limit):
    replica = context.control.kernels_by_vm[vm_name(number)].find("replica")
    context.portal.call(
        wait_until, lambda: len(replica.state.workspaces_by_name) == count, limit
    )


@then("a snapshot is in the store within {limit:g} s")
def step_snapshot(context, limit):
    entries = context.control.store.entries_by_key
    context.portal.call(wait_until, lambda: storage.NEWEST_KEY in entries, limit)


@then("a new VM installs the snapshot and the later changes from the store")
def step_from_store(context):
    fleet = context.control

    async def restart():
        for vm in list(fleet.kernels_by_vm):
            await fleet.remove(vm)
        add_workspace(fleet, "later")
        reads_before = fleet.store.calls_by_kind.get("read", 0)
        kernel = await fleet.add(vm_name(9), VmLocation(0, 1, 1))
        VersionChecker().observe(vm_name(9), kernel)
        replica = kernel.find("replica")
        await wait_until(lambda: replica.state.version == fleet.version, 5.0)
        await anyio.lowlevel.checkpoint()
        assert len(replica.recent_changes) < 500, "the whole log was read"
        assert "later" in replica.state.workspaces_by_name
        assert fleet.store.calls_by_kind["read"] > reads_before

    context.portal.call(restart)


@when("{count:d} workspaces are added one by one")
def step_add_many(context, count):
    table = context.state.workspaces_by_name
    for number in range(count):
        name = f"added-{number}"
        table = table.with_item(name, number, Workspace(name, 1, 1))
    context.grown = table


@then("the largest bucket has at most {limit:d} objects")
def step_largest_bucket(context, limit):
    sizes = [len(decode_bucket("workspace", item)) for item in context.grown.buckets]
    assert sum(sizes) == len(context.grown)
    assert max(sizes) <= limit, max(sizes)


@given("a replica at version {version:d}")
def step_replica(context, version):
    context.replica = Replica()
    assert context.replica.install(build_state(3, version))


@then("a snapshot of version {version:d} is not installed")
def step_not_installed(context, version):
    before = context.replica.state
    assert not context.replica.install(build_state(4, version))
    assert context.replica.state is before


@then("a snapshot of version {version:d} is installed")
def step_installed(context, version):
    assert context.replica.install(build_state(4, version))
    assert context.replica.state.version == version
