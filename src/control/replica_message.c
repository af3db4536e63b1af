#include "control/replica_private.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
	uint64_t required;
	ql_rpc_replica_message *message;
} held_t;

ql_rpc_replica_message *ql_replica__new_message(const ql_replica_t *replica,
						ql_replica_message_type type,
						uint64_t to)
{
	ql_rpc_replica_message *message = calloc(1, sizeof(*message));

	g_assert(message);
	message->type = type;
	message->from = replica->state.identity;
	message->to = to;
	message->term = replica->state.term;
	return message;
}

void ql_replica_message_free(ql_rpc_replica_message *message)
{
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_message, message);
	free(message);
}

void ql_replica__send(ql_replica_t *replica, ql_rpc_replica_message *message)
{
	replica->ops->send(replica->data, message);
}

void ql_replica__send_after_sync(ql_replica_t *replica,
				 ql_rpc_replica_message *message)
{
	held_t *held;

	if (replica->required_write <= replica->last_synced_write) {
		ql_replica__send(replica, message);
		return;
	}
	held = g_new(held_t, 1);
	held->required = replica->required_write;
	held->message = message;
	g_queue_push_tail(&replica->deferred_messages, held);
}

/* What was promised in an older term is not said any more. */
static bool is_outdated(const ql_replica_t *replica,
			const ql_rpc_replica_message *message)
{
	return message->term != replica->state.term;
}

void ql_replica__release_deferred(ql_replica_t *replica)
{
	held_t *held;

	while ((held = g_queue_peek_head(&replica->deferred_messages))) {
		if (held->required > replica->last_synced_write)
			return;
		g_queue_pop_head(&replica->deferred_messages);
		if (is_outdated(replica, held->message))
			ql_replica_message_free(held->message);
		else
			ql_replica__send(replica, held->message);
		g_free(held);
	}
}
