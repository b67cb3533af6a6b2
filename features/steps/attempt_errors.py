"""Steps for errors in the attempts of a request."""

from asyncio import CancelledError
from functools import partial

from behave import given, then, when

from features.fault_injection import ERROR_TEXT, Fault, wait_for_events
from primroseturn.entry.attempt import Attempt
from primroseturn.requestpath.pool import TargetPool

faults_by_name = {
    "the reading of the response": Fault(Attempt, "read_head"),
    "the recording of the response": Fault("placement", "record_success"),
    "the choice of a target": Fault("placement", "choose"),
    "the return of a connection to its pool": Fault(TargetPool, "give_back"),
    "the calculation of the view's age for the log": Fault("view", "age_s"),
    "the start of an attempt": Fault("placement", "start_attempt"),
}
errors_by_name = {
    "LookupError": LookupError(ERROR_TEXT),
    "Cancelled": CancelledError(),
}


def fail_at(context, owner, method, error, call_numbers):
    """Make a method raise at the calls with the given numbers, counted from 1."""
    original = getattr(owner, method)
    context.counted_calls = []

    def call(*arguments, **options):
        context.counted_calls.append(method)
        if len(context.counted_calls) in call_numbers:
            raise error
        return original(*arguments, **options)

    setattr(owner, method, call)
    context.cleanups.append(partial(setattr, owner, method, original))


def send_request(context, method, path):
    """Send one request and keep its response."""
    fleet = context.entry_fleet
    context.responses = [
        context.portal.call(partial(fleet.send_request, path, method=method))
    ]


@when("{name} raises {error} once while a caller sends {method:w} {path:S}")
def step_raise(context, name, error, method, path):
    fault = faults_by_name[name]
    owner = fault.owner
    if isinstance(owner, str):
        owner = context.entry_fleet.kernels_by_vm["vm1"].find(owner)
    fail_at(context, owner, fault.method, errors_by_name[error], {1})
    send_request(context, method, path)
    assert context.counted_calls, f"{fault.method} was not called"


@when("the second attempt raises {error} while a caller sends {method:w} {path:S}")
def step_raise_second(context, error, method, path):
    fail_at(context, Attempt, "read_head", errors_by_name[error], {2})
    send_request(context, method, path)
    assert len(context.counted_calls) >= 2, "there was no second attempt"


@when("the choice of a second target raises while a caller sends {method:w} {path:S}")
def step_raise_choice(context, method, path):
    placement = context.entry_fleet.kernels_by_vm["vm1"].find("placement")
    fail_at(context, placement, "choose", errors_by_name["LookupError"], {2})
    send_request(context, method, path)
    assert len(context.counted_calls) >= 2, "no second target was chosen"


@when(
    "the building of the request always raises while a caller sends {method:w} {path:S}"
)
def step_raise_always(context, method, path):
    error = errors_by_name["LookupError"]
    fail_at(context, Attempt, "build_request", error, range(1, 100))
    send_request(context, method, path)


@given("the announcement of its stop raises")
def step_raise_announcement(context):
    exchange = context.entry_fleet.kernels_by_vm["vm1"].find("digest-exchange")
    fail_at(context, exchange, "announce", errors_by_name["LookupError"], {1})


@when("a listener of events raises while a caller sends {method:w} {path:S}")
def step_raise_listener(context, method, path):
    events = context.entry_fleet.kernels_by_vm["vm1"].find("events")

    def fail(event, fields):
        raise LookupError(ERROR_TEXT)

    events.listeners.append(fail)
    send_request(context, method, path)


@then('the log names the contained error in "{part}"')
def step_contained(context, part):
    path = context.entry_fleet.log_files_by_vm["vm1"]
    context.portal.call(
        wait_for_events, path, "part-failed", lambda item: item["part"] == part
    )


@then('the caller gets the refusal "{kind}" of a request that may have run')
def step_may_have_run(context, kind):
    check_refusal(context, kind, "unknown")


@then('the caller gets the refusal "{kind}" of a request that did not run')
def step_not_run(context, kind):
    check_refusal(context, kind, "no")


def check_refusal(context, kind, ran):
    """Check the refusal after an error in the VM, and what it states as `ran`."""
    (response,) = context.responses
    assert response.status_code == 500, response.status_code
    refusal = response.json()
    assert (refusal["type"], refusal["ran"]) == (kind, ran), refusal
