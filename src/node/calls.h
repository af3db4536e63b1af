#ifndef QL_NODE_CALLS_H
#define QL_NODE_CALLS_H

/**
 * DOC: The calls that this node serves at present. The calls that an endpoint
 * makes on behalf of one inherit its deadline, class and allowance.
 */

#include "quetzalloft/allowance.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_call - A call in progress, counted by references.
 * @references: holders of this call
 * @id: identity of the attempt; zeros for a client request
 * @class_name: class of the client request
 * @shed_order: of the class
 * @deadline_us: when its time is over
 * @lock: guards what follows
 * @service: the service that it runs at; empty for a client request
 * @allowance: attempts that may still be spent below it
 * @begun: bits of the calls of @service that were begun
 * @ended: no new call may be made for it
 * @load_level: highest load level that calls below it met
 * @cancelled: its caller gave up; calls below it are given up too
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
 * ql_call_new() - Make a call with one reference.
 * @id: identity of the attempt
 * @attempts: its allowance
 *
 * Return: the call.
 */
ql_call_t *ql_call_new(const ql_attempt_id_t *id, uint32_t attempts);
void ql_call_unref(ql_call_t *call);

/**
 * ql_call_start_downstream() - Begin a call to another service below this call.
 * @call: the call
 * @doc: the configuration
 * @callee: index of the service that is called
 *
 * Return: attempts that the calls not begun yet need.
 */
uint32_t ql_call_start_downstream(ql_call_t *call, const ql_document_t *doc,
				  uint16_t callee);

/**
 * ql_call_lend_attempts() - Take attempts for one attempt below this call.
 * @call: the call
 * @need: see ql_allowance_lend()
 * @reserve: see ql_call_start_downstream()
 *
 * Return: attempts lent, 0 when none can be lent or the call has ended.
 */
uint32_t ql_call_lend_attempts(ql_call_t *call, uint32_t need,
			       uint32_t reserve);

/**
 * ql_call_restore_attempts() - Put back an attempt of which nothing was sent.
 * @call: the call
 * @lent: what it was lent
 */
void ql_call_restore_attempts(ql_call_t *call, uint32_t lent);

/**
 * ql_call_return_attempts() - Put back what an attempt did not use.
 * @call: the call
 * @lent: what it was lent
 * @unused: what was not used
 */
void ql_call_return_attempts(ql_call_t *call, uint32_t lent, uint32_t unused);

/**
 * ql_call_record_load_level() - Note the load level that a call below met.
 * @call: the call
 * @load_level: the level
 */
void ql_call_record_load_level(ql_call_t *call, uint32_t load_level);

/**
 * ql_call_load_level() - The highest load level met so far.
 * @call: the call
 *
 * Return: the level.
 */
uint32_t ql_call_load_level(ql_call_t *call);

/**
 * ql_call_cancel() - Note that the caller gave up.
 * @call: the call
 */
void ql_call_cancel(ql_call_t *call);

/**
 * ql_call_is_cancelled() - Whether the caller gave up.
 * @call: the call
 *
 * Return: true after ql_call_cancel().
 */
bool ql_call_is_cancelled(const ql_call_t *call);

/**
 * ql_call_end() - End a call and take its allowance.
 * @call: the call
 *
 * Return: attempts that were not used.
 */
uint32_t ql_call_end(ql_call_t *call);

/**
 * struct ql_calls - The calls that run at local endpoints.
 */
typedef struct ql_calls {
	pthread_mutex_t lock;
	GHashTable *by_id;
} ql_calls_t;

void ql_calls_init(ql_calls_t *calls);
void ql_calls_finish(ql_calls_t *calls);

/**
 * ql_calls_add() - Enter a call.
 * @calls: the calls
 * @call: the call; a reference is taken
 *
 * Return: 0, or QL_E_EXISTS when this attempt runs already.
 */
int ql_calls_add(ql_calls_t *calls, ql_call_t *call);

/**
 * ql_calls_find() - Find a call by its attempt.
 * @calls: the calls
 * @id: the attempt
 *
 * Return: the call with a new reference, or NULL.
 */
ql_call_t *ql_calls_find(ql_calls_t *calls, const ql_attempt_id_t *id);

void ql_calls_remove(ql_calls_t *calls, const ql_call_t *call);

/**
 * ql_calls_count() - Calls in progress.
 * @calls: the calls
 *
 * Return: their number.
 */
guint ql_calls_count(ql_calls_t *calls);

G_END_DECLS

#endif
