#ifndef QL_CLI_SUBMIT_H
#define QL_CLI_SUBMIT_H

/**
 * DOC: Sends an idempotent request to the leader of the replicas, and sends it
 * again until its status is final.
 */

#include "cli/options.h"

G_BEGIN_DECLS

/**
 * struct ql_submit_result - The last status of a request.
 * @status: 0 if the request was accepted, else an error code;
 *          ql_peer_is_final() is false for it if the outcome is unknown
 * @version: version of the configuration in the last answer; 0 if there is
 *           none
 * @n_sent: how many times the request was sent
 * @detail: text of the last answer or of the failed call; may be NULL; the
 *          caller frees it with g_free()
 */
typedef struct ql_submit_result {
	int status;
	uint64_t version;
	unsigned int n_sent;
	char *detail;
} ql_submit_result_t;

/**
 * struct ql_submit_transport - Functions that send the request; tests replace
 * them.
 * @send: sends the request to one replica within timeout_ms milliseconds and
 *        stores the answer, or the failure of the call, in the result. Copies
 *        the address of the leader that the replica names into @leader, which
 *        has QL_ADDRESS_MAX bytes and is empty on entry.
 * @now_us: returns the monotonic time in microseconds
 * @pause: sleeps for pause_us microseconds
 * @data: passed to each function
 */
typedef struct ql_submit_transport {
	void (*send)(void *data, const char *address, uint64_t timeout_ms,
		     ql_submit_result_t *result, char *leader);
	uint64_t (*now_us)(void *data);
	void (*pause)(void *data, uint64_t pause_us);
	void *data;
} ql_submit_transport_t;

/**
 * ql_submit() - Send a request until its status is final or the time limit is
 * reached.
 * @result: receives the last status
 * @transport: sends the request
 * @options: the servers, of which there must be at least one, and the time
 *           limit for all attempts together
 *
 * The request goes to the leader that the last answer named, or to the next
 * server if none was named. It is sent at least once.
 */
void ql_submit(ql_submit_result_t *result,
	       const ql_submit_transport_t *transport,
	       const ql_options_t *options);

/**
 * ql_submit_now_us() - Read the monotonic clock, for &ql_submit_transport.
 * @data: ignored
 *
 * Return: microseconds.
 */
uint64_t ql_submit_now_us(void *data);

/**
 * ql_submit_pause() - Sleep, for &ql_submit_transport.
 * @data: ignored
 * @pause_us: duration in microseconds
 */
void ql_submit_pause(void *data, uint64_t pause_us);

G_END_DECLS

#endif
