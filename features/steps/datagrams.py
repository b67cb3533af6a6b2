"""Steps for datagrams that an entry VM must refuse."""

import json
from itertools import count
from socket import AF_INET, SOCK_DGRAM, socket

from anyio import current_time, fail_after, sleep
from behave import given, then, when
from msgspec import to_builtins
from msgspec.msgpack import encode
from prometheus_client import REGISTRY

from features.steps.entry_requests import start_fleet
from primroseturn.control.messages import Envelope, Message, message, PROTOCOL_VERSION
from primroseturn.entry.digest_messages import CenterReport, Digest, VmNotice
from primroseturn.limits.quota import Usage
from primroseturn.membership.fleet import RegisteredVm, START_UNLISTED_S

TIMEOUT_S = 5.0
# Number of datagrams that are sent at once; the socket of a VM queues more.
BATCH_SIZE = 200
numbers = count(1)
# Each usage is counted once by its number.
usage_numbers = count(1)


@message("test-unhandled")
class Unhandled(Message, frozen=True, array_like=True):
    """A message without a handler."""


def frame(body, vm="vm2", number=None, tag=None, **changes):
    """Return the encoded frame of a message from a VM of the fleet."""
    number = next(numbers) if number is None else number
    content = body if isinstance(body, list) else to_builtins(body)
    envelope = Envelope(
        changes.get("protocol", PROTOCOL_VERSION),
        tag or body.tag,
        vm,
        changes.get("incarnation", "start-1"),
        number,
        0,
        content,
    )
    return encode(envelope)


def usage_digest(requested=1, admitted=1, center=""):
    """Return a digest with the usage of the callers' workspace."""
    usage = (Usage("shop", requested, admitted),)
    return Digest(center=center, usage=usage, usage_number=next(usage_numbers))


def notice(vm, host="127.0.0.1", port=9, center="a", is_stopping=False):
    """Return a notice that a VM starts or stops."""
    return VmNotice(RegisteredVm(vm, host, port, center, "r"), is_stopping)


def large_digest():
    """Return a digest that is too large for a datagram."""
    return Digest(live=tuple(f"vm-{number:09d}" for number in range(120)))


frames_by_datagram = {
    "undecodable bytes": lambda: b"\xc1junk",
    "no bytes": lambda: b"",
    "a truncated digest": lambda: frame(usage_digest())[:-3],
    "a digest with text in place of a number": lambda: frame(
        [*to_builtins(Digest())[:2], "many"], tag=Digest.tag
    ),
    "a digest of the next protocol": lambda: frame(
        usage_digest(), protocol=PROTOCOL_VERSION + 1
    ),
    "a digest under an earlier tag": lambda: frame(usage_digest(), tag="entry-digest"),
    "a digest of 1500 bytes": lambda: frame(large_digest()),
    "a message without a handler": lambda: frame(Unhandled()),
    "a digest with a negative count": lambda: frame(usage_digest(requested=-1)),
    "a digest with a count of 2 to the 63": lambda: frame(
        usage_digest(requested=1 << 63)
    ),
    "a digest with a negative age": lambda: frame(
        Digest(center_reports=(CenterReport("b", "vm3", 1, -5.0),))
    ),
    "a notice of a VM with the port 99999": lambda: frame(notice("vm2", port=99999)),
    "a notice of a VM with a host name": lambda: frame(notice("vm2", host="h")),
    "a notice of a VM without a name": lambda: frame(notice(""), ""),
    "a digest of a VM that is not registered": lambda: frame(usage_digest(), "vm7"),
    "a stop notice of a VM that is not registered": lambda: frame(
        notice("vm7", is_stopping=True), "vm7"
    ),
    "a digest in the name of this VM": lambda: frame(usage_digest(), "vm1"),
    "a stop notice in the name of this VM": lambda: frame(
        notice("vm1", is_stopping=True), "vm1"
    ),
    'a stop notice of "vm2" that "vm3" sends': lambda: frame(
        notice("vm2", is_stopping=True), "vm3"
    ),
    'a digest of data centre "b" that "vm2" sends': lambda: frame(
        usage_digest(center="b"), "vm2"
    ),
    'a digest of data centre "a" that "vm3" sends': lambda: frame(
        usage_digest(center="a"), "vm3"
    ),
    'a digest without a data centre that "vm3" of data centre "b" sends': lambda: frame(
        usage_digest(), "vm3"
    ),
}


@given('an entry VM beside the listed VMs "{names}" and these objects')
@given('an entry VM beside the listed VMs "{names}"')
def step_beside(context, names):
    fleet = start_fleet(context)
    for row in context.table or ():
        port = int(row["port"]) if row["port"].isdigit() else row["port"]
        value = {"name": row["name"], "host": row["host"], "port": port}
        value |= {"data_center": "a", "region": "r"}
        fleet.store.write(f"primroseturn-vms/{row['name']}", value)
    for name in names.split(", "):
        center, vm = name.split(":")
        address = {"host": "127.0.0.1", "port": 9, "data_center": center, "region": "r"}
        fleet.store.write(f"primroseturn-vms/{vm}", {"name": vm, **address})

    async def run():
        await fleet.add_entry("vm1")
        kernel = fleet.kernels_by_vm["vm1"]
        with fail_after(TIMEOUT_S):
            while kernel.find("fleet").size < 3 or kernel.find("view").version == 0:
                await sleep(0.02)

    context.portal.call(run)


def bus_of(context):
    """Return the bus of the VM."""
    return context.entry_fleet.kernels_by_vm["vm1"].find("datagrams")


def count_dropped(reason):
    """Return the number of messages that were dropped for a reason."""
    name = "primroseturn_control_dropped_total"
    return REGISTRY.get_sample_value(name, {"reason": reason}) or 0


def deliver(context, frames):
    """Send datagrams to the VM and wait until it has received all of them."""
    bus = bus_of(context)

    async def run():
        with socket(AF_INET, SOCK_DGRAM) as sender, fail_after(TIMEOUT_S):
            sender.bind(("127.0.0.1", 0))
            context.origin = f"127.0.0.1:{sender.getsockname()[1]}"
            before = bus.counts["frames_received"]
            address = bus.transport.get_extra_info("sockname")
            for first in range(0, len(frames), BATCH_SIZE):
                for item in frames[first : first + BATCH_SIZE]:
                    sender.sendto(item, address)
                sent = first + len(frames[first : first + BATCH_SIZE])
                while bus.counts["frames_received"] < before + sent:
                    await sleep(0.005)

    context.portal.call(run)


@when("it receives each of these datagrams")
def step_receives(context):
    context.reasons = []
    for row in context.table:
        before = count_dropped(row["reason"])
        deliver(context, [frames_by_datagram[row["datagram"]]()])
        assert count_dropped(row["reason"]) == before + 1, row["datagram"]
        context.reasons.append((row["reason"], context.origin))


@when("it receives a notice of a VM with the port 99999")
def step_bad_port(context):
    deliver(context, [frames_by_datagram["a notice of a VM with the port 99999"]()])


def refusal_lines(context):
    """Return the events about refused messages in the VM's log."""
    context.portal.call(sleep, 0.2)
    lines = context.entry_fleet.log_files_by_vm["vm1"].read_text().splitlines()
    return [json.loads(line) for line in lines if '"control-message-refused"' in line]


@then("it drops each for its reason and logs each reason and its sender once")
def step_logged(context):
    first = {}
    for reason, origin in context.reasons:
        first.setdefault(reason, origin)
    # VMs of other test processes may still send to the port that this VM has now.
    lines = [line for line in refusal_lines(context) if line["reason"] in first]
    found = {line["reason"]: line["origin"] for line in lines}
    assert found == first, (found, first)
    assert len(lines) == len(found), lines
    assert all(line["event"] == 1200 and line["detail"] for line in lines), lines


@when("it receives {number:d} malformed datagrams")
def step_flood(context, number):
    context.before = count_dropped("malformed")
    deliver(context, [b"\xc1junk"] * number)


@then('its metrics count {number:d} more control messages dropped as "{reason}"')
def step_counted(context, number, reason):
    found = count_dropped(reason) - context.before
    assert found == number, found


@then("its log holds {least:d} to {most:d} lines about dropped messages")
def step_bounded(context, least, most):
    lines = refusal_lines(context)
    assert least <= len(lines) <= most, lines


@then('a digest of "{vm}" is accepted')
def step_accepted(context, vm):
    quota = context.entry_fleet.kernels_by_vm["vm1"].find("quota")
    others = quota.quotas_by_name["shop"].demand.peers
    before = others.decayed_per_s
    deliver(context, [frame(usage_digest(requested=1000), vm)])
    assert others.decayed_per_s > before + 100, others.decayed_per_s


@then("it sends digests to the other VMs")
def step_sends(context):
    bus = bus_of(context)

    async def run():
        before = bus.counts["frames_sent"]
        with fail_after(TIMEOUT_S):
            while bus.counts["frames_sent"] < before + 3:
                await sleep(0.02)
        assert not bus.transport.is_closing()

    context.portal.call(run)


@then("{number:d} VMs are known to it")
def step_known(context, number):
    fleet = context.entry_fleet.kernels_by_vm["vm1"].find("fleet")
    assert (fleet.registered_count, fleet.size) == (number, number), fleet.vms_by_name


@then('its bucket of "shop" counts no request of other VMs')
def step_unchanged(context):
    quota = context.entry_fleet.kernels_by_vm["vm1"].find("quota")
    assert quota.quotas_by_name["shop"].demand.peers.decayed_per_s == 0


@when('it receives the start notice of "{vm}" of "{center}"')
def step_starts(context, vm, center):
    deliver(context, [frame(notice(vm, center=center), vm)])


@when('the list of VMs has only "{names}" again')
def step_listed(context, names):
    fleet = context.entry_fleet.kernels_by_vm["vm1"].find("fleet")
    listed = []
    for name in names.split(", "):
        center, vm = name.split(":")
        listed.append(RegisteredVm(vm, "127.0.0.1", 9, center, "r"))

    async def run():
        fleet.apply_list(listed, current_time() + START_UNLISTED_S)

    context.portal.call(run)


@then("its log says that it skipped {number:d} objects")
def step_skipped(context, number):
    context.portal.call(sleep, 0.2)
    lines = context.entry_fleet.log_files_by_vm["vm1"].read_text().splitlines()
    events = [json.loads(line) for line in lines if '"vm-unreadable"' in line]
    assert len({event["reason"] for event in events}) == number, events
