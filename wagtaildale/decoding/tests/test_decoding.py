"""Tests of the decoders: whatever the input is, they return."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec import Struct

from wagtaildale.decoding.addresses import decode_address
from wagtaildale.decoding.base64_texts import decode_base64
from wagtaildale.decoding.failures import LONGEST_DETAIL_CHARACTERS
from wagtaildale.decoding.json_documents import decode_json
from wagtaildale.decoding.messages import MessageDecoder, decode_message
from wagtaildale.decoding.toml_files import convert_table, decode_toml
from wagtaildale.errors.codes import Code

DEPTH = 20_000
LONG_NUMBER = '9' * 5000


class Known(Struct):
    """A type with one field; all other fields are skipped."""

    number: int = 0


class KnownArray(Struct, array_like=True):
    """A type with one position; all further ones are skipped."""

    number: int = 0


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'{"number": "x"}',
        b'{"unknown": ' + b'[' * DEPTH + b']' * DEPTH + b'}',
        b'{"unknown": ' + b'{"a":' * DEPTH + b'1' + b'}' * DEPTH + b'}',
        b'{"number": ' + LONG_NUMBER.encode() + b'}',
        b'{"number": 1e400}',
        b'\xff',
    ],
)
def test_json_that_raises_is_a_failure(payload: bytes) -> None:
    """A decoder's error that its caller does not expect ends the process."""
    failure = decode_json(payload, Known, code=Code.part_corrupt).unwrap_err()
    assert failure.code is Code.part_corrupt
    assert 0 < len(failure.detail) <= LONGEST_DETAIL_CHARACTERS


@pytest.mark.parametrize(
    'encoded',
    [b'', b'\x91\xa1x', b'\x92\x01' + b'\x91' * DEPTH, b'\xdd\xff\xff\xff\xff'],
)
def test_message_that_raises_is_a_failure(encoded: bytes) -> None:
    """A node's message must not end the processes of others."""
    decoded = decode_message(encoded, MessageDecoder(KnownArray))
    assert decoded.unwrap_err().code is Code.message_malformed


@pytest.mark.parametrize(
    'text',
    ['a', 'a = ' + LONG_NUMBER, 'a = ' + '[' * DEPTH, 'a = 2026-13-45'],
)
def test_toml_that_raises_is_a_failure(text: str) -> None:
    """A person gets a numbered fault for a file, not a traceback."""
    decoded = decode_toml(text, code=Code.file_malformed)
    assert decoded.unwrap_err().code is Code.file_malformed


@pytest.mark.parametrize('table', [{'number': 'x'}, 7, None])
def test_table_that_raises_is_a_failure(table: Any) -> None:
    converted = convert_table(table, Known, code=Code.field_invalid)
    assert converted.unwrap_err().code is Code.field_invalid


@pytest.mark.parametrize('encoded', ['%', 'a', 'é'])
def test_text_that_is_not_base64_is_a_failure(encoded: str) -> None:
    decoded = decode_base64(encoded, code=Code.part_corrupt)
    assert decoded.unwrap_err().code is Code.part_corrupt


@given(text=st.text(max_size=30))
@example(text='10.1.0.8:' + LONG_NUMBER)
@example(text='10.1.0.8:0')
@example(text='10.1.0.8:²')
@example(text='db.example:80')
def test_text_is_an_address_or_a_failure(text: str) -> None:
    """A host name in an address would block the task that carries calls."""
    decoded = decode_address(text, code=Code.part_corrupt)
    assert decoded.is_err()


def test_address_is_decoded() -> None:
    address = decode_address('10.1.0.8:8145', code=Code.part_corrupt).unwrap()
    assert (address.host, address.port) == ('10.1.0.8', 8145)
