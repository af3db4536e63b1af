#ifndef QL_NET_STREAM_H
#define QL_NET_STREAM_H

/**
 * DOC: One TCP connection on an event loop, with writes that never block and
 * keep-alive probes that notice a peer which has become unreachable.
 */

#include "net/loop.h"

G_BEGIN_DECLS

typedef struct ql_stream ql_stream_t;

/**
 * struct ql_stream_ops - What happens on a stream.
 * @connected: a connection that ql_stream_connect() began is made, or not;
 *             @status is 0 or a libuv error
 * @received: bytes came
 * @ended: the peer has closed (@status is UV_EOF) or the connection broke
 * @drained: what was written has left
 * @closed: the stream is gone; its memory may be freed
 */
typedef struct ql_stream_ops {
	void (*connected)(void *data, int status);
	void (*received)(void *data, const char *bytes, size_t length);
	void (*ended)(void *data, int status);
	void (*drained)(void *data);
	void (*closed)(void *data);
} ql_stream_ops_t;

/**
 * struct ql_stream - The connection; part of the owner's object.
 * @pending: bytes that wait to leave
 * @reading: bytes are taken from the socket
 * @closing: ql_stream_close() was called
 */
struct ql_stream {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	ql_loop_t *loop;
	const ql_stream_ops_t *ops;
	void *data;
	size_t pending_bytes;
	bool reading;
	bool closing;
};

/**
 * ql_stream_init() - Prepare a stream on a loop.
 * @stream: the stream; it must not move until @closed was called
 * @loop: the loop
 * @ops: what happens
 * @data: passed to @ops
 */
void ql_stream_init(ql_stream_t *stream, ql_loop_t *loop,
		    const ql_stream_ops_t *ops, void *data);

/**
 * ql_stream_accept() - Take a connection from a listening socket and read.
 * @stream: the stream
 * @listener: the listening socket
 *
 * Return: 0 or QL_E_IO.
 */
int ql_stream_accept(ql_stream_t *stream, uv_stream_t *listener);

/**
 * ql_stream_connect() - Begin to connect.
 * @stream: the stream
 * @address: where to
 *
 * Return: 0 or QL_E_IO.
 */
int ql_stream_connect(ql_stream_t *stream, const struct sockaddr_in *address);

/**
 * ql_stream_write() - Send bytes; they are copied when they cannot leave now.
 * @stream: the stream
 * @bytes: the bytes
 * @length: their number
 */
void ql_stream_write(ql_stream_t *stream, const void *bytes, size_t length);

void ql_stream_pause(ql_stream_t *stream);
void ql_stream_resume(ql_stream_t *stream);

/**
 * ql_stream_close() - Close when everything that was written has left.
 * @stream: the stream; later calls are ignored
 */
void ql_stream_close(ql_stream_t *stream);

/**
 * ql_stream_shutdown() - Say that nothing more will be sent, and read on.
 * @stream: the stream
 *
 * Closing with unread bytes resets a connection, which may destroy an answer
 * that is still on its way.
 */
void ql_stream_shutdown(ql_stream_t *stream);

/**
 * ql_stream_abort() - Close at once; the peer sees a broken connection.
 * @stream: the stream; later calls are ignored
 */
void ql_stream_abort(ql_stream_t *stream);

G_END_DECLS

#endif
