#include "control/replica_private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Most messages that wait for a write. While a disk takes no writes the oldest
 * are dropped: the peers repeat what they need.
 */
#define DEFERRED_MESSAGES_MAX 1024u

/* A message to send once the write with this number is synced. */
typedef struct {
	uint64_t required_write;
	ql_rpc_replica_message *message;
} deferred_message_t;

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

static void drop_oldest_deferred(ql_replica_t *replica)
{
	deferred_message_t *deferred =
		g_queue_pop_head(&replica->deferred_messages);

	ql_replica_message_free(deferred->message);
	g_free(deferred);
}

void ql_replica__send_after_sync(ql_replica_t *replica,
				 ql_rpc_replica_message *message)
{
	deferred_message_t *deferred;

	if (replica->required_write <= replica->last_synced_write) {
		ql_replica__send(replica, message);
		return;
	}
	deferred = g_new(deferred_message_t, 1);
	deferred->required_write = replica->required_write;
	deferred->message = message;
	g_queue_push_tail(&replica->deferred_messages, deferred);
	if (replica->deferred_messages.length > DEFERRED_MESSAGES_MAX)
		drop_oldest_deferred(replica);
}

/* A message of an older term must not be sent in a newer one. */
static bool is_outdated(const ql_replica_t *replica,
			const ql_rpc_replica_message *message)
{
	return message->term != replica->state.term;
}

void ql_replica__release_deferred(ql_replica_t *replica)
{
	deferred_message_t *deferred;

	while ((deferred = g_queue_peek_head(&replica->deferred_messages))) {
		if (deferred->required_write > replica->last_synced_write)
			return;
		g_queue_pop_head(&replica->deferred_messages);
		if (is_outdated(replica, deferred->message))
			ql_replica_message_free(deferred->message);
		else
			ql_replica__send(replica, deferred->message);
		g_free(deferred);
	}
}
