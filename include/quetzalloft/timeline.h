#ifndef QUETZALLOFT_TIMELINE_H
#define QUETZALLOFT_TIMELINE_H

/**
 * DOC: The time line: a bounded ring of the newest events of one process.
 *
 * Every event carries a stamp of the process's hybrid logical clock, so that
 * the events of all processes merge in an order that puts each cause before
 * its effects, however far apart the wall clocks are.
 */

#include "quetzalloft/clock.h"
#include "quetzalloft/types.h"

#include <jansson.h>
#include <pthread.h>
#include <stddef.h>

G_BEGIN_DECLS

/** Locks of a time line; slots are spread over them. */
#define QL_TIMELINE_LOCKS 64u
/** Events kept when the caller does not say. */
#define QL_TIMELINE_EVENTS_DEFAULT 8192u
/** Most events in one report; the caller asks again for the rest. */
#define QL_TIMELINE_REPORT_EVENTS_MAX 2048u
/** Bytes of a clock or of an identity in text: 16 hex digits and NUL. */
#define QL_HEX64_MAX 17

/**
 * enum ql_event - What happened. The events of the state charts are among
 * them, under the same names.
 */
typedef enum ql_event {
	QL_EVENT_REQUEST_RECEIVED,
	QL_EVENT_REQUEST_DONE,
	QL_EVENT_ATTEMPT_SENT,
	QL_EVENT_ATTEMPT_ANSWERED,
	QL_EVENT_ATTEMPT_REFUSED,
	QL_EVENT_ATTEMPT_LOST,
	QL_EVENT_ATTEMPT_DROPPED,
	QL_EVENT_ATTEMPT_CANCELLED,
	QL_EVENT_GATE_QUEUED,
	QL_EVENT_GATE_ADMITTED,
	QL_EVENT_GATE_REFUSED,
	QL_EVENT_GATE_DONE,
	QL_EVENT_KEY_CLAIMED,
	QL_EVENT_KEY_REFUSED,
	QL_EVENT_KEY_SEALED,
	QL_EVENT_ENDPOINT_UP,
	QL_EVENT_ENDPOINT_WARM,
	QL_EVENT_ENDPOINT_EJECTED,
	QL_EVENT_ENDPOINT_READMITTED,
	QL_EVENT_ENDPOINT_LEAVING,
	QL_EVENT_ENDPOINT_GONE,
	QL_EVENT_REPLICA_PROMOTED,
	QL_EVENT_REPLICA_ELECTION_TIMEOUT,
	QL_EVENT_REPLICA_PRE_VOTE_WON,
	QL_EVENT_REPLICA_VOTE_WON,
	QL_EVENT_REPLICA_LEADER_HEARD,
	QL_EVENT_REPLICA_HIGHER_TERM,
	QL_EVENT_REPLICA_QUORUM_LOST,
	QL_EVENT_REPLICA_REMOVED,
	QL_EVENT_PATCH_RECEIVED,
	QL_EVENT_PATCH_APPENDED,
	QL_EVENT_PATCH_REFUSED,
	QL_EVENT_PATCH_LEADER_LOST,
	QL_EVENT_PATCH_COMMITTED,
	QL_EVENT_PATCH_IN_FORCE,
	QL_EVENT_NODE_STARTED,
	QL_EVENT_CONFIG_IN_FORCE,
	QL_EVENT_LEASE_FAILED,
	QL_EVENT_STOP_REQUESTED,
	QL_EVENT_DRAIN_FINISHED,
	QL_EVENT_NODE_STOPPED,
	QL_N_EVENTS,
} ql_event_t;

/**
 * ql_event_name() - The name of an event in reports, logs and charts.
 * @event: the event
 *
 * Return: a static string.
 */
const char *ql_event_name(ql_event_t event);

/**
 * ql_event_parse() - Find an event by its name.
 * @out: the event
 * @name: the name
 *
 * Return: 0 or QL_E_NOT_FOUND.
 */
int ql_event_parse(ql_event_t *out, const char *name);

/**
 * struct ql_timeline_event - One event; what does not apply stays zero.
 * @event: what happened
 * @id: the client request and the attempt
 * @parent: the attempt on whose behalf @id was made; 0 at the first node
 * @version: configuration version in force, or the version of a patch
 * @has_outcome: whether @outcome applies
 * @outcome: what is known of the call
 * @reason: why it was not answered
 * @service: the service that is called, or NULL
 * @endpoint: gate address of the endpoint, or NULL
 * @class_name: class of the client request, or NULL
 */
typedef struct ql_timeline_event {
	ql_event_t event;
	ql_attempt_id_t id;
	uint64_t parent;
	uint64_t version;
	bool has_outcome;
	ql_outcome_t outcome;
	ql_reason_t reason;
	const char *service;
	const char *endpoint;
	const char *class_name;
} ql_timeline_event_t;

/**
 * struct ql_timeline_slot - An event as it is kept.
 * @index: number of the event in this process, from 1; 0 is an empty slot
 * @clock: hybrid logical clock
 * @wall_us: wall clock of this process, in microseconds since the epoch
 */
typedef struct ql_timeline_slot {
	uint64_t index;
	uint64_t clock;
	uint64_t wall_us;
	ql_attempt_id_t id;
	uint64_t parent;
	uint64_t version;
	uint8_t event;
	uint8_t outcome;
	uint8_t reason;
	bool has_outcome;
	char service[QL_NAME_MAX];
	char endpoint[QL_ADDRESS_MAX];
	char class_name[QL_NAME_MAX];
} ql_timeline_slot_t;

/**
 * struct ql_timeline - The ring.
 * @node: name of this process, borrowed
 * @hlc: its clock, borrowed
 * @slots: the events
 * @capacity: their number, a multiple of QL_TIMELINE_LOCKS
 * @recorded: events recorded since the start
 * @locks: each guards every QL_TIMELINE_LOCKS-th slot
 */
typedef struct ql_timeline {
	const char *node;
	ql_hlc_t *hlc;
	ql_timeline_slot_t *slots;
	size_t capacity;
	uint64_t recorded;
	pthread_mutex_t locks[QL_TIMELINE_LOCKS];
} ql_timeline_t;

/**
 * ql_timeline_init() - Prepare an empty time line.
 * @timeline: the time line
 * @node: name of this process, borrowed
 * @hlc: its clock, borrowed
 * @capacity: events kept, rounded up to a multiple of QL_TIMELINE_LOCKS; 0
 *            for QL_TIMELINE_EVENTS_DEFAULT
 */
void ql_timeline_init(ql_timeline_t *timeline, const char *node, ql_hlc_t *hlc,
		      size_t capacity);

void ql_timeline_finish(ql_timeline_t *timeline);

/**
 * ql_timeline_record() - Stamp an event and keep it, over the oldest one.
 * @timeline: the time line, or NULL to record nothing
 * @event: the event; its strings are copied
 *
 * Any thread may call this.
 *
 * Return: the stamp, 0 without a time line.
 */
uint64_t ql_timeline_record(ql_timeline_t *timeline,
			    const ql_timeline_event_t *event);

/**
 * struct ql_timeline_filter - Which events are wanted.
 * @request: only those of this client request; 0 for all
 * @has_version: whether @version applies
 * @version: only those with this configuration version
 * @since: only those with a later stamp
 * @service: only those with this service; empty for all
 * @endpoint: only those with this endpoint; empty for all
 */
typedef struct ql_timeline_filter {
	uint64_t request;
	bool has_version;
	uint64_t version;
	uint64_t since;
	char service[QL_NAME_MAX];
	char endpoint[QL_ADDRESS_MAX];
} ql_timeline_filter_t;

/**
 * ql_timeline_filter_parse() - Read a filter.
 * @filter: where to store it
 * @text: empty for all events, or a JSON object with any of "request" and
 *        "since" (16 hex digits), "version", "service" and "endpoint"
 * @error: detail of a failure
 *
 * Return: 0, or a failure of ql_json_parse() or ql_json_read().
 */
int ql_timeline_filter_parse(ql_timeline_filter_t *filter, const char *text,
			     GError **error);

/**
 * ql_timeline_filter_format() - Write a filter.
 * @filter: the filter
 *
 * Return: a string to free with free().
 */
char *ql_timeline_filter_format(const ql_timeline_filter_t *filter);

/**
 * ql_timeline_report() - The oldest events that pass a filter.
 * @timeline: the time line
 * @filter: see ql_timeline_filter_parse(); NULL for all
 *
 * The report has "node", "recorded" and "overwritten" (numbers of events),
 * "more" (whether QL_TIMELINE_REPORT_EVENTS_MAX cut it: ask again with "since"
 * set to the last stamp) and "events" by rising stamp. A malformed filter gives
 * a report with "error" and "detail" in their place.
 *
 * Return: the report.
 */
json_t *ql_timeline_report(ql_timeline_t *timeline, const char *filter);

/**
 * ql_hex64_format() - Write a clock or an identity as 16 hex digits.
 * @out: QL_HEX64_MAX bytes
 * @value: the value
 */
void ql_hex64_format(char *out, uint64_t value);

/**
 * ql_hex64_parse() - Read 1 to 16 hex digits.
 * @out: the value
 * @text: the digits, and nothing else
 *
 * Return: 0 or QL_E_INVALID.
 */
int ql_hex64_parse(uint64_t *out, const char *text);

G_END_DECLS

#endif
