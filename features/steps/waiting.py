"""Steps that let time pass."""

from anyio import sleep
from behave import when


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.portal.call(sleep, seconds)
