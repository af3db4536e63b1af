#ifndef QL_CONTROL_RPC_CLIENT_H
#define QL_CONTROL_RPC_CLIENT_H

/**
 * DOC: A kept ONC RPC connection to one peer. Not safe to share by threads.
 */

#include "quetzalloft/types.h"

#include <rpc/rpc.h>

G_BEGIN_DECLS

/**
 * struct ql_rpc_client - A connection that is opened when it is needed.
 * @address: "IP:port" of the peer
 * @program: number of the program
 * @version: its version
 * @timeout_ms: for connecting and for each call
 * @handle: the open connection, or NULL
 */
typedef struct ql_rpc_client {
	char address[QL_ADDRESS_MAX];
	uint32_t program;
	uint32_t version;
	uint32_t timeout_ms;
	CLIENT *handle;
} ql_rpc_client_t;

void ql_rpc_client_init(ql_rpc_client_t *client, const char *address,
			uint32_t program, uint32_t version,
			uint32_t timeout_ms);
void ql_rpc_client_finish(ql_rpc_client_t *client);

/**
 * struct ql_rpc_call - A call to make.
 * @procedure: its number
 * @encode: XDR routine of the arguments
 * @args: the arguments
 * @decode: XDR routine of the result
 * @result: zeros; the caller frees what was decoded with xdr_free()
 */
typedef struct ql_rpc_call {
	uint32_t procedure;
	xdrproc_t encode;
	const void *args;
	xdrproc_t decode;
	void *result;
} ql_rpc_call_t;

/**
 * ql_rpc_client_call() - Make a call, connecting first when needed.
 * @client: the connection; closed after a failure
 * @call: the call
 * @error: detail of a failure
 *
 * Return: 0, QL_E_UNAVAILABLE when the peer was not reached, QL_E_TIMEOUT, or
 * QL_E_PROTOCOL.
 */
int ql_rpc_client_call(ql_rpc_client_t *client, const ql_rpc_call_t *call,
		       GError **error);

G_END_DECLS

#endif
