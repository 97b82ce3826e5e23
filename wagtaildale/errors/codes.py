"""The numbered result codes, from which ``docs/errors.md`` is generated."""

from __future__ import annotations

from enum import IntEnum
from types import MappingProxyType
from typing import Final, final


@final
class Code(IntEnum):
    """Every result code; the thousands name the duty that reports it."""

    ok = 0

    settings_unreadable = 1001
    settings_malformed = 1002
    settings_impossible = 1003
    secret_unreadable = 1004

    file_unreadable = 2001
    file_malformed = 2002
    key_unknown = 2003
    key_missing = 2004
    field_invalid = 2005
    hand_tuning = 2006
    name_twice = 2007
    route_conflict = 2008
    service_missing = 2009
    class_missing = 2010
    too_large = 2011
    version_invalid = 2012

    part_corrupt = 3001
    part_missing = 3002
    version_reused = 3003
    version_older = 3004
    version_refused = 3005
    source_unreachable = 3006
    source_refused = 3007
    message_malformed = 3008
    message_misdirected = 3009
    delta_mismatch = 3010
    history_gone = 3011
    read_defect = 3012
    answer_too_large = 3013
    source_contradicted = 3014

    request_malformed = 4001
    request_too_large = 4002
    no_route = 4003
    no_configuration = 4004
    no_upstream = 4005
    wrong_instance = 4006
    draining = 4007
    past_deadline = 4008
    overloaded = 4009
    backend_unreachable = 4010
    backend_cut = 4011
    outcome_unknown = 4012
    timed_out = 4013
    caller_gone = 4014
    answer_mismatched = 4015
    lease_ended = 4016
    key_repeated = 4018
    too_deep = 4019
    head_timed_out = 4020
    backend_shed = 4021
    peer_lost = 4022
    service_error = 4023
    backend_ended = 4024
    request_on_trial = 4025
    request_harmful = 4026
    server_word_malformed = 4027
    rate_limited = 4028
    evacuated = 4029
    stopping = 4030
    memory_full = 4031

    address_in_use = 5001
    drain_bound_passed = 5002
    invariant_broken = 5003

    admin_unauthorised = 6001
    admin_unreachable = 6002
    admin_not_found = 6003


MEANINGS: Final = MappingProxyType(
    {
        Code.ok: 'done',
        Code.settings_unreadable: 'the settings file cannot be read',
        Code.settings_malformed: 'a setting is unknown or of a wrong type',
        Code.settings_impossible: 'settings that cannot hold together',
        Code.secret_unreadable: 'a file or variable with a secret is missing',
        Code.file_unreadable: "an operators' file cannot be read",
        Code.file_malformed: "an operators' file is not TOML",
        Code.key_unknown: 'a key that no table of this kind has',
        Code.key_missing: 'a key that must be given is not there',
        Code.field_invalid: 'a key holds something of a wrong kind or size',
        Code.hand_tuning: 'weights, addresses or settings of one proxy',
        Code.name_twice: 'a name is given twice',
        Code.route_conflict: 'two classes match the same requests',
        Code.service_missing: 'a route names a service that is not there',
        Code.class_missing: 'a route names a class that is not there',
        Code.too_large: 'a part is over the size the platform holds',
        Code.version_invalid: 'a version that does not rise',
        Code.part_corrupt: 'a part does not match its content hash',
        Code.part_missing: 'a manifest names a part nobody could give',
        Code.version_reused: 'one version number with two contents',
        Code.version_older: 'a version older than the one held: ignored',
        Code.version_refused: 'a version failed its check: not applied',
        Code.source_unreachable: 'the platform does not answer',
        Code.source_refused: 'the platform refuses reads for now',
        Code.message_malformed: 'a message between nodes cannot be read',
        Code.message_misdirected: 'a message meant for another instance',
        Code.delta_mismatch: 'a delta that does not give what it names',
        Code.history_gone: 'the platform has dropped the changes asked for',
        Code.read_defect: 'reading the platform failed by a defect',
        Code.answer_too_large: 'an answer of the platform is over the limit',
        Code.source_contradicted: 'answers of the platform contradict others',
        Code.request_malformed: 'the request is not valid HTTP',
        Code.request_too_large: 'head or body over the limit',
        Code.no_route: 'no class matches method and path',
        Code.no_configuration: 'this node holds no configuration yet',
        Code.no_upstream: 'no instance of the service takes work',
        Code.wrong_instance: 'meant for another instance or incarnation',
        Code.draining: 'the instance is leaving',
        Code.past_deadline: 'the deadline passed before it could run',
        Code.overloaded: 'no slot in time',
        Code.backend_unreachable: 'the backend server takes no connection',
        Code.backend_cut: 'the backend server cut its answer short',
        Code.outcome_unknown: 'it may have run: no answer came back',
        Code.timed_out: 'no answer before the deadline',
        Code.caller_gone: 'the caller hung up',
        Code.answer_mismatched: 'an answer to another request: dropped',
        Code.lease_ended: 'the reservation ended before the run came',
        Code.key_repeated: 'this idempotency key has run already',
        Code.too_deep: 'calls lead to calls without end',
        Code.head_timed_out: 'the head of the request came too slowly',
        Code.backend_shed: 'the backend server refused it unrun',
        Code.peer_lost: 'the connection to another node was lost',
        Code.service_error: 'the backend server answered with an error',
        Code.backend_ended: 'the backend server ended while it ran it',
        Code.request_on_trial: 'servers ended under it: it is run alone',
        Code.request_harmful: 'servers ended under it: it is not run for now',
        Code.server_word_malformed: 'a backend server says what cannot be read',
        Code.rate_limited: 'servers take no more requests a second',
        Code.evacuated: 'operators have evacuated the data centre',
        Code.stopping: 'the node would end before its answer is there',
        Code.memory_full: 'the node has no memory left for it',
        Code.address_in_use: 'a listening address cannot be bound',
        Code.drain_bound_passed: 'work in flight outlived the drain bound',
        Code.invariant_broken: 'an invariant does not hold: a defect',
        Code.admin_unauthorised: 'token missing or wrong',
        Code.admin_unreachable: 'the admin address does not answer',
        Code.admin_not_found: 'no such page of the admin API',
    },
)
