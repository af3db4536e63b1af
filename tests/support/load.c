/**
 * DOC: A load generator for loopback: a closed loop on each connection, or a
 * fixed total request rate. Prints one JSON object with the number of requests
 * by outcome and the latency percentiles.
 */

#include "node/http_client.h"
#include "quetzalloft/address.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/metadata.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define BODY_LIMIT_BYTES (64u << 20)
#define LATENCY_SAMPLES_MAX 2000000u
#define REQUEST_TIMEOUT_MS 10000

typedef struct {
	const char *address;
	const char *method;
	const char *target;
	const char *key_prefix;
	double rate;
	uint64_t end_us;
	uint32_t n_threads;
	uint64_t next_key;
	uint64_t outcomes[QL_N_OUTCOMES];
	uint64_t ok;
	uint64_t lost;
	uint32_t n_samples;
	uint32_t *samples_us;
} load_t;

static struct curl_slist *make_key_header(load_t *load)
{
	char line[256];

	if (!load->key_prefix)
		return NULL;
	snprintf(line, sizeof(line), "%s: %s-%" G_GUINT64_FORMAT, QL_HEADER_KEY,
		 load->key_prefix,
		 __atomic_fetch_add(&load->next_key, 1, __ATOMIC_RELAXED));
	return curl_slist_append(NULL, line);
}

static void record_response(load_t *load, const ql_http_response_t *response,
			    uint64_t latency_us)
{
	const char *text =
		ql_http_response_find_header(response, QL_HEADER_OUTCOME);
	ql_outcome_t outcome = QL_OUTCOME_ANSWERED;
	uint32_t index;

	if (text && ql_outcome_parse(&outcome, text))
		outcome = QL_OUTCOME_UNKNOWN;
	__atomic_add_fetch(&load->outcomes[outcome], 1, __ATOMIC_RELAXED);
	if (response->status != 200)
		return;
	__atomic_add_fetch(&load->ok, 1, __ATOMIC_RELAXED);
	index = __atomic_fetch_add(&load->n_samples, 1, __ATOMIC_RELAXED);
	if (index < LATENCY_SAMPLES_MAX)
		load->samples_us[index] = (uint32_t)latency_us;
}

static void send_request(load_t *load, ql_http_client_t *client)
{
	struct curl_slist *headers = make_key_header(load);
	ql_http_request_t http = {
		.address = load->address,
		.method = load->method,
		.target = load->target,
		.headers = headers,
		.timeout_ms = REQUEST_TIMEOUT_MS,
		.body_limit_bytes = BODY_LIMIT_BYTES,
	};
	uint64_t start_us = ql_clock_now_us();
	ql_http_response_t response;
	bool sent;

	ql_http_response_init(&response);
	if (ql_http_client_exchange(client, &http, &response, &sent, NULL))
		__atomic_add_fetch(&load->lost, 1, __ATOMIC_RELAXED);
	else
		record_response(load, &response, ql_clock_now_us() - start_us);
	ql_http_response_finish(&response);
	curl_slist_free_all(headers);
}

static void *run_worker(void *data)
{
	load_t *load = data;
	double interval_us =
		load->rate > 0 ? 1e6 * load->n_threads / load->rate : 0;
	double due_us = (double)ql_clock_now_us();
	/* Each thread has a client of its own, and so one connection. */
	ql_http_client_t client;

	ql_http_client_init(&client);
	while (ql_clock_now_us() < load->end_us) {
		send_request(load, &client);
		if (interval_us <= 0)
			continue;
		due_us += interval_us;
		if (due_us > (double)ql_clock_now_us())
			g_usleep((gulong)(due_us - (double)ql_clock_now_us()));
	}
	ql_http_client_finish(&client);
	return NULL;
}

static int compare_samples(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static uint32_t percentile(const load_t *load, uint32_t n, double fraction)
{
	return n ? load->samples_us[(uint32_t)((n - 1) * fraction)] : 0;
}

static void print_result(load_t *load, double seconds)
{
	uint32_t n = MIN(load->n_samples, LATENCY_SAMPLES_MAX);
	int i;

	qsort(load->samples_us, n, sizeof(*load->samples_us), compare_samples);
	printf("{\"seconds\":%.1f,\"ok\":%" G_GUINT64_FORMAT
	       ",\"ok_per_s\":%.0f",
	       seconds, load->ok, (double)load->ok / seconds);
	for (i = 0; i < QL_N_OUTCOMES; i++)
		printf(",\"%s\":%" G_GUINT64_FORMAT,
		       ql_outcome_name((ql_outcome_t)i), load->outcomes[i]);
	printf(",\"lost\":%" G_GUINT64_FORMAT
	       ",\"p50_us\":%u,\"p99_us\":%u,\"max_us\":%u}\n",
	       load->lost, percentile(load, n, 0.5), percentile(load, n, 0.99),
	       percentile(load, n, 1));
}

static void run(load_t *load, double seconds)
{
	GThread **threads = g_new0(GThread *, load->n_threads);
	uint64_t start_us = ql_clock_now_us();
	uint32_t i;

	load->end_us = start_us + (uint64_t)(seconds * QL_US_PER_S);
	load->samples_us = g_new(uint32_t, LATENCY_SAMPLES_MAX);
	for (i = 0; i < load->n_threads; i++)
		threads[i] = g_thread_new("load", run_worker, load);
	for (i = 0; i < load->n_threads; i++)
		g_thread_join(threads[i]);
	print_result(load,
		     (double)(ql_clock_now_us() - start_us) / QL_US_PER_S);
	g_free(load->samples_us);
	g_free(threads);
}

static bool is_loopback(const char *address)
{
	struct sockaddr_in where;

	return !ql_address_parse(&where, address, NULL) &&
	       (ntohl(where.sin_addr.s_addr) >> 24) == IN_LOOPBACKNET;
}

typedef struct {
	struct arg_str *address, *method, *target, *key;
	struct arg_int *connections;
	struct arg_dbl *rate, *seconds;
	struct arg_end *end;
} arguments_t;

int main(int argc, char **argv)
{
	arguments_t args = {
		.address = arg_str1(NULL, "address", "IP:PORT", "the server"),
		.method = arg_str0(NULL, "method", "METHOD", "HTTP method"),
		.target = arg_str1(NULL, "target", "PATH", "path and query"),
		.key = arg_str0(NULL, "key", "PREFIX",
				"idempotency key prefix"),
		.connections =
			arg_int0(NULL, "connections", "N", "connections"),
		.rate = arg_dbl0(NULL, "rate", "N",
				 "total requests per second"),
		.seconds = arg_dbl0(NULL, "seconds", "S", "duration"),
		.end = arg_end(4),
	};
	load_t *load = g_new0(load_t, 1);

	if (arg_parse(argc, argv, (void **)&args) ||
	    !is_loopback(args.address->sval[0])) {
		arg_print_errors(stderr, args.end, "load");
		fputs("load: sends to loopback addresses only\n", stderr);
		return EX_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	load->address = args.address->sval[0];
	load->method = args.method->count ? args.method->sval[0] : "GET";
	load->target = args.target->sval[0];
	load->key_prefix = args.key->count ? args.key->sval[0] : NULL;
	load->n_threads = args.connections->count
				  ? (uint32_t)args.connections->ival[0]
				  : 1;
	load->rate = args.rate->count ? args.rate->dval[0] : 0;
	run(load, args.seconds->count ? args.seconds->dval[0] : 2);
	arg_freetable((void **)&args, sizeof(args) / sizeof(void *));
	g_free(load);
	curl_global_cleanup();
	return EX_OK;
}
