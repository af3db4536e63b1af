#include "net/stream.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#define READ_BUFFER_BYTES 65536u
/* TCP_USER_TIMEOUT: unacknowledged data breaks the connection after this. */
#define UNACKNOWLEDGED_TIMEOUT_MS 2500u
/* Probes on idle connections, which detect an unreachable peer. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/* Bytes that the socket did not take at once. */
typedef struct {
	uv_write_t request;
	size_t length;
	char bytes[];
} queued_write_t;

/*
 * One buffer for each thread is enough: a loop runs in one thread, and the
 * owner of the stream consumes the bytes before the next read.
 */
static void alloc_read_buffer(uv_handle_t *handle G_GNUC_UNUSED,
			      size_t size G_GNUC_UNUSED, uv_buf_t *buffer)
{
	static __thread char bytes[READ_BUFFER_BYTES];

	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void on_closed(uv_handle_t *handle)
{
	ql_stream_t *stream = handle->data;

	stream->ops->closed(stream->data);
}

static void close_handle(ql_stream_t *stream)
{
	if (!uv_is_closing((uv_handle_t *)&stream->tcp))
		uv_close((uv_handle_t *)&stream->tcp, on_closed);
}

/*
 * libuv reports a hang-up after a short read as UV_EOF even if the peer reset
 * the connection. Reading from the socket again distinguishes the two.
 */
static int status_at_end(const ql_stream_t *stream)
{
	uv_os_fd_t fd;
	char byte;

	if (!uv_fileno((const uv_handle_t *)&stream->tcp, &fd) &&
	    recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0)
		return uv_translate_sys_error(errno);
	return UV_EOF;
}

static void on_read(uv_stream_t *tcp, ssize_t length, const uv_buf_t *buffer)
{
	ql_stream_t *stream = tcp->data;

	if (stream->closing || !length)
		return;
	if (length > 0)
		stream->ops->received(stream->data, buffer->base,
				      (size_t)length);
	else
		stream->ops->ended(stream->data, length == UV_EOF
							 ? status_at_end(stream)
							 : (int)length);
}

static void on_written(uv_write_t *request, int status)
{
	queued_write_t *write = (queued_write_t *)request;
	ql_stream_t *stream = request->handle->data;

	stream->pending_bytes -= write->length;
	free(write);
	if (uv_is_closing((uv_handle_t *)&stream->tcp))
		return;
	if (stream->closing) {
		if (status || !stream->pending_bytes)
			close_handle(stream);
	} else if (status) {
		stream->ops->ended(stream->data, status);
	} else if (!stream->pending_bytes && stream->ops->drained) {
		stream->ops->drained(stream->data);
	}
}

static void set_options(ql_stream_t *stream)
{
	int idle = KEEPALIVE_IDLE_S, interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES, one = 1;
	unsigned int timeout = UNACKNOWLEDGED_TIMEOUT_MS;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&stream->tcp, &fd))
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}

void ql_stream_init(ql_stream_t *stream, ql_loop_t *loop,
		    const ql_stream_ops_t *ops, void *data)
{
	memset(stream, 0, sizeof(*stream));
	stream->loop = loop;
	stream->ops = ops;
	stream->data = data;
	uv_tcp_init(&loop->uv, &stream->tcp);
	stream->tcp.data = stream;
}

int ql_stream_accept(ql_stream_t *stream, uv_stream_t *listener)
{
	if (uv_accept(listener, (uv_stream_t *)&stream->tcp))
		return QL_E_IO;
	set_options(stream);
	ql_stream_resume(stream);
	return 0;
}

static void on_connected(uv_connect_t *connect, int status)
{
	ql_stream_t *stream = connect->handle->data;

	if (stream->closing)
		return;
	if (!status) {
		set_options(stream);
		ql_stream_resume(stream);
	}
	stream->ops->connected(stream->data, status);
}

int ql_stream_connect(ql_stream_t *stream, const struct sockaddr_in *address)
{
	return uv_tcp_connect(&stream->connect, &stream->tcp,
			      (const struct sockaddr *)address, on_connected)
		       ? QL_E_IO
		       : 0;
}

void ql_stream_write(ql_stream_t *stream, const void *bytes, size_t length)
{
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned int)length);
	queued_write_t *write;
	int sent = 0;

	if (stream->closing || !length)
		return;
	if (!stream->pending_bytes) {
		sent = uv_try_write((uv_stream_t *)&stream->tcp, &buffer, 1);
		if (sent == (int)length)
			return;
		sent = MAX(sent, 0);
	}
	length -= (size_t)sent;
	write = malloc(sizeof(*write) + length);
	g_assert(write);
	write->length = length;
	memcpy(write->bytes, (const char *)bytes + sent, length);
	buffer = uv_buf_init(write->bytes, (unsigned int)length);
	stream->pending_bytes += length;
	if (uv_write(&write->request, (uv_stream_t *)&stream->tcp, &buffer, 1,
		     on_written)) {
		stream->pending_bytes -= length;
		free(write);
	}
}

size_t ql_stream_unsent_bytes(const ql_stream_t *stream)
{
	return uv_stream_get_write_queue_size(
		(const uv_stream_t *)&stream->tcp);
}

void ql_stream_pause(ql_stream_t *stream)
{
	if (stream->reading)
		uv_read_stop((uv_stream_t *)&stream->tcp);
	stream->reading = false;
}

void ql_stream_resume(ql_stream_t *stream)
{
	if (!stream->reading && !stream->closing)
		uv_read_start((uv_stream_t *)&stream->tcp, alloc_read_buffer,
			      on_read);
	stream->reading = true;
}

void ql_stream_close(ql_stream_t *stream)
{
	if (stream->closing)
		return;
	stream->closing = true;
	if (!stream->pending_bytes)
		close_handle(stream);
}

static void on_shutdown(uv_shutdown_t *request G_GNUC_UNUSED,
			int status G_GNUC_UNUSED)
{
	/* The owner waits for the peer to close, or aborts the stream. */
}

void ql_stream_shutdown(ql_stream_t *stream)
{
	if (!stream->closing)
		uv_shutdown(&stream->shutdown, (uv_stream_t *)&stream->tcp,
			    on_shutdown);
}

void ql_stream_abort(ql_stream_t *stream)
{
	stream->closing = true;
	close_handle(stream);
}
