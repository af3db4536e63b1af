#include "control/rpc_server.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <poll.h>
#include <rpc/rpc_com.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECORD_MAX_BYTES (8 << 20)
#define POLL_MS 100
#define LISTEN_BACKLOG 512

/* libtirpc passes no data to a dispatcher, so the server is a singleton. */
static ql_rpc_server_t *the_server;

static const ql_rpc_procedure_t *find_procedure(const ql_rpc_program_t *program,
						uint32_t number)
{
	size_t i;

	for (i = 0; i < program->n_procedures; i++)
		if (program->procedures[i].number == number)
			return &program->procedures[i];
	return NULL;
}

static const ql_rpc_program_t *find_program(uint32_t number, uint32_t version)
{
	size_t i;

	for (i = 0; i < the_server->n_programs; i++)
		if (the_server->programs[i].number == number &&
		    the_server->programs[i].version == version)
			return &the_server->programs[i];
	return NULL;
}

static void answer(SVCXPRT *transport, const ql_rpc_program_t *program,
		   const ql_rpc_procedure_t *procedure)
{
	void *args = g_malloc0(procedure->args_bytes);
	void *result = g_malloc0(procedure->result_bytes);

	if (!svc_getargs(transport, procedure->decode, args)) {
		the_server->malformed++;
		svcerr_decode(transport);
	} else {
		the_server->calls++;
		procedure->handle(program->data, args, result);
		if (!svc_sendreply(transport, procedure->encode, result))
			svcerr_systemerr(transport);
		xdr_free(procedure->encode, result);
	}
	svc_freeargs(transport, procedure->decode, args);
	g_free(result);
	g_free(args);
}

static void dispatch(struct svc_req *request, SVCXPRT *transport)
{
	const ql_rpc_program_t *program =
		find_program(request->rq_prog, request->rq_vers);
	const ql_rpc_procedure_t *procedure;

	if (request->rq_proc == NULLPROC) {
		svc_sendreply(transport, (xdrproc_t)(void (*)(void))xdr_void,
			      NULL);
		return;
	}
	procedure = program ? find_procedure(program, request->rq_proc) : NULL;
	if (!procedure) {
		svcerr_noproc(transport);
		return;
	}
	answer(transport, program, procedure);
}

static void *serve(void *data)
{
	ql_rpc_server_t *server = data;
	struct pollfd *fds = NULL;
	int n_fds, n_ready;

	while (!__atomic_load_n(&server->stopping, __ATOMIC_ACQUIRE)) {
		n_fds = svc_max_pollfd;
		fds = g_renew(struct pollfd, fds, n_fds);
		memcpy(fds, svc_pollfd, sizeof(*fds) * (size_t)n_fds);
		n_ready = poll(fds, (nfds_t)n_fds, POLL_MS);
		if (n_ready > 0)
			svc_getreq_poll(fds, n_ready);
	}
	g_free(fds);
	return NULL;
}

static int listen_at(const char *address, GError **error)
{
	struct sockaddr_in where;
	int one = 1;
	int fd, ret;

	ret = ql_address_parse(&where, address, error);
	if (ret)
		return ret;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ql_error_set_errno(error, errno, "socket");
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) ||
	    bind(fd, (struct sockaddr *)&where, sizeof(where)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		ret = ql_error_set_errno(error, errno, "listening at %s",
					 address);
		close(fd);
		return ret;
	}
	return fd;
}

/* Two programs with one number would answer for each other. */
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

int ql_rpc_server_start(ql_rpc_server_t *server, const char *address,
			GError **error)
{
	int record_max = RECORD_MAX_BYTES;
	size_t i;
	int fd, ret;

	ret = check_programs(server, error);
	if (ret)
		return ret;
	if (the_server)
		return ql_error_set(error, QL_E_EXISTS,
				    "this process has an RPC server already");
	fd = listen_at(address, error);
	if (fd < 0)
		return fd;
	/* Bounds a record, and makes the reading of one never block. */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &record_max);
	server->transport = svc_vc_create(fd, 0, 0);
	if (!server->transport) {
		close(fd);
		return ql_error_set(error, QL_E_IO, "svc_vc_create failed");
	}
	the_server = server;
	for (i = 0; i < server->n_programs; i++)
		svc_reg(server->transport, server->programs[i].number,
			server->programs[i].version, dispatch, NULL);
	server->stopping = 0;
	server->thread = g_thread_new("rpc", serve, server);
	return 0;
}

void ql_rpc_server_stop(ql_rpc_server_t *server)
{
	size_t i;

	if (!server->thread)
		return;
	__atomic_store_n(&server->stopping, 1, __ATOMIC_RELEASE);
	g_thread_join(server->thread);
	server->thread = NULL;
	for (i = 0; i < server->n_programs; i++)
		svc_unreg(server->programs[i].number,
			  server->programs[i].version);
	svc_destroy(server->transport);
	the_server = NULL;
}
