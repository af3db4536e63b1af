#ifndef QL_CONTROL_RPC_SERVER_H
#define QL_CONTROL_RPC_SERVER_H

/**
 * DOC: An ONC RPC server on one configured address, served by one thread with
 * an event loop. Handlers must not block. A peer that reads slowly does not
 * delay others. libtirpc encodes and decodes the messages; its own server is
 * not used, as it busy-waits while a reply does not fit into the send window of
 * a connection.
 */

#include "net/loop.h"

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * Largest record that is received; a larger one ends the connection. It holds a
 * document or an entry of the largest size and whatever else is in the call.
 */
#define QL_RPC_RECORD_MAX_BYTES (12u << 20)

/**
 * struct ql_rpc_procedure - A procedure of a program.
 * @number: number of the procedure
 * @decode: XDR routine of the arguments
 * @encode: XDR routine of the result
 * @args_bytes: size of the decoded arguments
 * @result_bytes: size of the result before it is encoded
 * @handle: computes the result, which consists of zeros at first; @data is that
 *          of the program. The server frees the result with @encode.
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
 * struct ql_rpc_program - A program that the server offers.
 * @number: number of the program
 * @version: the only version that is offered
 * @procedures: procedures of the program; borrowed
 * @n_procedures: number of @procedures
 * @data: passed to the handlers
 */
typedef struct ql_rpc_program {
	uint32_t number;
	uint32_t version;
	const ql_rpc_procedure_t *procedures;
	size_t n_procedures;
	void *data;
} ql_rpc_program_t;

/** Most programs of a server. */
#define QL_RPC_PROGRAMS_MAX 4

/**
 * struct ql_rpc_server - A server; it must not move in memory while it runs.
 * @programs: the programs that it offers
 * @n_programs: number of @programs
 * @loop: event loop of the server's thread
 * @socket: listening socket
 * @connections: set of the open connections
 * @thread: thread of the server; NULL when it does not run
 * @calls: calls passed to a handler
 * @malformed: records and arguments that could not be decoded, or were too
 * large
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
 * ql_rpc_server_start() - Listen at an address and start the server's thread.
 * @server: the server, zeros except for @programs and @n_programs
 * @address: "IP:port" to listen at
 * @error: detail of a failure
 *
 * Return: 0; QL_E_EXISTS when two programs have the same number; QL_E_INVALID
 * for a malformed address; QL_E_IO when the address cannot be listened at; or
 * an error of ql_loop_init().
 */
int ql_rpc_server_start(ql_rpc_server_t *server, const char *address,
			GError **error);

/**
 * ql_rpc_server_stop() - Close all connections and wait for the thread to end.
 * @server: the server; nothing happens when it does not run
 */
void ql_rpc_server_stop(ql_rpc_server_t *server);

G_END_DECLS

#endif
