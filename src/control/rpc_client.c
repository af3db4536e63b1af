#include "control/rpc_client.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MS_PER_S 1000u
#define US_PER_MS 1000L

void ql_rpc_client_init(ql_rpc_client_t *client, const char *address,
			uint32_t program, uint32_t version, uint32_t timeout_ms)
{
	memset(client, 0, sizeof(*client));
	g_strlcpy(client->address, address, sizeof(client->address));
	client->program = program;
	client->version = version;
	client->timeout_ms = timeout_ms;
}

void ql_rpc_client_finish(ql_rpc_client_t *client)
{
	if (client->handle)
		clnt_destroy(client->handle);
	client->handle = NULL;
}

/* Waits for a non-blocking connect() to end; returns 0 or an errno value. */
static int wait_connected(int fd, uint32_t timeout_ms)
{
	struct pollfd pfd = {.fd = fd, .events = POLLOUT};
	socklen_t length = sizeof(int);
	int status = 0;

	if (poll(&pfd, 1, (int)timeout_ms) <= 0)
		return ETIMEDOUT;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &status, &length))
		return errno;
	return status;
}

static struct timeval timeval_from_ms(uint32_t timeout_ms)
{
	return (struct timeval){
		.tv_sec = timeout_ms / MS_PER_S,
		.tv_usec = (suseconds_t)(timeout_ms % MS_PER_S) * US_PER_MS,
	};
}

static int open_connection(const struct sockaddr_in *peer_address,
			   uint32_t timeout_ms, const char *address,
			   GError **error)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct timeval send_timeout = timeval_from_ms(timeout_ms);
	int one = 1;
	int connect_error = 0;

	if (fd < 0)
		return ql_error_set_errno(error, errno, "socket");
	if (connect(fd, (const struct sockaddr *)peer_address,
		    sizeof(*peer_address)))
		connect_error = errno == EINPROGRESS
					? wait_connected(fd, timeout_ms)
					: errno;
	if (connect_error) {
		close(fd);
		return ql_error_set(error, QL_E_UNAVAILABLE,
				    "connecting to %s: %s", address,
				    g_strerror(connect_error));
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/*
	 * A peer that does not read blocks the sending of a large call no
	 * longer than the timeout.
	 */
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
		   sizeof(send_timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

/*
 * The lock is needed because libtirpc creates a shared object at the first
 * call, which leaks when two threads make their first calls at the same time.
 */
static CLIENT *create_handle(const ql_rpc_client_t *client, int fd,
			     const struct netbuf *peer)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	CLIENT *created;

	pthread_mutex_lock(&lock);
	created = clnt_vc_create(fd, peer, client->program, client->version, 0,
				 0);
	pthread_mutex_unlock(&lock);
	return created;
}

static int connect_client(ql_rpc_client_t *client, GError **error)
{
	struct sockaddr_in peer_address;
	struct netbuf peer = {.buf = &peer_address,
			      .len = sizeof(peer_address),
			      .maxlen = sizeof(peer_address)};
	int fd, ret;

	ret = ql_address_parse(&peer_address, client->address, error);
	if (ret)
		return ret;
	fd = open_connection(&peer_address, client->timeout_ms, client->address,
			     error);
	if (fd < 0)
		return fd;
	client->handle = create_handle(client, fd, &peer);
	if (!client->handle) {
		close(fd);
		return ql_error_set(error, QL_E_IO, "clnt_vc_create failed");
	}
	clnt_control(client->handle, CLSET_FD_CLOSE, NULL);
	return 0;
}

static int error_from_status(enum clnt_stat status)
{
	switch (status) {
	case RPC_TIMEDOUT:
		return QL_E_TIMEOUT;
	case RPC_CANTSEND:
	case RPC_CANTRECV:
		return QL_E_UNAVAILABLE;
	default:
		return QL_E_PROTOCOL;
	}
}

int ql_rpc_client_call(ql_rpc_client_t *client, const ql_rpc_call_t *call,
		       GError **error)
{
	struct timeval timeout = timeval_from_ms(client->timeout_ms);
	enum clnt_stat status;
	int ret;

	if (!client->handle) {
		ret = connect_client(client, error);
		if (ret)
			return ret;
	}
	status = clnt_call(client->handle, call->procedure, call->encode,
			   (caddr_t)call->args, call->decode,
			   (caddr_t)call->result, timeout);
	if (status == RPC_SUCCESS)
		return 0;
	ret = ql_error_set(error, (ql_error_code_t)error_from_status(status),
			   "%s: %s", client->address, clnt_sperrno(status));
	ql_rpc_client_finish(client);
	return ret;
}
