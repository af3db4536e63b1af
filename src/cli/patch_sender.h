#ifndef QL_CLI_PATCH_SENDER_H
#define QL_CLI_PATCH_SENDER_H

/**
 * DOC: Submits a patch until its answer is known. The id makes it safe to
 * send the patch again, to whichever replica.
 */

#include "cli/options.h"

G_BEGIN_DECLS

/**
 * struct ql_patch_submission - A patch to submit.
 * @id: its id
 * @base_version: version that it was written against
 * @text: the merge patch
 * @length: its bytes
 */
typedef struct ql_patch_submission {
	const char *id;
	uint64_t base_version;
	char *text;
	size_t length;
} ql_patch_submission_t;

/**
 * struct ql_patch_result - What became of it.
 * @status: 0, or why it was refused or is not known
 * @version: the version that it became, or the present one
 * @sent: how often it was sent
 * @detail: text of the last answer; freed with g_free()
 */
typedef struct ql_patch_result {
	int status;
	uint64_t version;
	unsigned int sent;
	char *detail;
} ql_patch_result_t;

/**
 * typedef ql_patch_send_t - Sends a patch to one replica.
 * @data: of the caller
 * @address: "IP:port" of the replica
 * @result: its answer; the status of a failed call is stored likewise
 * @leader: QL_ADDRESS_MAX bytes: the leader that the replica names, or empty
 */
typedef void (*ql_patch_send_t)(void *data, const char *address,
				ql_patch_result_t *result, char *leader);

/**
 * struct ql_patch_transport - How a patch is sent; tests replace it.
 * @send: sends it to one replica
 * @now_us: monotonic time
 * @pause: waits
 * @data: passed to each of them
 */
typedef struct ql_patch_transport {
	ql_patch_send_t send;
	uint64_t (*now_us)(void *data);
	void (*pause)(void *data, uint64_t pause_us);
	void *data;
} ql_patch_transport_t;

/**
 * ql_patch_submit() - Send a patch, again and again, until it is settled or
 * the time is over.
 * @result: what became of it
 * @transport: how to send it
 * @options: the servers and the time
 */
void ql_patch_submit(ql_patch_result_t *result,
		     const ql_patch_transport_t *transport,
		     const ql_options_t *options);

G_END_DECLS

#endif
