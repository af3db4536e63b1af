#ifndef QL_PATH_HOP_H
#define QL_PATH_HOP_H

/**
 * DOC: Calls to the gates of other nodes over persistent connections.
 */

#include "http/upstream.h"
#include "path/call.h"

G_BEGIN_DECLS

/**
 * struct ql_hops - Connections to the gates of other nodes.
 * @loop: loop that the connections run on
 * @request_id: name of the header with the request ID; borrowed
 * @gates: &struct ql_upstream by "IP:port"
 * @last_attempt: identity of the last call
 */
typedef struct ql_hops {
	ql_loop_t *loop;
	const char *request_id;
	GHashTable *gates;
	ql_attempt_id_t last_attempt;
} ql_hops_t;

void ql_hops_init(ql_hops_t *hops, ql_loop_t *loop, const char *request_id);
void ql_hops_finish(ql_hops_t *hops);

/**
 * ql_hops_remove_gate() - Remove a gate and close its idle connections. Calls
 * in flight continue.
 * @hops: the connections
 * @gate: "IP:port"
 */
void ql_hops_remove_gate(ql_hops_t *hops, const char *gate);

/**
 * ql_hops_call() - Call an endpoint through the gate of its node.
 * @hops: the connections
 * @gate: "IP:port" of the gate
 * @call: parameters of the call
 * @sink: callbacks; they may be called before this function returns
 * @data: passed to @sink
 * @out: handle of the call; @out->call is NULL if the call has already ended
 */
void ql_hops_call(ql_hops_t *hops, const char *gate, const ql_path_call_t *call,
		  const ql_call_sink_t *sink, void *data,
		  ql_call_handle_t *out);

G_END_DECLS

#endif
