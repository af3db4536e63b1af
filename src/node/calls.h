#ifndef QL_NODE_CALLS_H
#define QL_NODE_CALLS_H

/**
 * DOC: Calls in flight at this node. An endpoint that serves a call may make
 * downstream calls for it; they inherit its deadline, its class and its attempt
 * allowance.
 */

#include "quetzalloft/allowance.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_call - A call in flight, with a reference count.
 * @references: reference count; atomic
 * @id: identity of the attempt; its attempt is 0 for a client request
 * @class_name: class of the client request
 * @shed_order: shed order of the class
 * @deadline_us: deadline, on the clock of ql_clock_now_us()
 * @lock: guards @allowance to @load_level
 * @service: service of the endpoint that runs the call, set before the call
 *           starts; empty for a client request
 * @allowance: attempts that downstream calls may still make
 * @started_calls: bit mask of the downstream calls already started, by their
 *                 index among the calls of @service in the document
 * @ended: the call has ended; it lends no further attempts
 * @load_level: highest load level that a downstream call returned, see
 *              ql_gate_load_level()
 * @cancelled: the caller cancelled the call, which cancels its downstream calls
 *             too; atomic
 */
typedef struct ql_call {
	uint32_t references;
	ql_attempt_id_t id;
	char class_name[QL_NAME_MAX];
	uint32_t shed_order;
	uint64_t deadline_us;
	pthread_mutex_t lock;
	char service[QL_NAME_MAX];
	ql_allowance_t allowance;
	uint64_t started_calls;
	bool ended;
	uint32_t load_level;
	int cancelled;
} ql_call_t;

/**
 * ql_call_new() - Create a call with one reference.
 * @id: identity of the attempt
 * @attempts: attempt allowance of its downstream calls
 *
 * Return: the call; release it with ql_call_unref().
 */
ql_call_t *ql_call_new(const ql_attempt_id_t *id, uint32_t attempts);

/**
 * ql_call_unref() - Release a reference.
 * @call: the call, freed with its last reference; NULL is ignored
 */
void ql_call_unref(ql_call_t *call);

/**
 * ql_call_start_downstream() - Mark a downstream call as started.
 * @call: the call that makes the downstream call
 * @doc: the configuration
 * @callee: index of the called service in @doc
 *
 * Return: number of attempts to reserve for the downstream calls not yet
 * started, see ql_allowance_compute_reserve(); 0 if the service of @call is not
 * in @doc.
 */
uint32_t ql_call_start_downstream(ql_call_t *call, const ql_document_t *doc,
				  uint16_t callee);

/**
 * ql_call_lend_attempts() - Subtract the attempts that one attempt of a
 * downstream call may use from the allowance.
 * @call: the call
 * @need: attempts that the callee uses when none fails, see ql_allowance_lend()
 * @reserve: attempts to keep, see ql_call_start_downstream()
 *
 * Return: number of attempts lent; 0 if fewer than @need remain or the call has
 * ended.
 */
uint32_t ql_call_lend_attempts(ql_call_t *call, uint32_t need,
			       uint32_t reserve);

/**
 * ql_call_restore_attempts() - Add all attempts lent for an attempt that was
 * not sent to the allowance again.
 * @call: the call; ignored if it has ended
 * @lent: number of attempts lent
 */
void ql_call_restore_attempts(ql_call_t *call, uint32_t lent);

/**
 * ql_call_return_attempts() - Add the unused attempts of a finished attempt to
 * the allowance again.
 * @call: the call; ignored if it has ended
 * @lent: number of attempts lent
 * @unused: number of attempts that the callee reports as unused
 */
void ql_call_return_attempts(ql_call_t *call, uint32_t lent, uint32_t unused);

/**
 * ql_call_record_load_level() - Record the load level that a downstream call
 * returned.
 * @call: the call
 * @load_level: the load level
 */
void ql_call_record_load_level(ql_call_t *call, uint32_t load_level);

/**
 * ql_call_load_level() - Read the highest load level recorded so far.
 * @call: the call
 *
 * Return: the load level, 0 if none was recorded.
 */
uint32_t ql_call_load_level(ql_call_t *call);

/**
 * ql_call_cancel() - Mark a call as cancelled by its caller.
 * @call: the call
 */
void ql_call_cancel(ql_call_t *call);

/**
 * ql_call_is_cancelled() - Check whether a call was cancelled.
 * @call: the call
 *
 * Return: true after ql_call_cancel().
 */
bool ql_call_is_cancelled(const ql_call_t *call);

/**
 * ql_call_end() - End a call and set its allowance to 0.
 * @call: the call
 *
 * Return: number of attempts that were not used.
 */
uint32_t ql_call_end(ql_call_t *call);

/**
 * struct ql_calls - The calls that run at local endpoints.
 * @lock: guards @by_id
 * @by_id: &struct ql_call by &ql_call.id; holds a reference to each
 */
typedef struct ql_calls {
	pthread_mutex_t lock;
	GHashTable *by_id;
} ql_calls_t;

/**
 * ql_calls_init() - Initialize an empty table of calls.
 * @calls: the table
 */
void ql_calls_init(ql_calls_t *calls);

/**
 * ql_calls_finish() - Release all calls and the table.
 * @calls: the table
 */
void ql_calls_finish(ql_calls_t *calls);

/**
 * ql_calls_add() - Add a call.
 * @calls: the table
 * @call: the call; a reference is taken
 *
 * Return: 0, or QL_E_EXISTS if a call of the same attempt is in the table.
 */
int ql_calls_add(ql_calls_t *calls, ql_call_t *call);

/**
 * ql_calls_find() - Find a call by the identity of its attempt.
 * @calls: the table
 * @id: identity of the attempt
 *
 * Return: the call with a new reference, or NULL.
 */
ql_call_t *ql_calls_find(ql_calls_t *calls, const ql_attempt_id_t *id);

/**
 * ql_calls_remove() - Remove a call and release the reference of the table.
 * @calls: the table
 * @call: the call; ignored if it is not in the table
 */
void ql_calls_remove(ql_calls_t *calls, const ql_call_t *call);

/**
 * ql_calls_count() - Count the calls in the table.
 * @calls: the table
 *
 * Return: number of calls.
 */
guint ql_calls_count(ql_calls_t *calls);

G_END_DECLS

#endif
