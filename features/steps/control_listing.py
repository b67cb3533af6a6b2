"""Steps for the relay of VM lists."""

from behave import then, when
from msgspec.json import encode
from msgspec.structs import replace

from features.control_checks import wait_until
from primroseturn.configuration.models import Target
from primroseturn.membership.listing import TargetList


def write_targets(context, service: str) -> None:
    """Write the list with the targets of a service to the store."""

    async def write():
        targets = list(context.targets_by_name.values())
        context.control.store.write(f"vmlist/{service}", encode(TargetList(targets)))

    context.portal.call(write)


def listings(context):
    """Return the VM lists of all VMs."""
    return [kernel.find("listing") for kernel in context.control.kernels_by_vm.values()]


def target_name(service: str, number: int) -> str:
    """Return the name of the n-th target of a service."""
    return f"{service}-{number}"


@when('the store lists {count:d} targets of "{service}"')
def step_list(context, count, service):
    names = [target_name(service, number + 1) for number in range(count)]
    context.targets_by_name = {
        name: Target(name, service, "http://127.0.0.1:1", "dc1", "region1")
        for name in names
    }
    write_targets(context, service)
    context.portal.call(
        wait_until,
        lambda: all(
            len(item.targets_by_service.get(service, {})) == count
            for item in listings(context)
        ),
        5.0,
    )


@when('target {number:d} of "{service}" is listed as leaving')
def step_leave(context, number, service):
    name = target_name(service, number)
    target = context.targets_by_name[name]
    context.targets_by_name[name] = replace(target, state="leaving")
    write_targets(context, service)


@then('target {number:d} of "{service}" is leaving at every VM within {limit:g} s')
def step_leaving(context, number, service, limit):
    name = target_name(service, number)
    context.portal.call(
        wait_until,
        lambda: all(
            item.targets_by_service[service][name].state == "leaving"
            for item in listings(context)
        ),
        limit,
    )


@then("all VMs have the newest lists within {limit:g} s")
def step_newest_lists(context, limit):
    entries = context.control.store.entries_by_key
    expected = {
        key.removeprefix("vmlist/"): entry.version
        for key, entry in entries.items()
        if key.startswith("vmlist/")
    }
    context.portal.call(
        wait_until,
        lambda: all(item.versions_by_list == expected for item in listings(context)),
        limit,
    )
