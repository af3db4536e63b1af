#ifndef QL_CONTROL_RPC_SERVER_H
#define QL_CONTROL_RPC_SERVER_H

/**
 * DOC: ONC RPC server on one configured address, served by one thread with an
 * event loop. Handlers answer from memory and never block, and a peer that
 * reads slowly holds nobody else up. libtirpc codes the messages; its own
 * server spins while an answer does not fit into the window of a connection.
 */

#include "net/loop.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_rpc_procedure - A procedure of a program.
 * @number: its number
 * @decode: XDR routine of the arguments
 * @encode: XDR routine of the result
 * @args_bytes: size of the arguments
 * @result_bytes: size of the result
 * @handle: fills the result, which starts as zeros; what it allocates is freed
 *          with @encode after the answer was sent
 */
typedef struct ql_rpc_procedure {
	uint32_t number;
	xdrproc_t decode;
	xdrproc_t encode;
	size_t args_bytes;
	size_t result_bytes;
	void (*handle)(void *data, const void *args, void *result);
} ql_rpc_procedure_t;

/**
 * struct ql_rpc_program - A program that the server answers.
 * @number: its number
 * @version: its version
 * @procedures: its procedures
 * @n_procedures: their number
 * @data: passed to the handlers
 */
typedef struct ql_rpc_program {
	uint32_t number;
	uint32_t version;
	const ql_rpc_procedure_t *procedures;
	size_t n_procedures;
	void *data;
} ql_rpc_program_t;

#define QL_RPC_PROGRAMS_MAX 4

/**
 * struct ql_rpc_server - The server; it must not move in memory.
 * @programs: what it answers
 * @n_programs: their number
 * @loop: of the serving thread
 * @socket: the listening socket
 * @connections: set of open connections
 * @thread: the serving thread
 * @calls: calls that were answered
 * @malformed: calls that could not be decoded
 */
typedef struct ql_rpc_server {
	ql_rpc_program_t programs[QL_RPC_PROGRAMS_MAX];
	size_t n_programs;
	ql_loop_t loop;
	uv_tcp_t socket;
	GHashTable *connections;
	GThread *thread;
	uint64_t calls;
	uint64_t malformed;
} ql_rpc_server_t;

/**
 * ql_rpc_server_start() - Listen and serve.
 * @server: the server, with @programs filled in
 * @address: "IP:port" to listen at
 * @error: detail of a failure
 *
 * Return: 0, QL_E_INVALID, QL_E_IO or QL_E_EXISTS.
 */
int ql_rpc_server_start(ql_rpc_server_t *server, const char *address,
			GError **error);

void ql_rpc_server_stop(ql_rpc_server_t *server);

G_END_DECLS

#endif
