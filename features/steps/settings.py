"""Steps that check settings, control frames and calls of the administration API."""

import json
from copy import deepcopy
from pathlib import Path
from random import Random
from tempfile import NamedTemporaryFile

from behave import then, when
from httpx import AsyncClient
from hypothesis import given as for_all, seed, settings, strategies
from msgspec.msgpack import encode

from features.steps.admin import admin_url, TOKENS
from features.steps.product_commands import call_command
from primroseturn.control.messages import (
    decode_message,
    Envelope,
    MessageInvalid,
    PROTOCOL_VERSION,
    types_by_tag,
)
from primroseturn.failures import SettingsInvalid
from primroseturn.observation.clocks import ClockProbe
from primroseturn.settings.load import decode_settings
from primroseturn.settings.models import DaemonSettings
from primroseturn.settings.reference import list_fields, render_reference

SETTINGS_PAGE = Path("docs/settings.md")
SEED = 20_261_204
SECRET = "s3cr3t-of-the-settings"
BASE_SETTINGS = {
    "identity": {"vm": "vm1"},
    "store": {"url": "http://127.0.0.1:1"},
    "callers": {"address": {"host": "127.0.0.1", "port": 0}},
    "control": {"curve_secret_key": SECRET, "curve_public_key": "public"},
    "admin": {"address": {"host": "127.0.0.1"}, "writer_digests": ["0" * 64]},
    "keys": {"isolation_policy": "strict"},
    "claims": {"slots": 16},
}
# Documents that the typed decoder refuses at their beginning, and whose rest is invalid
# JSON. Describing that refusal once raised an untyped error.
INVALID_AT_END = (b"[1", b'{"identity": 1, ')
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
WIRE_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.binary(max_size=20)
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=6)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def on_seeded_examples(count, *values):
    """Return a decorator that runs a check on the same seeded examples in every run."""

    def decorator(check):
        with_settings = settings(max_examples=count, database=None, deadline=None)
        return seed(SEED)(with_settings(for_all(*values)(check)))

    return decorator


@then('the page of settings is what "primroseturn settings reference" prints')
def step_settings_page(context):
    assert SETTINGS_PAGE.read_text() == render_reference(DaemonSettings), (
        "run: primroseturn settings reference > docs/settings.md"
    )


@then("every field of the settings has a meaning")
def step_meanings(context):
    entries = list(list_fields(DaemonSettings))
    assert len(entries) > 30
    missing = [entry.path for entry in entries if not entry.meaning]
    assert not missing, missing


def set_field(document, path, value):
    """Set a field of a document at a dotted path."""
    *parents, name = path.split(".")
    for parent in parents:
        document = document.setdefault(parent, {})
    document[name] = value


@when('settings with "{field}" set to {value} are checked')
def step_invalid_setting(context, field, value):
    document = deepcopy(BASE_SETTINGS)
    set_field(document, field, json.loads(value))
    with NamedTemporaryFile("w", suffix=".json") as stream:
        json.dump(document, stream)
        stream.flush()
        call_command(context, f"settings check {stream.name}")


def is_typed(result):
    """Return whether a result has settings or a typed failure."""
    if result.is_ok():
        return isinstance(result.ok, DaemonSettings)
    return isinstance(result.error, SettingsInvalid)


@then("{count:d} seeded invalid settings are refused without showing their secrets")
def step_secrets(context, count):
    sections = strategies.sampled_from(sorted(BASE_SETTINGS))
    refused_count = 0

    @on_seeded_examples(count, sections, strategies.text(max_size=8), JSON_VALUES)
    def check(section, name, value):
        nonlocal refused_count
        for section_value in (value, BASE_SETTINGS[section] | {name: value}):
            result = decode_settings(
                json.dumps(BASE_SETTINGS | {section: section_value}).encode(),
                DaemonSettings,
            )
            assert is_typed(result), result
            if result.is_error():
                refused_count += 1
                assert SECRET not in str(result.error), str(result.error)

    check()
    assert refused_count >= count, refused_count


@then("{count:d} seeded byte strings as settings give a typed failure")
def step_settings_bytes(context, count):
    @on_seeded_examples(
        count, strategies.binary(max_size=200) | JSON_VALUES.map(json.dumps)
    )
    def check(content):
        content = content.encode() if isinstance(content, str) else content
        result = decode_settings(content, DaemonSettings)
        assert result.is_error() and is_typed(result), result

    check()
    for content in INVALID_AT_END:
        assert is_typed(decode_settings(content, DaemonSettings))


def damage(frame, random):
    """Return a frame with bytes changed, removed or repeated at 1 to 4 places."""
    changed = bytearray(frame)
    for _ in range(random.randint(1, 4)):
        index = random.randrange(len(changed))
        match random.randrange(3):
            case 0:
                changed[index] = random.randrange(256)
            case 1 if len(changed) > 1:
                del changed[index]
            case _:
                changed[index:index] = changed[index : index + 8]
    return bytes(changed)


@then("{count:d} seeded frames decode to a typed message or a typed failure")
def step_frames(context, count):
    tags = sorted(types_by_tag)
    assert ClockProbe.tag in tags
    random = Random(SEED)
    refused = 0

    def check_frame(frame):
        nonlocal refused
        result = decode_message(frame)
        if result.is_error():
            refused += 1
            assert isinstance(result.error, MessageInvalid), result
        else:
            kind = types_by_tag[result.ok.tag]
            assert isinstance(result.ok.body, kind), result

    values = (strategies.sampled_from(tags), WIRE_VALUES, strategies.binary())

    @on_seeded_examples(count, *values)
    def check(tag, body, content):
        check_frame(content)
        envelope = Envelope(PROTOCOL_VERSION, tag, "vm1", "i", 1, 0, body)
        frame = encode(envelope)
        check_frame(frame)
        check_frame(damage(frame, random))

    check()
    assert refused > count, refused


@then("{count:d} seeded calls to the administration API cause no server error")
def step_admin_calls(context, count):
    random = Random(SEED)
    words = [
        "objects",
        "workspace",
        "shop",
        "key",
        "keys",
        "status",
        "targets",
        "..%2f",
    ]
    words += ["audit", "withdrawal", "workspaces", "%00", "%ff", "", "preset-in-force"]
    bodies = [b"", b"{", b"[]", b"null", b"\xff\xfe", b"[" * 5000, b"x" * 70_000]
    bodies.append(b'{"operation_id":"abcdefgh","expected_version":1e400}')
    bodies.append(b'{"operation_id":"abcdefgh","expected_version":-1,"body":{}}')
    queries = ["", "?limit=-1", "?limit=9e9", "?after=%ff", "?limit=%E2%91%A0"]
    headers = {"authorization": f"Bearer {TOKENS['writer']}"}

    async def send_calls():
        async with AsyncClient(trust_env=False) as http:
            for _ in range(count):
                path = "/".join(random.choices(words, k=random.randint(1, 4)))
                path += random.choice(queries)
                method = random.choice(["GET", "PUT", "DELETE", "POST", "PATCH"])
                response = await http.request(
                    method,
                    f"{admin_url(context)}/v1/{path}",
                    headers=headers,
                    content=random.choice(bodies),
                )
                assert response.status_code < 500, (method, path, response.text)
                if response.status_code != 200:
                    assert response.json()["type"], (method, path)

    context.portal.call(send_calls)
