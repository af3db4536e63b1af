/**
 * DOC: A fake endpoint for tests, benchmarks and the demonstration. It
 * announces itself to its node, serves requests in a limited number of slots
 * with random service times from a seed, and makes downstream calls.
 */

#include "node/http_client.h"
#include "node/http_server.h"
#include "quetzalloft/address.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/json.h"
#include "quetzalloft/metadata.h"
#include "quetzalloft/thread.h"

#include <argtable2.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define ANNOUNCE_INTERVAL_MS 500
#define ANNOUNCEMENT_LEASE_MS 2000
#define BODY_LIMIT_BYTES (64u << 20)
#define DOWNSTREAM_CALLS_MAX 16
#define CONTROL_PATH_PREFIX "/fake/"
/* Shorter service times are skipped. */
#define SLEEP_MIN_US 20

typedef struct {
	char service[QL_NAME_MAX];
	char path[128];
} callee_t;

typedef struct {
	const char *ip;
	unsigned int port;
	char node[QL_ADDRESS_MAX];
	char service[QL_NAME_MAX];
	uint32_t slots;
	uint32_t reported_slots;
	uint32_t connections;
	bool sheds;
	bool constant;
	uint64_t cold_start_us;
	uint64_t started_us;
	size_t body_bytes;
	callee_t calls[DOWNSTREAM_CALLS_MAX];
	size_t n_calls;
	ql_http_client_t client;
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	GRand *random;
	uint64_t latency_us;
	uint32_t in_progress;
	uint64_t runs;
	uint64_t shed;
	uint64_t duplicates;
	GHashTable *keys_run;
	int draining;
	int stopping;
} fake_t;

static uint64_t service_time_us(fake_t *fake)
{
	double factor = 1;
	uint64_t latency_us;

	pthread_mutex_lock(&fake->lock);
	latency_us = fake->latency_us;
	if (!fake->constant)
		factor = -log(1 - g_rand_double(fake->random));
	pthread_mutex_unlock(&fake->lock);
	if (ql_clock_now_us() - fake->started_us < fake->cold_start_us)
		factor *= 5;
	return (uint64_t)((double)latency_us * factor);
}

/*
 * Takes a slot, and waits for one if none is free. Returns false instead of
 * waiting if the endpoint sheds load.
 */
static bool take_slot(fake_t *fake)
{
	pthread_mutex_lock(&fake->lock);
	while (!fake->sheds && fake->in_progress >= fake->slots)
		pthread_cond_wait(&fake->slot_free, &fake->lock);
	if (fake->in_progress >= fake->slots) {
		fake->shed++;
		pthread_mutex_unlock(&fake->lock);
		return false;
	}
	fake->in_progress++;
	fake->runs++;
	pthread_mutex_unlock(&fake->lock);
	return true;
}

static void free_slot(fake_t *fake)
{
	pthread_mutex_lock(&fake->lock);
	fake->in_progress--;
	pthread_cond_signal(&fake->slot_free);
	pthread_mutex_unlock(&fake->lock);
}

/* Records the idempotency key of a request; counts one that ran before. */
static void record_key(fake_t *fake, const struct _u_request *request)
{
	const char *key = u_map_get_case(request->map_header, QL_HEADER_KEY);

	if (!key)
		return;
	pthread_mutex_lock(&fake->lock);
	if (!g_hash_table_add(fake->keys_run, g_strdup(key)))
		fake->duplicates++;
	pthread_mutex_unlock(&fake->lock);
}

static struct curl_slist *call_headers(const struct _u_request *request,
				       const callee_t *callee)
{
	const char *attempt =
		u_map_get_case(request->map_header, QL_HEADER_ATTEMPT_ID);
	char line[256];
	struct curl_slist *list = NULL;

	snprintf(line, sizeof(line), "%s: %s", QL_HEADER_SERVICE,
		 callee->service);
	list = curl_slist_append(list, line);
	if (attempt) {
		snprintf(line, sizeof(line), "%s: %s", QL_HEADER_ATTEMPT_ID,
			 attempt);
		list = curl_slist_append(list, line);
	}
	return list;
}

static bool call_service(fake_t *fake, const struct _u_request *request,
			 const callee_t *callee)
{
	const char *timeout =
		u_map_get_case(request->map_header, QL_HEADER_TIMEOUT);
	ql_http_request_t http = {
		.address = fake->node,
		.method = "GET",
		.target = callee->path,
		.headers = call_headers(request, callee),
		.timeout_ms = timeout ? strtoull(timeout, NULL, 10) : 1000,
		.body_limit_bytes = BODY_LIMIT_BYTES,
	};
	ql_http_response_t node_response;
	bool sent, ok;

	ql_http_response_init(&node_response);
	ok = !ql_http_client_exchange(&fake->client, &http, &node_response,
				      &sent, NULL) &&
	     node_response.status == 200;
	ql_http_response_finish(&node_response);
	curl_slist_free_all(http.headers);
	return ok;
}

static char *make_body(const fake_t *fake, const struct _u_request *request,
		       size_t *length)
{
	char *head = g_strdup_printf("%s %s %s\n", fake->service,
				     request->http_verb, request->http_url);
	size_t head_bytes = strlen(head);
	char *body;

	*length = MAX(head_bytes, fake->body_bytes);
	body = g_malloc(*length);
	memset(body, '.', *length);
	memcpy(body, head, head_bytes);
	g_free(head);
	return body;
}

static void run(fake_t *fake, const struct _u_request *request,
		struct _u_response *response)
{
	uint64_t delay_us = service_time_us(fake);
	size_t i, length;
	char *body;

	record_key(fake, request);
	if (delay_us >= SLEEP_MIN_US)
		g_usleep(delay_us);
	for (i = 0; i < fake->n_calls; i++) {
		if (call_service(fake, request, &fake->calls[i]))
			continue;
		ulfius_set_string_body_response(response, 502,
						"a downstream call failed\n");
		return;
	}
	body = make_body(fake, request, &length);
	ulfius_set_binary_body_response(response, 200, body, length);
	g_free(body);
}

static void send_stats(fake_t *fake, struct _u_response *response)
{
	char text[256];

	pthread_mutex_lock(&fake->lock);
	snprintf(text, sizeof(text),
		 "{\"runs\":%" G_GUINT64_FORMAT ",\"shed\":%" G_GUINT64_FORMAT
		 ",\"duplicates\":%" G_GUINT64_FORMAT ",\"keys\":%u}\n",
		 fake->runs, fake->shed, fake->duplicates,
		 g_hash_table_size(fake->keys_run));
	pthread_mutex_unlock(&fake->lock);
	ulfius_set_string_body_response(response, 200, text);
}

/*
 * Handles /fake/latency-us/N, which sets the mean service time, and any other
 * path below /fake/, which returns the counters.
 */
static void handle_control_path(fake_t *fake, const struct _u_request *request,
				struct _u_response *response)
{
	const char *name = request->http_url + strlen(CONTROL_PATH_PREFIX);

	if (g_str_has_prefix(name, "latency-us/")) {
		pthread_mutex_lock(&fake->lock);
		fake->latency_us = strtoull(strchr(name, '/') + 1, NULL, 10);
		pthread_mutex_unlock(&fake->lock);
		ulfius_set_string_body_response(response, 200, "ok\n");
		return;
	}
	send_stats(fake, response);
}

static void handle(void *data, const struct _u_request *request,
		   struct _u_response *response)
{
	fake_t *fake = data;

	if (g_str_has_prefix(request->http_url, CONTROL_PATH_PREFIX)) {
		handle_control_path(fake, request, response);
		return;
	}
	if (!take_slot(fake)) {
		u_map_put(response->map_header, QL_HEADER_OUTCOME, "not-run");
		u_map_put(response->map_header, QL_HEADER_REASON, "overload");
		ulfius_set_string_body_response(response, 503, "shed\n");
		return;
	}
	run(fake, request, response);
	free_slot(fake);
}

static void announce(fake_t *fake)
{
	char body[512];
	struct curl_slist *headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	ql_http_request_t http = {
		.address = fake->node,
		.method = "PUT",
		.target = "/quetzalloft/endpoint",
		.headers = headers,
		.timeout_ms = 1000,
		.body_limit_bytes = BODY_LIMIT_BYTES,
	};
	ql_http_response_t node_response;
	bool sent;

	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"port\":%u,\"slots\":%u,"
		 "\"connections\":%u,\"lease_ms\":%d,\"draining\":%s}",
		 fake->service, fake->port, fake->reported_slots,
		 fake->connections, ANNOUNCEMENT_LEASE_MS,
		 __atomic_load_n(&fake->draining, __ATOMIC_ACQUIRE) ? "true"
								    : "false");
	http.body = body;
	http.body_bytes = strlen(body);
	ql_http_response_init(&node_response);
	if (ql_http_client_exchange(&fake->client, &http, &node_response, &sent,
				    NULL) ||
	    node_response.status >= 300)
		fprintf(stderr, "fake_endpoint: announcement failed: %ld\n",
			node_response.status);
	ql_http_response_finish(&node_response);
	curl_slist_free_all(headers);
}

static void *run_announcer(void *data)
{
	fake_t *fake = data;

	while (!__atomic_load_n(&fake->stopping, __ATOMIC_ACQUIRE)) {
		announce(fake);
		g_usleep(ANNOUNCE_INTERVAL_MS * QL_US_PER_MS);
	}
	return NULL;
}

/* Announces that the endpoint is draining, and waits until it is idle. */
static void drain(fake_t *fake)
{
	uint32_t in_progress;

	__atomic_store_n(&fake->draining, 1, __ATOMIC_RELEASE);
	announce(fake);
	do {
		g_usleep(10 * QL_US_PER_MS);
		pthread_mutex_lock(&fake->lock);
		in_progress = fake->in_progress;
		pthread_mutex_unlock(&fake->lock);
	} while (in_progress);
}

static void serve(fake_t *fake)
{
	ql_http_server_opts_t opts = {
		.address = fake->ip,
		.port = fake->port,
		.connections = fake->connections,
		.body_limit_bytes = BODY_LIMIT_BYTES,
		.handle = handle,
		.data = fake,
	};
	ql_http_server_t *server = g_new0(ql_http_server_t, 1);
	GThread *thread;
	sigset_t signals;
	int received;

	if (ql_http_server_start(server, &opts, NULL)) {
		fprintf(stderr, "fake_endpoint: cannot listen at port %u\n",
			fake->port);
		exit(EX_UNAVAILABLE);
	}
	thread = g_thread_new("announce", run_announcer, fake);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigwait(&signals, &received);
	drain(fake);
	__atomic_store_n(&fake->stopping, 1, __ATOMIC_RELEASE);
	g_thread_join(thread);
	ql_http_server_stop(server);
	g_free(server);
}

static void parse_call(fake_t *fake, const char *text)
{
	const char *colon = strchr(text, ':');
	callee_t *callee;

	if (!colon || fake->n_calls == DOWNSTREAM_CALLS_MAX) {
		fputs("fake_endpoint: expected --call SERVICE:PATH\n", stderr);
		exit(EX_USAGE);
	}
	callee = &fake->calls[fake->n_calls++];
	g_strlcpy(callee->service, text,
		  MIN((size_t)(colon - text) + 1, sizeof(callee->service)));
	g_strlcpy(callee->path, colon + 1, sizeof(callee->path));
}

typedef struct {
	struct arg_str *service, *ip, *node, *call;
	struct arg_int *port, *slots, *reported, *connections, *latency_us,
		*seed, *cold_start_ms, *body_bytes;
	struct arg_lit *sheds, *constant;
	struct arg_end *end;
} arguments_t;

static uint32_t int_or_default(const struct arg_int *arg, uint32_t fallback)
{
	return arg->count ? (uint32_t)arg->ival[0] : fallback;
}

static void configure(fake_t *fake, const arguments_t *args)
{
	int i;

	pthread_mutex_init(&fake->lock, NULL);
	ql_cond_init(&fake->slot_free);
	fake->keys_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ql_http_client_init(&fake->client);
	fake->ip = args->ip->count ? args->ip->sval[0] : "127.0.0.1";
	fake->port = (unsigned int)args->port->ival[0];
	g_strlcpy(fake->node, args->node->sval[0], sizeof(fake->node));
	g_strlcpy(fake->service, args->service->sval[0], sizeof(fake->service));
	fake->slots = int_or_default(args->slots, 16);
	fake->reported_slots = int_or_default(args->reported, fake->slots);
	fake->connections = int_or_default(args->connections, 1000);
	fake->latency_us = int_or_default(args->latency_us, 1000);
	fake->random = g_rand_new_with_seed(int_or_default(args->seed, 1));
	fake->cold_start_us =
		int_or_default(args->cold_start_ms, 0) * QL_US_PER_MS;
	fake->body_bytes = int_or_default(args->body_bytes, 0);
	fake->sheds = args->sheds->count;
	fake->constant = args->constant->count;
	fake->started_us = ql_clock_now_us();
	for (i = 0; i < args->call->count; i++)
		parse_call(fake, args->call->sval[i]);
}

static void unconfigure(fake_t *fake)
{
	ql_http_client_finish(&fake->client);
	g_hash_table_destroy(fake->keys_run);
	g_rand_free(fake->random);
	pthread_cond_destroy(&fake->slot_free);
	pthread_mutex_destroy(&fake->lock);
	g_free(fake);
}

static void block_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

int main(int argc, char **argv)
{
	arguments_t args = {
		.service = arg_str1(NULL, "service", "NAME", "service"),
		.ip = arg_str0(NULL, "ip", "IP", "IP address to listen on"),
		.node = arg_str1(NULL, "node", "IP:PORT", "local listener"),
		.call = arg_strn(NULL, "call", "SERVICE:PATH", 0,
				 DOWNSTREAM_CALLS_MAX,
				 "downstream call of each request"),
		.port = arg_int1(NULL, "port", "PORT", "port to listen on"),
		.slots =
			arg_int0(NULL, "slots", "N", "requests served at once"),
		.reported = arg_int0(NULL, "report-slots", "N",
				     "slots to announce instead"),
		.connections = arg_int0(NULL, "connections", "N",
					"maximum open connections"),
		.latency_us =
			arg_int0(NULL, "latency-us", "US", "mean service time"),
		.seed = arg_int0(NULL, "seed", "N",
				 "seed of the service times"),
		.cold_start_ms = arg_int0(NULL, "cold-start-ms", "MS",
					  "time with 5-fold service times"),
		.body_bytes = arg_int0(NULL, "body-bytes", "N",
				       "minimum response length"),
		.sheds = arg_lit0(NULL, "sheds", "refuse if no slot is free"),
		.constant =
			arg_lit0(NULL, "constant", "constant service times"),
		.end = arg_end(4),
	};
	fake_t *fake;

	if (arg_parse(argc, argv, (void **)&args)) {
		arg_print_errors(stderr, args.end, "fake_endpoint");
		return EX_USAGE;
	}
	block_signals();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	fake = g_new0(fake_t, 1);
	configure(fake, &args);
	serve(fake);
	arg_freetable((void **)&args, sizeof(args) / sizeof(void *));
	unconfigure(fake);
	curl_global_cleanup();
	return EX_OK;
}
