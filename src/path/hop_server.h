#ifndef QL_PATH_HOP_SERVER_H
#define QL_PATH_HOP_SERVER_H

/**
 * DOC: Takes the calls of other nodes and hands them to the local gate.
 */

#include "http/listener.h"
#include "path/local_gate.h"

G_BEGIN_DECLS

/**
 * struct ql_hop_server - The taking side.
 * @gate: borrowed
 * @document: the document in force; the caller drops the reference
 * @saw_version: told of each version that a call carried
 * @data: passed to both
 */
typedef struct ql_hop_server {
	ql_local_gate_t *gate;
	ql_document_t *(*document)(void *data);
	void (*version_received)(void *data, uint64_t version);
	void *data;
} ql_hop_server_t;

/**
 * ql_hop_server_handle() - Take one request; see &struct ql_listener_opts.
 * @data: &struct ql_hop_server
 * @exchange: the request
 */
void ql_hop_server_handle(void *data, ql_http_exchange_t *exchange);

G_END_DECLS

#endif
