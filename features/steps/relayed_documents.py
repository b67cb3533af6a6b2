"""Steps for documents that VMs fetch from each other."""

from copy import deepcopy
from typing import Any
from unittest.mock import patch

from anyio import current_time, fail_after, sleep
from behave import given, then, when
from expression import Error, Ok
from hypothesis import given as for_all, settings, strategies
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode

from features.entry_fleet import KEY
from primroseturn.control.bus import PeerUnavailable
from primroseturn.control.messages import MESSAGE_LIMIT_BYTES
from primroseturn.entry.documents import (
    decode_patched,
    decode_whole,
    digest_of,
    DocumentHead,
    DocumentPart,
    DocumentPartRequest,
    encode_document,
    encode_patch,
)
from primroseturn.entry.patches import apply_patch, create_patch
from primroseturn.entry.sharing import ConfigurationRequest

NEW_KEY = "key-of-the-next-version"
OTHER_SERVICE = "other"
SETTLE_TIMEOUT_S = 10.0
FORGOTTEN_TARGET = "unlisted"


def set_size(configuration: dict[str, Any], size: int) -> None:
    """Add a workspace with many keys, so that a configuration has about a size."""
    workspace = {"name": "federation", "api_keys": [], "rate_per_s": 0, "burst": 0}
    configuration["tenants"].append(workspace)
    key = "key-{:020d}"
    count = (size - len(encode_json(configuration))) // (len(key.format(0)) + 3)
    workspace["api_keys"] = [key.format(number) for number in range(count)]


@given("a configuration with {count:d} keys is in force")
def step_many_keys(context, count):
    fleet = context.entry_fleet
    keys = [f"key-{number:020d}" for number in range(count)]

    async def run():
        fleet.configuration["tenants"].append(
            {"name": "federation", "api_keys": keys, "rate_per_s": 0, "burst": 0}
        )
        fleet.publish()
        await wait_version(fleet, SETTLE_TIMEOUT_S)
        context.reads_before = count_reads(fleet)

    context.portal.call(run)


async def wait_version(fleet, timeout_s):
    """Wait until the written version is in force at all VMs."""
    with fail_after(timeout_s):
        for kernel in fleet.kernels_by_vm.values():
            view = kernel.find("view")
            while f"r{view.version}" != fleet.configuration["version"]:
                await sleep(0.01)


def count_reads(fleet):
    """Return how many versions each VM has read from the store itself."""
    return {
        vm: kernel.find("follower").configuration.last_read.version
        for vm, kernel in fleet.kernels_by_vm.items()
    }


@when("the configuration moves the routes to another service")
def step_move(context):
    fleet = context.entry_fleet

    async def run():
        for target_id in ("t1", "t2"):
            fleet.list_target(target_id, service="core")
        target = await fleet.add_entry_target("o1", service=OTHER_SERVICE)
        with fail_after(SETTLE_TIMEOUT_S):
            for kernel in fleet.kernels_by_vm.values():
                while target.id not in kernel.find("view").targets_by_id:
                    await sleep(0.01)
        configuration = deepcopy(fleet.configuration)
        configuration["services"].append({"name": OTHER_SERVICE, "max_conns": 100})
        for path in configuration["virtual_hosts"][0]["paths"]:
            path["service"] = OTHER_SERVICE
        configuration["tenants"][0]["api_keys"] = [KEY, NEW_KEY]
        fleet.configuration = configuration
        fleet.publish()

    context.portal.call(run)


@then("every VM sends requests to the other service within {seconds:g} s")
def step_moved(context, seconds):
    fleet = context.entry_fleet
    target = fleet.entry_targets_by_id["o1"]

    async def run():
        await wait_version(fleet, seconds)
        for vm in fleet.kernels_by_vm:
            before = len(target.heads)
            response = await fleet.send_request("/order/1", vm, method="POST")
            assert response.status_code == 200, response.text
            assert len(target.heads) == before + 1, vm

    context.portal.call(run)


@then("a key that was added then is accepted by every VM")
def step_new_key(context):
    fleet = context.entry_fleet

    async def run():
        for vm in fleet.kernels_by_vm:
            response = await fleet.send_request("/lookup/1", vm, key=NEW_KEY)
            assert response.status_code == 200, response.text

    context.portal.call(run)


@then("only the store poller has read the configuration")
def step_only_poller(context):
    fleet = context.entry_fleet
    newest = int(fleet.configuration["version"][1:])
    readers = [vm for vm, version in count_reads(fleet).items() if version == newest]
    assert readers == ["vm1"], readers


@given("{count:d} targets of another service are listed")
def step_many_targets(context, count):
    fleet = context.entry_fleet

    async def run():
        for number in range(count):
            name = f"{OTHER_SERVICE}-target-{number:016d}"
            fleet.list_target(name, service=OTHER_SERVICE, port=1 + number % 60_000)
        with fail_after(SETTLE_TIMEOUT_S):
            for kernel in fleet.kernels_by_vm.values():
                while len(kernel.find("view").targets_by_id) != count + 2:
                    await sleep(0.02)

    context.portal.call(run)


@then("every VM knows {count:d} targets of the other service")
def step_knows(context, count):
    for kernel in context.entry_fleet.kernels_by_vm.values():
        targets = kernel.find("view").targets_by_id.values()
        found = sum(target.service == OTHER_SERVICE for target in targets)
        assert found == count, found


def replace_reply(fault, peer, reply):
    """Return the reply to a request for a document with a fault."""
    found = reply.ok if reply.is_ok() else None
    match fault, found:
        case "don't respond", DocumentHead() | DocumentPart():
            return Error(PeerUnavailable(peer))
        case "send other bytes", DocumentHead():
            data = b"x" * len(found.first_part)
            return Ok(DocumentHead(found.digest, found.is_patch, found.size, data))
        case "have dropped the document", DocumentHead():
            return Ok(DocumentHead(found.digest, False, found.size + 1, b""))
        case "have dropped the document", DocumentPart():
            return Ok(DocumentPart(b""))
    return reply


@when("other VMs {fault} when a VM fetches a document")
def step_fetch_fault(context, fault):
    for kernel in context.entry_fleet.kernels_by_vm.values():
        bus = kernel.find("peers")
        request = bus.request

        async def ask(peer, message, timeout_s, request=request):
            reply = await request(peer, message, timeout_s)
            return replace_reply(fault, peer, reply)

        change = patch.object(bus, "request", ask)
        change.start()
        context.cleanups.append(change.stop)


@given("the first VM sends parts of documents over a link of {rate:g} Mbit/s")
def step_slow_parts(context, rate):
    bus = context.entry_fleet.kernels_by_vm["vm1"].find("peers")
    bytes_per_s = rate * 125_000
    free_at = [0.0]

    def pace(handler):
        async def reply(sender, body):
            found = await handler(sender, body)
            data = found.first_part if isinstance(found, DocumentHead) else found.data
            free_at[0] = max(current_time(), free_at[0]) + len(data) / bytes_per_s
            await sleep(max(0.0, free_at[0] - current_time()))
            return found

        return reply

    for message_type in (ConfigurationRequest, DocumentPartRequest):
        handlers = bus.handlers_by_type
        handlers[message_type] = pace(handlers[message_type])


@when("a configuration of {size:d} bytes is written")
def step_write_large(context, size):
    fleet = context.entry_fleet

    async def run():
        set_size(fleet.configuration, size)
        fleet.publish()

    context.portal.call(run)


@then("every VM has it within {seconds:g} s")
def step_has_it(context, seconds):
    context.portal.call(wait_version, context.entry_fleet, seconds)


@when("a VM has another form of the version in force")
def step_other_form(context):
    view = context.entry_fleet.kernels_by_vm["vm2"].find("view")
    view.stored_configuration = {**view.stored_configuration, "extra": 1}


values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-9, 9)
    | strategies.floats(0, 2)
    | strategies.text(max_size=3),
    lambda children: (
        strategies.lists(children, max_size=6)
        | strategies.dictionaries(strategies.text(max_size=2), children, max_size=5)
    ),
    max_leaves=20,
)


@then("any patch makes the new value of the old one, or the digest differs")
def step_any_patch(context):
    @settings(max_examples=1000, deadline=None)
    @for_all(values, values)
    def check(old, new):
        unchanged = deepcopy(old)
        whole = encode_document(new)
        assert decode_whole(whole.data, whole.digest).ok == new
        document = encode_patch(old, new, whole)
        assert document.digest == whole.digest
        assert apply_patch(old, create_patch(old, new)) == new
        if document.is_patch:
            found = decode_patched(document.data, document.digest, old)
            if found.is_error():
                # Python takes 1, 1.0 and True for equal.
                patched = apply_patch(old, create_patch(old, new))
                assert digest_of(encode_document(patched).data) != whole.digest
            else:
                assert found.ok == new
        assert old == unchanged

    check()


@then(
    "the patch that moves the routes beside {count:d} keys has at most {size:d} bytes"
)
def step_small_patch(context, count, size):
    keys = [f"key-{number:020d}" for number in range(count)]

    def version(number, service):
        paths = [{"path": f"/{path}/", "service": service} for path in range(20)]
        tenants = [{"name": "shop", "api_keys": keys[number:]}]
        return {
            "version": f"r{number}",
            "hosts": [{"paths": paths}],
            "tenants": tenants,
        }

    old, new = version(1, "core"), version(2, "other")
    whole = encode_document(new)
    assert len(encode(new)) > MESSAGE_LIMIT_BYTES
    document = encode_patch(old, new, whole)
    assert document.is_patch and len(document.data) <= size, len(document.data)
