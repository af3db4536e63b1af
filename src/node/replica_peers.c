#include "node/replica_peers.h"
#include "control/greeting.h"
#include "control/rpc_client.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"
#include "quetzalloft/replica.h"

#include <stdlib.h>
#include <string.h>

#define REPLICA_CALL_TIMEOUT_MS 1000u
#define LINK_QUEUE_MAX 512u
#define BATCH_MAX_BYTES (1u << 20)
#define FAILED_CALL_BACKOFF_US (100 * QL_US_PER_MS)

/*
 * A connection to one replica. @lock guards @queue, @stopping and @dropped.
 * Only the thread of the connection makes calls on @client and uses @failing.
 */
struct ql_replica_link {
	const ql_replica_peers_t *peers;
	ql_rpc_client_t client;
	pthread_mutex_t lock;
	pthread_cond_t queue_changed;
	GQueue queue;
	bool stopping;
	bool failing;
	uint64_t dropped;
	GThread *thread;
};

static void fill_greeting(const ql_replica_peers_t *peers,
			  ql_rpc_greeting *greeting)
{
	ql_greeting_sender_t sender = {
		.cluster = peers->settings->cluster,
		.node = peers->settings->node,
		.failure_domain = peers->settings->failure_domain,
		.incarnation = peers->incarnation,
	};

	ql_greeting_fill(greeting, &sender, peers->hlc);
}

static size_t message_bytes(const ql_rpc_replica_message *message)
{
	size_t bytes = sizeof(*message) + message->piece.piece_len;
	u_int i;

	for (i = 0; i < message->entries.entries_len; i++)
		bytes += message->entries.entries_val[i].payload.payload_len;
	return bytes;
}

static void clear_queue(ql_replica_link_t *link)
{
	ql_rpc_replica_message *message;

	while ((message = g_queue_pop_head(&link->queue)))
		ql_replica_message_free(message);
}

/*
 * Moves messages from the queue to the arguments of one call, up to
 * QL_REPLICA_BATCH_MAX messages and, unless one message is larger,
 * BATCH_MAX_BYTES.
 */
static void take_batch(ql_replica_link_t *link,
		       ql_rpc_replica_deliver_args *args)
{
	ql_rpc_replica_message *message;
	size_t bytes = 0;

	while ((message = g_queue_peek_head(&link->queue))) {
		bytes += message_bytes(message);
		if (args->messages.messages_len == QL_REPLICA_BATCH_MAX ||
		    (args->messages.messages_len && bytes > BATCH_MAX_BYTES))
			return;
		g_queue_pop_head(&link->queue);
		args->messages.messages_val[args->messages.messages_len++] =
			*message;
		free(message);
	}
}

static bool wait_for_batch(ql_replica_link_t *link,
			   ql_rpc_replica_deliver_args *args)
{
	bool has_batch;

	pthread_mutex_lock(&link->lock);
	while (!link->queue.length && !link->stopping)
		pthread_cond_wait(&link->queue_changed, &link->lock);
	has_batch = !link->stopping;
	if (has_batch)
		take_batch(link, args);
	pthread_mutex_unlock(&link->lock);
	return has_batch;
}

static void log_result(ql_replica_link_t *link, GError *error)
{
	if (!error && link->failing)
		ql_log(LOG_NOTICE, "replica_reached",
		       QL_STR("address", link->client.address));
	if (error && !link->failing)
		ql_log(LOG_WARNING, "replica_unreachable",
		       QL_STR("address", link->client.address),
		       QL_STR("error", ql_error_name(error->code)),
		       QL_STR("detail", error->message));
	link->failing = error != NULL;
}

static void deliver_batch(ql_replica_link_t *link,
			  ql_rpc_replica_deliver_args *args)
{
	ql_rpc_replica_deliver_res res = {0};
	ql_rpc_call_t deliver = {
		.procedure = QL_REPLICA_DELIVER,
		.encode = (xdrproc_t)xdr_ql_rpc_replica_deliver_args,
		.args = args,
		.decode = (xdrproc_t)xdr_ql_rpc_replica_deliver_res,
		.result = &res,
	};
	GError *error = NULL;
	int ret = ql_rpc_client_call(&link->client, &deliver, &error);

	if (!ret && res.status)
		ql_error_set(&error, (ql_error_code_t)res.status, "%s",
			     res.detail);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_deliver_res, &res);
	log_result(link, error);
	if (error)
		g_usleep(FAILED_CALL_BACKOFF_US);
	g_clear_error(&error);
}

static void free_batch(ql_rpc_replica_deliver_args *args)
{
	u_int i;

	for (i = 0; i < args->messages.messages_len; i++)
		xdr_free((xdrproc_t)xdr_ql_rpc_replica_message,
			 &args->messages.messages_val[i]);
	args->messages.messages_len = 0;
}

static void *run_link(void *data)
{
	ql_replica_link_t *link = data;
	ql_rpc_replica_message batch[QL_REPLICA_BATCH_MAX];
	ql_rpc_replica_deliver_args args = {
		.address = (char *)link->peers->own_address,
		.messages.messages_val = batch,
	};

	while (wait_for_batch(link, &args)) {
		fill_greeting(link->peers, &args.greeting);
		deliver_batch(link, &args);
		free_batch(&args);
	}
	return NULL;
}

static ql_replica_link_t *open_link(ql_replica_peers_t *peers,
				    const char *address)
{
	ql_replica_link_t *link = g_new0(ql_replica_link_t, 1);

	link->peers = peers;
	ql_rpc_client_init(&link->client, address, QL_REPLICA_PROGRAM,
			   QL_REPLICA_V1, REPLICA_CALL_TIMEOUT_MS);
	pthread_mutex_init(&link->lock, NULL);
	pthread_cond_init(&link->queue_changed, NULL);
	g_queue_init(&link->queue);
	link->thread = g_thread_new("replica-peer", run_link, link);
	peers->links[peers->n_links++] = link;
	return link;
}

static ql_replica_link_t *find_link(ql_replica_peers_t *peers,
				    const char *address)
{
	size_t i;

	for (i = 0; i < peers->n_links; i++)
		if (!strcmp(peers->links[i]->client.address, address))
			return peers->links[i];
	if (peers->n_links == QL_REPLICA_PEERS_MAX)
		return NULL;
	return open_link(peers, address);
}

void ql_replica_peers_send(ql_replica_peers_t *peers, const char *address,
			   ql_rpc_replica_message *message)
{
	ql_replica_link_t *link = find_link(peers, address);

	if (!link) {
		ql_replica_message_free(message);
		return;
	}
	pthread_mutex_lock(&link->lock);
	if (link->queue.length >= LINK_QUEUE_MAX) {
		link->dropped++;
		ql_replica_message_free(g_queue_pop_head(&link->queue));
	}
	g_queue_push_tail(&link->queue, message);
	pthread_cond_signal(&link->queue_changed);
	pthread_mutex_unlock(&link->lock);
}

int ql_replica_peers_query_status(const ql_replica_peers_t *peers,
				  const char *address,
				  ql_rpc_replica_status_res *res)
{
	ql_rpc_replica_status_args args = {{0}};
	ql_rpc_call_t status = {
		.procedure = QL_REPLICA_STATUS,
		.encode = (xdrproc_t)xdr_ql_rpc_replica_status_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_replica_status_res,
		.result = res,
	};
	ql_rpc_client_t client;
	int ret;

	fill_greeting(peers, &args.greeting);
	ql_rpc_client_init(&client, address, QL_REPLICA_PROGRAM, QL_REPLICA_V1,
			   REPLICA_CALL_TIMEOUT_MS);
	ret = ql_rpc_client_call(&client, &status, NULL);
	ql_rpc_client_finish(&client);
	return ret ? ret : res->status;
}

static void stop_link(ql_replica_link_t *link)
{
	pthread_mutex_lock(&link->lock);
	link->stopping = true;
	pthread_cond_signal(&link->queue_changed);
	pthread_mutex_unlock(&link->lock);
}

static void close_link(ql_replica_link_t *link)
{
	g_thread_join(link->thread);
	clear_queue(link);
	ql_rpc_client_finish(&link->client);
	pthread_cond_destroy(&link->queue_changed);
	pthread_mutex_destroy(&link->lock);
	g_free(link);
}

void ql_replica_peers_finish(ql_replica_peers_t *peers)
{
	size_t i;

	for (i = 0; i < peers->n_links; i++)
		stop_link(peers->links[i]);
	for (i = 0; i < peers->n_links; i++)
		close_link(peers->links[i]);
	peers->n_links = 0;
}
