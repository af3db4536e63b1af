#include "node/calls.h"
#include "quetzalloft/error.h"

ql_call_t *ql_call_new(const ql_attempt_id_t *id, uint32_t attempts)
{
	ql_call_t *call = g_new0(ql_call_t, 1);

	call->references = 1;
	call->id = *id;
	pthread_mutex_init(&call->lock, NULL);
	ql_allowance_init(&call->allowance, attempts);
	return call;
}

static ql_call_t *call_ref(ql_call_t *call)
{
	__atomic_add_fetch(&call->references, 1, __ATOMIC_RELAXED);
	return call;
}

void ql_call_unref(ql_call_t *call)
{
	if (!call || __atomic_sub_fetch(&call->references, 1, __ATOMIC_ACQ_REL))
		return;
	pthread_mutex_destroy(&call->lock);
	g_free(call);
}

uint32_t ql_call_start_downstream(ql_call_t *call, const ql_document_t *doc,
				  uint16_t callee)
{
	int service = ql_document_find_service(doc, call->service);
	uint32_t reserve;
	uint16_t i;

	if (service < 0)
		return 0;
	pthread_mutex_lock(&call->lock);
	for (i = 0; i < doc->services[service].n_calls; i++)
		if (doc->services[service].calls[i] == callee)
			call->started_calls |= 1ULL << i;
	reserve = ql_allowance_compute_reserve(doc, (uint16_t)service,
					       call->started_calls, callee);
	pthread_mutex_unlock(&call->lock);
	return reserve;
}

uint32_t ql_call_lend_attempts(ql_call_t *call, uint32_t need, uint32_t reserve)
{
	uint32_t lent = 0;

	pthread_mutex_lock(&call->lock);
	if (!call->ended)
		lent = ql_allowance_lend(&call->allowance, need, reserve);
	pthread_mutex_unlock(&call->lock);
	return lent;
}

void ql_call_restore_attempts(ql_call_t *call, uint32_t lent)
{
	pthread_mutex_lock(&call->lock);
	if (!call->ended)
		ql_allowance_cancel(&call->allowance, lent);
	pthread_mutex_unlock(&call->lock);
}

void ql_call_return_attempts(ql_call_t *call, uint32_t lent, uint32_t unused)
{
	pthread_mutex_lock(&call->lock);
	/* ql_call_end() already reported the lent attempts as used. */
	if (!call->ended)
		ql_allowance_return(&call->allowance, lent, unused);
	pthread_mutex_unlock(&call->lock);
}

void ql_call_record_load_level(ql_call_t *call, uint32_t load_level)
{
	pthread_mutex_lock(&call->lock);
	call->load_level = MAX(call->load_level, load_level);
	pthread_mutex_unlock(&call->lock);
}

uint32_t ql_call_load_level(ql_call_t *call)
{
	uint32_t load_level;

	pthread_mutex_lock(&call->lock);
	load_level = call->load_level;
	pthread_mutex_unlock(&call->lock);
	return load_level;
}

void ql_call_cancel(ql_call_t *call)
{
	__atomic_store_n(&call->cancelled, 1, __ATOMIC_RELEASE);
}

bool ql_call_is_cancelled(const ql_call_t *call)
{
	return __atomic_load_n(&call->cancelled, __ATOMIC_ACQUIRE);
}

uint32_t ql_call_end(ql_call_t *call)
{
	uint32_t unused;

	pthread_mutex_lock(&call->lock);
	call->ended = true;
	unused = call->allowance.remaining;
	call->allowance.remaining = 0;
	pthread_mutex_unlock(&call->lock);
	return unused;
}

static guint hash_attempt_id(gconstpointer key)
{
	const ql_attempt_id_t *id = key;

	return (guint)(id->attempt ^ id->attempt >> 32);
}

static gboolean equal_attempt_ids(gconstpointer a, gconstpointer b)
{
	const ql_attempt_id_t *x = a, *y = b;

	return x->attempt == y->attempt && x->request == y->request;
}

static void unref_call(void *data)
{
	ql_call_unref(data);
}

void ql_calls_init(ql_calls_t *calls)
{
	pthread_mutex_init(&calls->lock, NULL);
	calls->by_id = g_hash_table_new_full(hash_attempt_id, equal_attempt_ids,
					     NULL, unref_call);
}

void ql_calls_finish(ql_calls_t *calls)
{
	g_hash_table_destroy(calls->by_id);
	pthread_mutex_destroy(&calls->lock);
}

int ql_calls_add(ql_calls_t *calls, ql_call_t *call)
{
	int ret = 0;

	pthread_mutex_lock(&calls->lock);
	if (g_hash_table_contains(calls->by_id, &call->id))
		ret = QL_E_EXISTS;
	else
		g_hash_table_insert(calls->by_id, &call->id, call_ref(call));
	pthread_mutex_unlock(&calls->lock);
	return ret;
}

ql_call_t *ql_calls_find(ql_calls_t *calls, const ql_attempt_id_t *id)
{
	ql_call_t *call;

	pthread_mutex_lock(&calls->lock);
	call = g_hash_table_lookup(calls->by_id, id);
	if (call)
		call_ref(call);
	pthread_mutex_unlock(&calls->lock);
	return call;
}

void ql_calls_remove(ql_calls_t *calls, const ql_call_t *call)
{
	pthread_mutex_lock(&calls->lock);
	g_hash_table_remove(calls->by_id, &call->id);
	pthread_mutex_unlock(&calls->lock);
}

guint ql_calls_count(ql_calls_t *calls)
{
	guint count;

	pthread_mutex_lock(&calls->lock);
	count = g_hash_table_size(calls->by_id);
	pthread_mutex_unlock(&calls->lock);
	return count;
}
