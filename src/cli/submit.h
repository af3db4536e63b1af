#ifndef QL_CLI_SUBMIT_H
#define QL_CLI_SUBMIT_H

/**
 * DOC: Sends a request that may be repeated until its answer is known, to
 * whichever replica leads.
 */

#include "cli/options.h"

G_BEGIN_DECLS

/**
 * struct ql_submit_result - What became of a request.
 * @status: 0, or why it was refused or is not known
 * @version: the version of the configuration that the answer names
 * @n_sent: how often it was sent
 * @detail: text of the last answer; freed with g_free()
 */
typedef struct ql_submit_result {
	int status;
	uint64_t version;
	unsigned int n_sent;
	char *detail;
} ql_submit_result_t;

/**
 * struct ql_submit_transport - How the request is sent; tests replace it.
 * @send: sends it to one replica and stores its answer, or the failure of the
 *        call, in the result; the leader that the replica names goes into
 *        QL_ADDRESS_MAX bytes, which are empty at first
 * @now_us: monotonic time
 * @pause: waits
 * @data: passed to each of them
 */
typedef struct ql_submit_transport {
	void (*send)(void *data, const char *address, uint64_t timeout_ms,
		     ql_submit_result_t *result, char *leader);
	uint64_t (*now_us)(void *data);
	void (*pause)(void *data, uint64_t pause_us);
	void *data;
} ql_submit_transport_t;

/**
 * ql_submit() - Send a request, again and again, until it is settled or the
 * time is over.
 * @result: what became of it
 * @transport: how to send it
 * @options: the servers and the time
 */
void ql_submit(ql_submit_result_t *result,
	       const ql_submit_transport_t *transport,
	       const ql_options_t *options);

/**
 * ql_submit_now_us() - The monotonic clock, for a transport.
 * @data: ignored
 *
 * Return: microseconds.
 */
uint64_t ql_submit_now_us(void *data);

/**
 * ql_submit_pause() - Sleep, for a transport.
 * @data: ignored
 * @pause_us: how long
 */
void ql_submit_pause(void *data, uint64_t pause_us);

G_END_DECLS

#endif
