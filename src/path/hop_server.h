#ifndef QL_PATH_HOP_SERVER_H
#define QL_PATH_HOP_SERVER_H

/**
 * DOC: Server side of calls between nodes: passes the calls of other nodes to
 * the local gate.
 */

#include "http/listener.h"
#include "path/local_gate.h"

G_BEGIN_DECLS

/**
 * struct ql_hop_server - Settings of the server side.
 * @gate: local gate; borrowed
 * @document: returns the document in force with a new reference
 * @version_received: called with the configuration version of each call that
 *                    carries one
 * @data: passed to @document and @version_received
 */
typedef struct ql_hop_server {
	ql_local_gate_t *gate;
	ql_document_t *(*document)(void *data);
	void (*version_received)(void *data, uint64_t version);
	void *data;
} ql_hop_server_t;

/**
 * ql_hop_server_handle() - Handle one request; see &struct ql_listener_opts.
 * @data: &struct ql_hop_server
 * @exchange: the request
 */
void ql_hop_server_handle(void *data, ql_http_exchange_t *exchange);

G_END_DECLS

#endif
