#include "control/rpc_server.h"
#include "net/stream.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <arpa/inet.h>
#include <string.h>

#define LISTEN_BACKLOG_CONNECTIONS 512
/* A connection with more unsent bytes is closed: its peer does not read. */
#define PENDING_REPLIES_MAX_BYTES (32u << 20)
/* Upper bound of the size of a reply's header. */
#define REPLY_HEADER_BYTES 512u
/* Record marking of RFC 5531, section 11. */
#define FRAGMENT_HEADER_BYTES 4u
#define LAST_FRAGMENT_FLAG 0x80000000u

/*
 * A connection of a peer: the bytes that are received and not yet handled, and
 * the fragments of the current record without their headers.
 */
typedef struct {
	ql_rpc_server_t *server;
	ql_stream_t stream;
	GByteArray *received;
	GByteArray *record;
} connection_t;

/* A call that is being handled; @xdrs reads its record. */
typedef struct {
	struct rpc_msg call;
	char credential[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	XDR xdrs;
} request_t;

static const ql_rpc_program_t *find_program(const ql_rpc_server_t *server,
					    uint64_t number)
{
	size_t i;

	for (i = 0; i < server->n_programs; i++)
		if (server->programs[i].number == number)
			return &server->programs[i];
	return NULL;
}

static const ql_rpc_procedure_t *find_procedure(const ql_rpc_program_t *program,
						uint64_t number)
{
	size_t i;

	for (i = 0; i < program->n_procedures; i++)
		if (program->procedures[i].number == number)
			return &program->procedures[i];
	return NULL;
}

static void send_record(connection_t *connection, char *bytes, size_t length)
{
	uint32_t header = htonl((uint32_t)(length - FRAGMENT_HEADER_BYTES) |
				LAST_FRAGMENT_FLAG);

	memcpy(bytes, &header, sizeof(header));
	ql_stream_write(&connection->stream, bytes, length);
	if (connection->stream.pending_bytes > PENDING_REPLIES_MAX_BYTES)
		ql_stream_abort(&connection->stream);
}

/* Sends a reply; @encode and @result are used only with status SUCCESS. */
static void send_reply(connection_t *connection, const request_t *request,
		       enum accept_stat status, xdrproc_t encode, void *result)
{
	struct rpc_msg message = {
		.rm_xid = request->call.rm_xid,
		.rm_direction = REPLY,
		.rm_reply.rp_stat = MSG_ACCEPTED,
	};
	struct accepted_reply *accepted = &message.acpted_rply;
	size_t size = REPLY_HEADER_BYTES;
	char *bytes;
	XDR xdrs;

	accepted->ar_verf = _null_auth;
	accepted->ar_stat = status;
	if (status == SUCCESS) {
		accepted->ar_results.where = result;
		accepted->ar_results.proc = encode;
		size += xdr_sizeof(encode, result);
	}
	bytes = g_malloc(size);
	xdrmem_create(&xdrs, bytes + FRAGMENT_HEADER_BYTES,
		      (u_int)(size - FRAGMENT_HEADER_BYTES), XDR_ENCODE);
	if (xdr_replymsg(&xdrs, &message))
		send_record(connection, bytes,
			    FRAGMENT_HEADER_BYTES + xdr_getpos(&xdrs));
	else
		ql_stream_abort(&connection->stream);
	xdr_destroy(&xdrs);
	g_free(bytes);
}

static void call_procedure(connection_t *connection, request_t *request,
			   const ql_rpc_program_t *program,
			   const ql_rpc_procedure_t *procedure)
{
	void *args = g_malloc0(procedure->args_bytes);
	void *result = g_malloc0(procedure->result_bytes);

	if (!procedure->decode(&request->xdrs, args)) {
		connection->server->malformed++;
		send_reply(connection, request, GARBAGE_ARGS, NULL, NULL);
	} else {
		connection->server->calls++;
		procedure->handle(program->data, args, result);
		send_reply(connection, request, SUCCESS, procedure->encode,
			   result);
		xdr_free(procedure->encode, result);
	}
	xdr_free(procedure->decode, args);
	g_free(result);
	g_free(args);
}

static void dispatch_call(connection_t *connection, request_t *request)
{
	const struct call_body *call = &request->call.rm_call;
	const ql_rpc_program_t *program =
		find_program(connection->server, call->cb_prog);
	const ql_rpc_procedure_t *procedure;

	if (!program) {
		send_reply(connection, request, PROG_UNAVAIL, NULL, NULL);
		return;
	}
	if (program->version != call->cb_vers) {
		send_reply(connection, request, PROG_MISMATCH, NULL, NULL);
		return;
	}
	if (call->cb_proc == NULLPROC) {
		send_reply(connection, request, SUCCESS,
			   (xdrproc_t)(void (*)(void))xdr_void, NULL);
		return;
	}
	procedure = find_procedure(program, call->cb_proc);
	if (procedure)
		call_procedure(connection, request, program, procedure);
	else
		send_reply(connection, request, PROC_UNAVAIL, NULL, NULL);
}

static void handle_record(connection_t *connection)
{
	request_t request = {0};

	request.call.rm_call.cb_cred.oa_base = request.credential;
	request.call.rm_call.cb_verf.oa_base = request.verifier;
	xdrmem_create(&request.xdrs, (char *)connection->record->data,
		      connection->record->len, XDR_DECODE);
	if (xdr_callmsg(&request.xdrs, &request.call) &&
	    request.call.rm_call.cb_rpcvers == RPC_MSG_VERSION) {
		dispatch_call(connection, &request);
	} else {
		connection->server->malformed++;
		ql_stream_abort(&connection->stream);
	}
	xdr_destroy(&request.xdrs);
	g_byte_array_set_size(connection->record, 0);
}

/*
 * Moves one fragment to the record, and handles the record after its last
 * fragment; returns whether there may be another complete fragment.
 */
static bool read_fragment(connection_t *connection)
{
	GByteArray *received = connection->received;
	uint32_t header, length;

	if (received->len < FRAGMENT_HEADER_BYTES)
		return false;
	memcpy(&header, received->data, sizeof(header));
	header = ntohl(header);
	length = header & ~LAST_FRAGMENT_FLAG;
	if (length > QL_RPC_RECORD_MAX_BYTES - connection->record->len) {
		connection->server->malformed++;
		ql_stream_abort(&connection->stream);
		return false;
	}
	if (received->len - FRAGMENT_HEADER_BYTES < length)
		return false;
	g_byte_array_append(connection->record,
			    received->data + FRAGMENT_HEADER_BYTES, length);
	g_byte_array_remove_range(received, 0, FRAGMENT_HEADER_BYTES + length);
	if (header & LAST_FRAGMENT_FLAG)
		handle_record(connection);
	return !connection->stream.closing;
}

static void on_received(void *data, const char *bytes, size_t length)
{
	connection_t *connection = data;

	g_byte_array_append(connection->received, (const guint8 *)bytes,
			    (guint)length);
	while (read_fragment(connection))
		;
}

static void on_ended(void *data, int status G_GNUC_UNUSED)
{
	ql_stream_abort(&((connection_t *)data)->stream);
}

static void on_closed(void *data)
{
	connection_t *connection = data;

	g_hash_table_remove(connection->server->connections, connection);
	g_byte_array_free(connection->received, TRUE);
	g_byte_array_free(connection->record, TRUE);
	g_free(connection);
}

static const ql_stream_ops_t stream_ops = {
	.received = on_received,
	.ended = on_ended,
	.closed = on_closed,
};

static void on_connection(uv_stream_t *socket, int status)
{
	ql_rpc_server_t *server = socket->data;
	connection_t *connection;

	if (status)
		return;
	connection = g_new0(connection_t, 1);
	connection->server = server;
	connection->received = g_byte_array_new();
	connection->record = g_byte_array_new();
	g_hash_table_add(server->connections, connection);
	ql_stream_init(&connection->stream, &server->loop, &stream_ops,
		       connection);
	if (ql_stream_accept(&connection->stream, socket))
		ql_stream_abort(&connection->stream);
}

static void *run_server(void *data)
{
	ql_rpc_server_t *server = data;

	ql_loop_run(&server->loop);
	return NULL;
}

/* A call selects its program by number, so the numbers must be unique. */
static int check_programs(const ql_rpc_server_t *server, GError **error)
{
	size_t i, k;

	for (i = 0; i < server->n_programs; i++)
		for (k = 0; k < i; k++)
			if (server->programs[i].number ==
			    server->programs[k].number)
				return ql_error_set(
					error, QL_E_EXISTS,
					"two RPC programs have number 0x%x",
					server->programs[i].number);
	return 0;
}

static int start_listening(ql_rpc_server_t *server, const char *address,
			   GError **error)
{
	struct sockaddr_in socket_address;
	int status, ret = ql_address_parse(&socket_address, address, error);

	if (ret)
		return ret;
	uv_tcp_init(&server->loop.uv, &server->socket);
	server->socket.data = server;
	status = uv_tcp_bind(&server->socket,
			     (const struct sockaddr *)&socket_address, 0);
	if (!status)
		status = uv_listen((uv_stream_t *)&server->socket,
				   LISTEN_BACKLOG_CONNECTIONS, on_connection);
	if (!status)
		return 0;
	uv_close((uv_handle_t *)&server->socket, NULL);
	return ql_error_set(error, QL_E_IO, "cannot listen at %s: %s", address,
			    uv_strerror(status));
}

int ql_rpc_server_start(ql_rpc_server_t *server, const char *address,
			GError **error)
{
	int ret = check_programs(server, error);

	if (!ret)
		ret = ql_loop_init(&server->loop, error);
	if (ret)
		return ret;
	server->connections = g_hash_table_new(NULL, NULL);
	ret = start_listening(server, address, error);
	if (ret) {
		ql_loop_finish(&server->loop);
		g_hash_table_destroy(server->connections);
		return ret;
	}
	server->thread = g_thread_new("rpc", run_server, server);
	return 0;
}

typedef struct {
	ql_loop_job_t job;
	ql_rpc_server_t *server;
} stop_job_t;

static void stop_loop(ql_loop_job_t *job)
{
	ql_rpc_server_t *server = ((stop_job_t *)job)->server;
	GList *connections = g_hash_table_get_keys(server->connections);
	GList *link;

	uv_close((uv_handle_t *)&server->socket, NULL);
	for (link = connections; link; link = link->next)
		ql_stream_abort(&((connection_t *)link->data)->stream);
	g_list_free(connections);
	ql_loop_stop(&server->loop);
	g_free(job);
}

void ql_rpc_server_stop(ql_rpc_server_t *server)
{
	stop_job_t *stop;

	if (!server->thread)
		return;
	stop = g_new0(stop_job_t, 1);
	stop->job.run = stop_loop;
	stop->server = server;
	while (ql_loop_post(&server->loop, &stop->job))
		g_usleep(1000);
	g_thread_join(server->thread);
	server->thread = NULL;
	ql_loop_finish(&server->loop);
	g_hash_table_destroy(server->connections);
}
