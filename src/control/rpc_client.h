#ifndef QL_CONTROL_RPC_CLIENT_H
#define QL_CONTROL_RPC_CLIENT_H

/**
 * DOC: A persistent ONC RPC connection to one peer. A client must not be used
 * by two threads at the same time.
 */

#include "quetzalloft/types.h"

#include <rpc/rpc.h>

G_BEGIN_DECLS

/**
 * struct ql_rpc_client - A client with a connection that the first call opens.
 * @address: "IP:port" of the peer
 * @program: number of the RPC program
 * @version: version of the RPC program
 * @timeout_ms: timeout of connecting, and of each call
 * @handle: libtirpc handle of the open connection, or NULL
 */
typedef struct ql_rpc_client {
	char address[QL_ADDRESS_MAX];
	uint32_t program;
	uint32_t version;
	uint32_t timeout_ms;
	CLIENT *handle;
} ql_rpc_client_t;

/**
 * ql_rpc_client_init() - Initialize a client without connecting.
 * @client: the client
 * @address: "IP:port" of the peer; copied
 * @program: number of the RPC program
 * @version: version of the RPC program
 * @timeout_ms: timeout of connecting, and of each call
 */
void ql_rpc_client_init(ql_rpc_client_t *client, const char *address,
			uint32_t program, uint32_t version,
			uint32_t timeout_ms);

/**
 * ql_rpc_client_finish() - Close the connection; the next call opens it again.
 * @client: the client
 */
void ql_rpc_client_finish(ql_rpc_client_t *client);

/**
 * struct ql_rpc_call - A call.
 * @procedure: number of the procedure
 * @encode: XDR routine of the arguments
 * @args: the arguments
 * @decode: XDR routine of the result
 * @result: the result, zeros at first; the caller frees it with xdr_free()
 */
typedef struct ql_rpc_call {
	uint32_t procedure;
	xdrproc_t encode;
	const void *args;
	xdrproc_t decode;
	void *result;
} ql_rpc_call_t;

/**
 * ql_rpc_client_call() - Make a call; connect first when there is no
 * connection.
 * @client: the client; its connection is closed on failure
 * @call: the call
 * @error: detail of a failure
 *
 * Return: 0; QL_E_UNAVAILABLE when the connection cannot be opened or breaks;
 * QL_E_TIMEOUT when no result arrives in time; QL_E_PROTOCOL when the peer
 * rejects the call; QL_E_IO when no socket or handle can be created; or an
 * error of ql_address_parse().
 */
int ql_rpc_client_call(ql_rpc_client_t *client, const ql_rpc_call_t *call,
		       GError **error);

G_END_DECLS

#endif
